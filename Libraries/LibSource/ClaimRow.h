// The row that stands for one idempotency key, and the puts that move it. Each put names the state that it
// starts from, so that a copy of it that lands late finds another state and does nothing:
//
//   (absent) --claim--> claimed --record--> done
//   (absent or claimed) --release--> released --take over--> claimed by a later attempt
//
// No put leads out of done, and none takes a claimed row from its attempt: a holder that died or was paused
// keeps its claim for good, so its call can never run a second time.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>
#include <LibSource/Ports.h>

#include <optional>
#include <string>

namespace Sagecrank {

enum class ClaimState : std::uint8_t {
    Claimed,  // The attempt may be running, or may have run.
    Done,     // It ran; the outcome is recorded.
    Released, // It provably did not run; a later attempt may take over.
};

inline constexpr EnumNames<ClaimState, 3> claimStateNames{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Done, "done"},
    {ClaimState::Released, "released"},
}};

// Larger bodies are not kept: a row of the table is metered by the kilobyte.
inline constexpr std::size_t maximumRecordedBodyBytes = 4096;

// How the attempt that ran ended, for later attempts with the same key.
struct RecordedOutcome
{
    std::uint32_t status = 0; // As the upstream answered.
    std::string contentType;
    std::string body;     // Empty when it was not kept.
    bool bodyKept = true; // False when it was too large or not text.

    bool operator==(const RecordedOutcome &) const = default;
};

struct ClaimRow
{
    std::string key;
    std::string attempt; // Unique among all attempts of all nodes.
    ClaimState state = ClaimState::Claimed;
    std::uint64_t deadline = 0;  // Milliseconds since 1970 by the holder's clock; only labels an answer.
    std::uint64_t expiresAt = 0; // Seconds since 1970; the table may drop the row after it.
    RecordedOutcome outcome;     // Only for Done.
};

RowKey claimKey(const std::string &key);
Row claimRow(const ClaimRow &claim);
Result<ClaimRow> parseClaim(const Row &row);

// `previous` is the attempt whose released row is taken over; none for the first attempt.
ConditionalPut claimPut(const ClaimRow &claim, const std::optional<std::string> &previous);

// Fences the claim: once it has taken effect, a claim put of this attempt that is still under way cannot.
ConditionalPut releasePut(const ClaimRow &claim, const std::optional<std::string> &previous);

// Keeps what fits of the outcome.
ConditionalPut recordPut(const ClaimRow &claim, RecordedOutcome outcome);

} // namespace Sagecrank
