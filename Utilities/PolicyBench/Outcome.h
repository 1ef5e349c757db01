// The outcomes of one run for its callers, by class.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <vector>

namespace Sagecrank {

struct ClassOutcome
{
    std::uint64_t callers = 0;
    std::uint64_t inTime = 0;               // Done in time at the first attempt.
    std::uint64_t served = 0;               // Done in time at any attempt.
    std::uint64_t refused = 0;              // First attempts refused as not run.
    std::uint64_t failed = 0;               // First attempts that failed at the upstream.
    std::uint64_t timedOut = 0;             // First attempts without a result by the caller's timeout.
    std::vector<Duration> servedLatencies;  // Latencies of first attempts done in time.
    std::vector<Duration> refusalLatencies; // Latencies of first attempts that were refused.

    void add(const ClassOutcome &other);
    double share(std::uint64_t part) const;
};

struct Outcome
{
    std::array<ClassOutcome, 3> classes;
    double busySeconds = 0;   // Slot time of upstreams.
    double wastedSeconds = 0; // The part of it that ran for calls already finished at the node.

    // Violations of invariants; zero under any load.
    std::uint64_t ranAfterRefusal = 0;
    std::uint64_t ranTwice = 0;                 // Non-idempotent attempts that ran more than once.
    std::uint64_t overSlots = 0;                // Starts above the announced slots.
    std::uint64_t overNamedLimit = 0;           // Starts above what the users' rule LIMIT allows.
    std::uint64_t unanswered = 0;               // Attempts without a final response.
    std::uint64_t interruptedByDrain = 0;       // Calls still queued or running at the end of a drain.
    std::uint64_t sentToDraining = 0;           // Calls sent to a draining upstream after the membership lag.
    std::uint64_t refusedWithoutRetryAfter = 0; // Refusals without a retry delay.

    ClassOutcome &of(CallClass callClass) { return this->classes[static_cast<std::size_t>(callClass)]; }
    const ClassOutcome &of(CallClass callClass) const
    {
        return this->classes[static_cast<std::size_t>(callClass)];
    }

    void add(const Outcome &other);
    std::uint64_t violations() const;
};

// Returns the given quantile, or zero if there are no values.
Duration quantile(std::vector<Duration> values, double share);

} // namespace Sagecrank
