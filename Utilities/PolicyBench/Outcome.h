// What callers got out of one run, by class.
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
    std::uint64_t inTime = 0;   // Answered in time at the first attempt.
    std::uint64_t served = 0;   // Answered in time at some attempt.
    std::uint64_t refused = 0;  // First attempts refused as not run.
    std::uint64_t failed = 0;   // First attempts that the upstream answered with a failure.
    std::uint64_t timedOut = 0; // First attempts whose caller waited until the end of its patience.
    std::vector<Duration> servedLatencies;  // Latencies of first attempts answered in time.
    std::vector<Duration> refusalLatencies; // How long first attempts took to be refused.

    void add(const ClassOutcome &other);
    double share(std::uint64_t part) const;
};

struct Outcome
{
    std::array<ClassOutcome, 3> classes;
    double busySeconds = 0;   // Slot time of upstreams.
    double wastedSeconds = 0; // The part of it that was run for callers who had gone.

    // Breaches of what must always hold; zero whatever the load.
    std::uint64_t ranAfterRefusal = 0;
    std::uint64_t ranTwice = 0;                 // Non-idempotent attempts that ran more than once.
    std::uint64_t overSlots = 0;                // Starts above the announced slots.
    std::uint64_t unanswered = 0;               // Attempts whose caller got no final answer.
    std::uint64_t interruptedByDrain = 0;       // Calls cut off because a draining upstream left.
    std::uint64_t sentToDraining = 0;           // Calls sent to a draining upstream after the membership lag.
    std::uint64_t refusedWithoutRetryAfter = 0; // Refusals that did not say when to come back.

    ClassOutcome &of(CallClass callClass) { return this->classes[static_cast<std::size_t>(callClass)]; }
    const ClassOutcome &of(CallClass callClass) const
    {
        return this->classes[static_cast<std::size_t>(callClass)];
    }

    void add(const Outcome &other);
    std::uint64_t violations() const;
};

// The given quantile, zero when there is none.
Duration quantile(std::vector<Duration> values, double share);

} // namespace Sagecrank
