// Ranks the present members for each account and remembers who departed recently.
#include <LibAccount/AllowancePlacement.h>

#include <xxhash.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// Longer than the longest window of an allowance and than a partition takes to be noticed.
constexpr Duration departureMemory = std::chrono::seconds(60);

// 6,500 nodes rank an account in 20 us; the cache keeps that off the path of a call.
constexpr std::size_t maximumCachedRankings = 20000;

std::uint64_t hashMember(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

} // namespace

AllowancePlacement::AllowancePlacement(std::string ownId, Instant startedAt)
    : ownId(std::move(ownId))
    , ownHash(hashMember(this->ownId))
    , startedAt(startedAt)
    , nodes{{this->ownHash, {}, true}}
{
}

std::uint64_t AllowancePlacement::score(std::uint64_t idHash, AccountHash account)
{
    const std::uint64_t pair[] = {idHash, account};
    return XXH3_64bits(pair, sizeof(pair));
}

void AllowancePlacement::setMembers(Instant now, const std::vector<PlacementMember> &members)
{
    std::vector<GranterNode> present{{this->ownHash, {}, true}};
    std::unordered_map<std::uint64_t, bool> departed; // To whether it left on purpose.
    for (const PlacementMember &member : members) {
        if (member.id == this->ownId)
            continue;
        const std::uint64_t idHash = hashMember(member.id);
        if (member.isPresent)
            present.push_back({idHash, member.address, false});
        else
            departed.emplace(idHash, member.hasLeft);
    }
    for (const GranterNode &node : this->nodes) {
        const auto gone = departed.find(node.idHash);
        if (gone != departed.end())
            this->departures.push_back({node.idHash, now, gone->second});
    }
    for (const GranterNode &node : present)
        std::erase_if(this->departures, [&](const Departure &departure) {
            return departure.idHash == node.idHash && !departure.hasLeft;
        });
    this->forgetDepartures(now);
    this->nodes = std::move(present);
    this->rankings.clear();
}

const GranterNode *AllowancePlacement::granter(AccountHash account, GranterRole role) const
{
    const int index = this->ranking(account)[static_cast<std::size_t>(role)];
    return index < 0 ? nullptr : &this->nodes[static_cast<std::size_t>(index)];
}

const std::array<int, 2> &AllowancePlacement::ranking(AccountHash account) const
{
    const auto cached = this->rankings.find(account);
    if (cached != this->rankings.end())
        return cached->second;
    if (this->rankings.size() >= maximumCachedRankings)
        this->rankings.clear();
    std::array<int, 2> best{-1, -1};
    std::array<std::uint64_t, 2> scores{};
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const std::uint64_t own = score(this->nodes[index].idHash, account);
        if (best[0] < 0 || own > scores[0]) {
            best = {static_cast<int>(index), best[0]};
            scores = {own, scores[0]};
        } else if (best[1] < 0 || own > scores[1]) {
            best[1] = static_cast<int>(index);
            scores[1] = own;
        }
    }
    return this->rankings.emplace(account, best).first->second;
}

Instant AllowancePlacement::primarySince(Instant now, AccountHash account) const
{
    Instant since = this->startedAt;
    const std::uint64_t own = score(this->ownHash, account);
    for (const Departure &departure : this->departures) {
        if (now - departure.at < departureMemory && score(departure.idHash, account) > own)
            since = std::max(since, departure.at);
    }
    return since;
}

bool AllowancePlacement::seesMajority(Instant now) const
{
    const auto lost =
        std::count_if(this->departures.begin(), this->departures.end(), [now](const Departure &departure) {
            return !departure.hasLeft && now - departure.at < departureMemory;
        });
    return this->nodes.size() > static_cast<std::size_t>(lost);
}

void AllowancePlacement::forgetDepartures(Instant now)
{
    std::erase_if(this->departures,
                  [now](const Departure &departure) { return now - departure.at >= departureMemory; });
}

} // namespace Sagecrank
