// Recognises calls that are retries of refused callers. Uses no sockets or clocks.
//
// Under overload, some callers are refused and told when to retry. If a retry was taken for a new call, its
// answer would count as in time by the node's clock although the caller has waited since its first attempt.
// After a restart of the whole fleet such calls held half of the slots and were answered late, while new
// calls that could have been answered in time were refused.
//
// A retry keeps the deadline of the first attempt, which distinguishes it from all other callers: a new
// caller of the same route has a later deadline than those before it.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Sagecrank {

// Not thread-safe.
class RetryMatcher
{
public:
    // Commands.

    // A call of this kind was refused without running, and its caller may retry until `deadline`.
    void recordRefusal(Instant now, std::uint64_t kind, Instant deadline, Instant firstArrivedAt);

    // If the call that has just arrived is a retry, returns when its caller's first attempt arrived. Each
    // refusal is matched once.
    std::optional<Instant> matchRetry(Instant now, std::uint64_t kind, Instant deadline);

private:
    struct RefusedCall
    {
        Instant deadline;
        Instant firstArrivedAt;
    };

    // In order of refusal; expired ones are removed on the next refusal.
    std::unordered_map<std::uint64_t, std::deque<RefusedCall>> byKind;
};

} // namespace Sagecrank
