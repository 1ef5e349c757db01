// Admission control of one upstream for calls with a latency target. Decides which calls start now, which are
// queued and which are refused, so that as many callers as possible are answered within their target, the
// most urgent ones first. Uses no sockets or clocks.
//
// Made for services whose demand exceeds their slots (by a fifth for several seconds), with calls of 15 to
// 480 ms that share the slots and targets of 60 to 1,200 ms. With a first-in-first-out queue every call
// waits, the quick ones are all late, and slot time is spent on answers that nobody needs any more.
#pragma once

#include <LibDecide/Admission.h>
#include <LibDecide/StartLimit.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

struct TargetGateSettings
{
    std::uint32_t slots = 1;
    // Bounds memory; targets and deadlines usually keep the queue shorter.
    std::uint32_t maximumQueue = 256;
    // Different for each gate, so that retries of callers refused by different gates do not synchronise.
    std::uint64_t jitterSeed = 1;
    Duration startBurst = defaultStartBurst;
};

// Not thread-safe. A new gate is NotReady until setState() is called. Every ticket that offer() returns ends
// exactly once: by finish() after it started, by cancel() while it is queued, or by a refusing GateAction.
class TargetGate
{
public:
    explicit TargetGate(TargetGateSettings settings);

    // Commands, as in Gate.
    GateDecision offer(Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions);
    void finish(Instant now, Ticket ticket, CallOutcome outcome, std::vector<GateAction> &actions);
    void cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions);
    void advance(Instant now, std::vector<GateAction> &actions);
    void setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                  std::vector<GateAction> &actions);
    void setMaximumQueue(std::uint32_t maximumQueue);
    void setStartLimit(Instant now, std::optional<double> callsPerSecond, std::vector<GateAction> &actions);

    // Queries, as in Gate.
    bool wouldAdmit(Instant now, const CallAttributes &attributes) const;
    std::uint32_t running() const { return static_cast<std::uint32_t>(this->runningCalls.size()); }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(this->queuedCalls.size()); }
    std::uint32_t freeSlots(Instant now) const;
    UpstreamCondition condition() const { return this->state; }
    std::optional<Instant> nextDeadline() const; // When advance() must be called next.
    std::optional<Instant> nextStart(Instant now) const;
    // Time until a slot would be free for such a call if it came now.
    Duration expectedWait(Instant now, const CallAttributes &attributes) const;

private:
    // Statistics of the calls of one kind.
    struct KindStatistics
    {
        double mean = 0;      // Run time in seconds; zero until the first observation.
        double deviation = 0; // Mean absolute deviation, in seconds.
        double observations = 0;
        double offered = 0; // Decayed number of recent calls.
        double started = 0;
        Instant decayedAt = Instant::min();
        std::uint32_t priority = 0;
        double slack = 0;         // Seconds between the target and the mean run time, at the last offer.
        Duration startByOffset{}; // From the offer to Rank::startBy.
    };

    struct QueuedCall
    {
        Ticket ticket = 0;
        CallAttributes attributes;
    };

    struct RunningCall
    {
        Ticket ticket = 0;
        std::uint64_t kind = 0;
        Instant startedAt;
    };

    // Sort key of the queue; see ranksBefore().
    struct Rank
    {
        bool late = false;
        bool starved = false;
        std::uint32_t priority = 0;
        Instant startBy; // Latest start that meets the target, moved back by some of its own run times.
        Ticket ticket = 0;
    };

    bool acceptsCalls() const;
    std::uint32_t unusedSlots() const;
    const KindStatistics *findKind(std::uint64_t kind) const;
    KindStatistics &obtainKind(Instant now, const CallAttributes &attributes);
    void decay(KindStatistics &kind, Instant now) const;
    Duration meanRunTime(Instant now, const CallAttributes &attributes) const;
    Duration optimisticRunTime(const CallAttributes &attributes) const;
    Duration conservativeRunTime(Instant now, const CallAttributes &attributes) const;
    bool canMeetTarget(Instant now, const CallAttributes &attributes) const;
    Rank rankOf(Instant now, const CallAttributes &attributes, Ticket ticket) const;
    static bool ranksBefore(const Rank &left, const Rank &right);
    bool isStarved(std::uint64_t kind) const;
    bool isLongRunning(Instant now, const CallAttributes &attributes) const;
    std::uint32_t slotsForLongCalls(Instant now, const CallAttributes &attributes) const;
    double recentStarts(Instant now, const KindStatistics &kind) const;
    double recentSlotUse(Instant now, const KindStatistics &kind) const;
    bool fitsLongCallLimit(Instant now, const CallAttributes &attributes) const;
    bool mayStartNow(Instant now, const CallAttributes &attributes) const;
    double shareOfHigherRanks(Instant now, const CallAttributes &attributes, const Rank &rank) const;
    bool longCallRanksBefore(Instant now, const Rank &rank) const;
    bool leavesNoRoomForLate(Instant now, const CallAttributes &attributes) const;
    RefusalReason refusal(Instant now, const CallAttributes &attributes) const;
    GateDecision refuse(Instant now, const CallAttributes &attributes, RefusalReason reason);
    Duration retryAfter(Instant now, const CallAttributes &attributes, RefusalReason reason);
    Duration jittered(Duration duration);
    void start(Instant now, Ticket ticket, const CallAttributes &attributes);
    void startQueuedCalls(Instant now, std::vector<GateAction> &actions);
    void refuseUnservable(Instant now, std::vector<GateAction> &actions);
    void observe(std::uint64_t kind, Duration runTime);
    void evictOldestKind();

    TargetGateSettings settings;
    UpstreamCondition state = UpstreamCondition::NotReady;
    // The announced slots. They are not lowered when the upstream sheds: the gate itself holds every slot, so
    // a shed call means that the upstream is faulty and not that it is full. With fewer slots after each
    // shed, a faulty upstream that sheds half of its calls with slots free would run at a small part of its
    // capacity.
    std::uint32_t slots;
    StartLimit startLimit;
    Ticket nextTicket = 1;
    std::vector<RunningCall> runningCalls; // No call starts above the slots; a lower number cuts none off.
    std::vector<QueuedCall> queuedCalls;   // In order of arrival.
    std::unordered_map<std::uint64_t, KindStatistics> kinds;
    Instant nextRetryAt = Instant::min(); // The latest retry time given to a refused caller.
    std::uint64_t jitterState;
};

} // namespace Sagecrank
