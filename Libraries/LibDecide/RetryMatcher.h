// Which calls are a refused caller's next try. Runs without sockets or clocks.
//
// Load: more calls than the slots bear, so that some are refused and told when to come back. Harm of taking a
// caller that comes back for a new one: its answer counts as in time by the node's clock, although the caller
// has waited since its first try; such calls held half of the slots after a restart of everything, answered
// late, while new ones that could have been answered in time were refused.
//
// A caller that comes back has the deadline that it had, so the moment at which it gives up tells it from all
// others: a new caller of the same route gives up later than any that came before it.
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

    // A call of the kind was refused as not run, and its caller may come back until `givesUp`.
    void recordRefusal(Instant now, std::uint64_t kind, Instant givesUp, Instant firstCame);

    // When the caller of a call that has just come made its first try, if this is a further one. Each refusal
    // is matched once.
    std::optional<Instant> matchRetry(Instant now, std::uint64_t kind, Instant givesUp);

private:
    struct Refused
    {
        Instant givesUp;
        Instant firstCame;
    };

    std::unordered_map<std::uint64_t, std::deque<Refused>> byKind; // In order of refusal; none has given up.
};

} // namespace Sagecrank
