// The table row of an idempotency key and the conditional puts that change its state. Each put is conditional
// on the state it starts from, so a copy that arrives late finds another state and has no effect:
//
//   (absent) --claim--> claimed --record--> done
//   (absent or claimed) --release--> released --take over--> claimed by a later attempt
//
// No put changes a done row, and none takes a claimed row from its attempt. The attempt of a crashed or
// paused process keeps its claim permanently, so its call can never run a second time.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>
#include <LibSource/Ports.h>

#include <optional>
#include <string>

namespace Sagecrank {

enum class ClaimState : std::uint8_t {
    Claimed,  // The attempt may be running or may have run.
    Done,     // It ran; the outcome is recorded.
    Released, // The attempt provably did not run; a later one may take over.
};

inline constexpr EnumNames<ClaimState, 3> claimStateNames{{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Done, "done"},
    {ClaimState::Released, "released"},
}};

// Larger bodies are not stored, because the platform meters rows by the kilobyte.
inline constexpr std::size_t maximumRecordedBodyBytes = 4096;

// The result of the attempt that ran, returned to later attempts with the same key.
struct RecordedOutcome
{
    std::uint32_t status = 0; // HTTP status of the upstream's response.
    std::string contentType;
    std::string body;     // Empty if it was not stored.
    bool bodyKept = true; // False if it was too large or not UTF-8.

    bool operator==(const RecordedOutcome &) const = default;
};

struct ClaimRow
{
    std::string key;
    std::string attempt; // Unique across all attempts of all nodes.
    ClaimState state = ClaimState::Claimed;
    std::uint64_t deadline = 0;  // Unix milliseconds by the claimant's clock; only used to label responses.
    std::uint64_t expiresAt = 0; // Unix seconds; after this the table may delete the row.
    RecordedOutcome outcome;     // Only for Done.
};

RowKey claimKey(const std::string &key);
Row claimRow(const ClaimRow &claim);
Result<ClaimRow> parseClaim(const Row &row);

// `previous` is the attempt whose released row is taken over, if any.
ConditionalPut claimPut(const ClaimRow &claim, const std::optional<std::string> &previous);

// Fences the claim: after it has taken effect, a claim put of this attempt that is still in transit has none.
ConditionalPut releasePut(const ClaimRow &claim, const std::optional<std::string> &previous);

// Stores as much of the outcome as fits.
ConditionalPut recordPut(const ClaimRow &claim, RecordedOutcome outcome);

} // namespace Sagecrank
