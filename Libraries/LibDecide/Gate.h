// Admission control of one upstream by call class: decides which calls start now, which are queued and which
// are refused. Only the node next to the upstream holds its gate, so the counts of slots and queued calls are
// exact. Uses no sockets or clocks.
#pragma once

#include <LibDecide/Admission.h>
#include <LibDecide/ConcurrencyLimit.h>
#include <LibDecide/RunTimes.h>
#include <LibDecide/SlotShares.h>
#include <LibDecide/StartLimit.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Sagecrank {

struct GateSettings
{
    std::uint32_t slots = 1;
    std::uint32_t maximumQueue = 256; // Bounds memory; deadlines usually keep the queue shorter.
    // Different for each gate, so that retries of callers refused by different gates do not synchronise.
    std::uint64_t jitterSeed = 1;
    Duration startBurst = defaultStartBurst;
};

// Not thread-safe. A new gate is NotReady until setState() is called. Every ticket that offer() returns ends
// exactly once: by finish() after it started, by cancel() while it is queued, or by a refusing GateAction.
class Gate
{
public:
    explicit Gate(GateSettings settings);

    // Commands. Each appends to `actions` the other calls that it causes to start or to be refused, never the
    // call it was made for.

    // Admits, queues or refuses a call. A call of a class with higher precedence may displace a queued batch
    // call, which is then in `actions`.
    GateDecision offer(Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions);
    // Frees the slot of a started call. Unknown tickets are ignored.
    void finish(Instant now, Ticket ticket, CallOutcome outcome, std::vector<GateAction> &actions);
    // Removes a queued call whose caller gave up. Does nothing to a started call, which holds its slot until
    // finish().
    void cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions);
    // Refuses queued calls that can no longer be answered before their deadline.
    void advance(Instant now, std::vector<GateAction> &actions);
    // NotReady and Draining refuse all queued calls at once; running calls finish.
    void setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                  std::vector<GateAction> &actions);

    // Applies to new calls; queued calls stay.
    void setMaximumQueue(std::uint32_t maximumQueue);

    // Limits how many calls start per second, whatever slots are free; nothing lifts the limit.
    void setStartLimit(Instant now, std::optional<double> callsPerSecond, std::vector<GateAction> &actions);

    // Queries.

    // Whether offer() would admit or queue the call now, without doing so. Asked before an idempotency key is
    // claimed.
    bool wouldAdmit(Instant now, const CallAttributes &attributes) const;
    std::uint32_t running() const;
    std::uint32_t queued() const;
    std::uint32_t freeSlots(Instant now) const; // As many calls may start now.
    bool isIdle() const;
    UpstreamCondition condition() const;
    Duration expectedRunTime(CallClass callClass) const;
    Duration expectedWait(Instant now, CallClass callClass) const;
    Duration expectedWait(Instant now, const CallAttributes &attributes) const
    {
        return this->expectedWait(now, attributes.callClass);
    }
    std::optional<Instant> nextDeadline() const; // When advance() must be called next.
    // When advance() can start a queued call that only the start limit holds back.
    std::optional<Instant> nextStart(Instant now) const;

private:
    static constexpr std::size_t classCount = 3;

    struct QueuedCall
    {
        Ticket ticket = 0;
        Instant deadline;
    };

    struct RunningCall
    {
        Ticket ticket = 0;
        CallClass callClass = CallClass::Interactive;
        Instant startedAt;
        Duration chargedSlotTime{}; // Slot time that was charged to its class at the start.
    };

    std::deque<QueuedCall> &queueOf(CallClass callClass);
    const std::deque<QueuedCall> &queueOf(CallClass callClass) const;
    bool acceptsCalls() const;
    std::uint32_t unusedSlots() const;
    std::uint32_t runningOf(CallClass callClass) const;
    bool mayStartBatch(Instant now) const;
    bool mayStartNow(Instant now, CallClass callClass) const;
    Duration expectedWaitForSlot(Instant now, CallClass callClass) const;
    Duration expectedWaitForStartLimit(Instant now, CallClass callClass) const;
    std::size_t callsAheadOf(CallClass callClass) const;
    bool meetsDeadline(Instant now, const CallAttributes &attributes, Duration wait) const;
    RefusalReason refusal(Instant now, const CallAttributes &attributes) const;
    GateDecision refuse(Instant now, CallClass callClass, RefusalReason reason);
    Duration retryAfter(Instant now, CallClass callClass, RefusalReason reason);
    Duration jittered(Duration duration);
    void start(Instant now, Ticket ticket, CallClass callClass);
    std::optional<CallClass> nextClass(Instant now) const;
    void startQueuedCalls(Instant now, std::vector<GateAction> &actions);
    void displaceNewestBatchCall(Instant now, std::vector<GateAction> &actions);
    void refuseQueuedCalls(Instant now, RefusalReason reason, std::vector<GateAction> &actions);

    GateSettings settings;
    UpstreamCondition state = UpstreamCondition::NotReady;
    ConcurrencyLimit limit;
    StartLimit startLimit;
    RunTimes runTimes;
    Ticket nextTicket = 1;
    // No call starts above the limit; lowering the limit cuts none off.
    std::vector<RunningCall> runningCalls;
    std::array<std::deque<QueuedCall>, classCount> queues; // One for each class, in order of arrival.
    SlotShares shares;
    // When a call of another class than batch was last offered.
    Instant lastNonBatchOfferAt = Instant::min();
    Instant lastSaturatedAt = Instant::min(); // When the concurrency limit was last reached.
    Instant nextRetryAt = Instant::min();     // The latest retry time given to a refused caller.
    std::uint64_t jitterState;
};

} // namespace Sagecrank
