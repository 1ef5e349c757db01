// Implements claim rows and the puts between their states; see ClaimRow.h.
#include <LibSource/ClaimRow.h>

namespace Sagecrank {

namespace {

// Not "state", which is a reserved word of the table service.
constexpr auto stateAttribute = "claim_state";

Attributes attemptInState(const std::string &attempt, ClaimState state)
{
    return {{"attempt", attempt}, {stateAttribute, std::string(claimStateNames.name(state))}};
}

// Text attributes of the table can only hold UTF-8.
bool isUtf8(const std::string &text)
{
    std::size_t following = 0;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool continues = (byte & 0xc0u) == 0x80u;
        if (continues != (following > 0))
            return false;
        if (continues)
            --following;
        else if (byte >= 0xf5u || byte == 0xc0u || byte == 0xc1u)
            return false;
        else
            following = byte < 0x80u ? 0 : byte < 0xe0u ? 1 : byte < 0xf0u ? 2 : 3;
    }
    return following == 0;
}

template <typename T>
T valueOr(const T *value, T otherwise)
{
    return value == nullptr ? otherwise : *value;
}

} // namespace

RowKey claimKey(const std::string &key)
{
    return {"claim#" + key, "claim"};
}

Row claimRow(const ClaimRow &claim)
{
    Row row{claimKey(claim.key), attemptInState(claim.attempt, claim.state)};
    row.attributes["deadline"] = claim.deadline;
    row.attributes["expires_at"] = claim.expiresAt;
    if (claim.state == ClaimState::Done) {
        row.attributes["status"] = std::uint64_t{claim.outcome.status};
        row.attributes["content_type"] = claim.outcome.contentType;
        row.attributes["body"] = claim.outcome.body;
        row.attributes["body_kept"] = std::uint64_t{claim.outcome.bodyKept};
    }
    return row;
}

Result<ClaimRow> parseClaim(const Row &row)
{
    const std::string *attempt = row.text("attempt");
    const std::string *stateText = row.text(stateAttribute);
    const auto state = stateText == nullptr ? std::nullopt : claimStateNames.value(*stateText);
    if (attempt == nullptr || !state)
        return makeError(ErrorKind::InvalidInput, "read claim", row.key.partition,
                         "attempt or claim_state is missing or bad");
    ClaimRow claim;
    claim.key = row.key.partition.substr(claimKey("").partition.size());
    claim.attempt = *attempt;
    claim.state = *state;
    claim.deadline = valueOr<std::uint64_t>(row.number("deadline"), 0);
    claim.expiresAt = valueOr<std::uint64_t>(row.number("expires_at"), 0);
    claim.outcome.status = static_cast<std::uint32_t>(valueOr<std::uint64_t>(row.number("status"), 0));
    claim.outcome.contentType = valueOr<std::string>(row.text("content_type"), "");
    claim.outcome.body = valueOr<std::string>(row.text("body"), "");
    claim.outcome.bodyKept = valueOr<std::uint64_t>(row.number("body_kept"), 0) != 0;
    return claim;
}

ConditionalPut claimPut(const ClaimRow &claim, const std::optional<std::string> &previous)
{
    ClaimRow next = claim;
    next.state = ClaimState::Claimed;
    // Also matches the row as this put itself leaves it, so that it can be repeated when its response is
    // lost.
    PutCondition condition{!previous, {attemptInState(claim.attempt, ClaimState::Claimed)}};
    if (previous)
        condition.anyOf.push_back(attemptInState(*previous, ClaimState::Released));
    return {claimRow(next), condition};
}

ConditionalPut releasePut(const ClaimRow &claim, const std::optional<std::string> &previous)
{
    ConditionalPut put = claimPut(claim, previous);
    ClaimRow next = claim;
    next.state = ClaimState::Released;
    put.row = claimRow(next);
    return put;
}

ConditionalPut recordPut(const ClaimRow &claim, RecordedOutcome outcome)
{
    ClaimRow next = claim;
    next.state = ClaimState::Done;
    next.outcome = std::move(outcome);
    if (next.outcome.body.size() > maximumRecordedBodyBytes || !isUtf8(next.outcome.body)) {
        next.outcome.body.clear();
        next.outcome.bodyKept = false;
    }
    if (!isUtf8(next.outcome.contentType))
        next.outcome.contentType.clear();
    return {claimRow(next), {false, {attemptInState(claim.attempt, ClaimState::Claimed)}}};
}

} // namespace Sagecrank
