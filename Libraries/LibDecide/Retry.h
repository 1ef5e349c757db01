// Which calls may be sent again, how many, and when a second copy is sent early.
#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Sagecrank {

// How far a call got before it failed.
enum class CallPhase : std::uint8_t {
    NotSent,   // No byte of it left.
    MaybeSent, // It may have reached the upstream, and it may have run.
    Answered,
};

// Failure: a call breaks off and its caller's node does not know how far it got. Symptom of sending it again:
// a reservation runs twice. Sending again is safe in three cases only: nothing left the node, the peer proved
// that it did not run, or running twice does no harm.
bool isRetrySafe(CallPhase phase, bool idempotent, bool refusedNotRun);

// Load: an upstream or zone fails, and every call to it is tried again. Harm: the retries double the load on
// what is left, which then fails too. Retries stay within a share of recent first tries, so that they add at
// most that share to the load; the reserve lets a quiet caller retry at all.
class RetryBudget
{
public:
    RetryBudget(double share, double reserve);

    // Commands.

    void recordFirstAttempt(Instant now);
    // Takes one retry out of the budget; false when there is none.
    bool tryAcquireRetry(Instant now);

    // For an allowance that several nodes share: this node's part of it, which changes with their number.
    void setReserve(double reserve) { this->reserve = reserve; }

private:
    // A part of the window, with what happened in it.
    struct Slice
    {
        std::int64_t number = -1; // Of the slice since the clock's epoch.
        std::uint32_t firstTries = 0;
        std::uint32_t retries = 0;
    };

    static constexpr std::size_t sliceCount =
        21; // One more than a window has: the first counts only in part.

    void refill(Instant now);
    Slice &sliceAt(Instant now);
    bool windowAllows(Instant now);

    double share;
    double reserve;
    double tokens; // Invariant: 0 <= tokens <= reserve + share of the first tries of a window.
    double recentTries = 0;
    std::optional<Instant> refilledAt;
    // Failure: tokens that were saved up in one window are spent in the next, on top of what that one earns.
    // Symptom: for a while retries are twice their share. The slices bound those of every window as well.
    std::array<Slice, sliceCount> slices;
};

// Load: one upstream in many is slow, or one answer is lost. Harm: its callers wait while others stand idle.
// A second copy after the 95th percentile of recent latencies catches these and adds at most one call in
// twenty. Only for idempotent calls.
class HedgeDelay
{
public:
    // Commands.

    void observe(Duration took);

    // Queries.

    // Empty until enough answers were seen to tell what is late.
    std::optional<Duration> delay() const;

private:
    static constexpr std::size_t bucketCount = 160;

    std::array<float, bucketCount> counts{}; // Latencies by logarithmic bucket; old ones fade.
    float total = 0;
    std::uint32_t sinceFade = 0;
};

} // namespace Sagecrank
