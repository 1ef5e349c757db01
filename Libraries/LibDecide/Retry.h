// Retry safety, the retry budget and the hedging delay.
#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Sagecrank {

// How far a call got before it failed.
enum class CallPhase : std::uint8_t {
    NotSent,   // No byte of it was sent.
    MaybeSent, // It may have reached the upstream and may have run.
    Answered,
};

// Whether a failed call may be sent again without the risk that it runs twice. After a broken connection, the
// caller's node does not know how far the call got; sending a reservation again could execute it twice. A
// retry is safe only if nothing was sent, if the peer proved that the call did not run, or if the call is
// idempotent.
bool isRetrySafe(CallPhase phase, bool idempotent, bool refusedNotRun);

// Bounds retries to a share of recent first attempts. If an upstream or a zone fails and every call to it is
// retried, the retries would double the load on the rest, which then fails too. The reserve allows callers
// with few calls to retry at all.
class RetryBudget
{
public:
    RetryBudget(double share, double reserve);

    // Commands.

    void recordFirstAttempt(Instant now);
    // Takes one retry from the budget; returns false if there is none.
    bool tryAcquireRetry(Instant now);

    // Sets this node's part of a reserve that several nodes share; it changes with their number.
    void setReserve(double reserve) { this->reserve = reserve; }

private:
    // Attempts in a part of the window.
    struct Slice
    {
        std::int64_t number = -1; // Counted from the epoch of the clock.
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };

    static constexpr std::size_t sliceCount =
        21; // One more than a window has, since the oldest one lies only partly within it.

    void refill(Instant now);
    Slice &sliceAt(Instant now);
    bool windowAllows(Instant now);

    double share;
    double reserve;
    double tokens; // Invariant: 0 <= tokens <= reserve + share of the recent first attempts.
    double recentFirstAttempts = 0;
    std::optional<Instant> refilledAt;
    // Bounds the retries of every window as well: tokens saved up in one window and spent in the next, on top
    // of what that one earns, would double the share of retries for a while.
    std::array<Slice, sliceCount> slices;
};

// Delay after which a hedged second attempt is sent. If one of many upstreams is slow, or an answer is lost,
// callers wait while other upstreams are idle. A second attempt after the 95th percentile of recent latencies
// covers these cases and adds at most one call in twenty. Only for idempotent calls.
class HedgeDelay
{
public:
    // Commands.

    void observe(Duration latency);

    // Queries.

    // Empty until there are enough observations.
    std::optional<Duration> delay() const;

private:
    static constexpr std::size_t bucketCount = 160;

    std::array<float, bucketCount> counts{}; // Latencies by logarithmic bucket; older ones decay.
    float total = 0;
    std::uint32_t observationsSinceDecay = 0;
};

} // namespace Sagecrank
