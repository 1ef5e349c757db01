// Retry safety, the retry budget and the hedging delay.
#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

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

// First attempts and retries of the last ten seconds, in slices.
class AttemptWindow
{
public:
    // Commands.
    void recordFirstAttempt(Instant now) { this->sliceAt(now).firstAttempts += 1; }
    void recordRetry(Instant now) { this->sliceAt(now).retries += 1; }

    // Queries.
    // Whether one more retry keeps all of them within `reserve` plus `share` of the first attempts.
    bool allowsRetry(Instant now, double share, double reserve) const;

private:
    struct Slice
    {
        std::int64_t number = -1; // Counted from the epoch of the clock.
        std::uint32_t firstAttempts = 0;
        std::uint32_t retries = 0;
    };

    static constexpr std::size_t sliceCount =
        21; // One more than a window has, since the oldest one lies only partly within it.

    Slice &sliceAt(Instant now);

    std::array<Slice, sliceCount> slices;
};

// Bounds retries to a share of recent first attempts. If an upstream or a zone fails and every call to it is
// retried, the retries would double the load on the rest, which then fails too. The reserve allows callers
// with few calls to retry at all.
//
// The bound holds for each kind of call as well as for the whole service. A retried call repeats the calls
// that it makes itself, at other services; if the kind that makes most of them took the whole service's
// share, a much larger share of the calls at those services would be repeats.
class RetryBudget
{
public:
    RetryBudget(double share, double reserve);

    // Commands.

    void recordFirstAttempt(Instant now, std::uint64_t kind = 0);
    // Takes one retry from the budget; returns false if there is none.
    bool tryAcquireRetry(Instant now, std::uint64_t kind = 0);

    // Sets this node's part of a reserve that several nodes share; it changes with their number.
    void setReserve(double reserve) { this->reserve = reserve; }

private:
    void refill(Instant now);
    AttemptWindow *obtainKind(std::uint64_t kind);

    double share;
    double reserve;
    double tokens; // Invariant: 0 <= tokens <= reserve + share of the recent first attempts.
    double recentFirstAttempts = 0;
    std::optional<Instant> refilledAt;
    // Bounds the retries of every window as well: tokens saved up in one window and spent in the next, on top
    // of what that one earns, would double the share of retries for a while.
    AttemptWindow all;
    std::unordered_map<std::uint64_t, AttemptWindow> kinds; // Bounded; see obtainKind().
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
