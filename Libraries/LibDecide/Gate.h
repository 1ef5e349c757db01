// The gate of one upstream: which calls start now, which wait, which are refused. Only the node beside the
// upstream holds its gate, so slots, queue and drain are exact here. Runs without sockets or clocks.
#pragma once

#include <LibDecide/Admission.h>
#include <LibDecide/ConcurrencyLimit.h>
#include <LibDecide/RunTimes.h>
#include <LibDecide/SlotShares.h>

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
    std::uint32_t maximumQueue = 256; // Bounds memory; deadlines bound the queue before it does.
    std::uint64_t jitterSeed = 1; // Differs from gate to gate, so that their refused callers do not agree.
};

// Not thread-safe. A new gate is NotReady until setState says otherwise. Every ticket that offer() gave out
// ends exactly once: by finish() after it started, by cancel() while it waits, or by a refusing GateAction.
class Gate
{
public:
    explicit Gate(GateSettings settings);

    // Commands. Each appends to `actions` the calls that start or are refused because of it, never the
    // call it is about.

    // A call of a class that goes first may displace a queued batch call; that one is in `actions`.
    GateDecision offer(Instant now, const CallAttributes &facts, std::vector<GateAction> &actions);
    // Frees the slot of a started call. An unknown ticket is ignored.
    void finish(Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions);
    // Takes a queued call out whose caller gave up. Does nothing to a started one: its slot is taken until
    // finish().
    void cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions);
    // Refuses queued calls that cannot be answered in time any more.
    void advance(Instant now, std::vector<GateAction> &actions);
    // NotReady and Draining refuse the queue at once; running calls finish.
    void setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                  std::vector<GateAction> &actions);

    // For calls that come from now on; those that wait stay.
    void setMaximumQueue(std::uint32_t maximumQueue);

    // Queries.

    // What offer() would say now, without taking a place. Asked before an idempotency key is claimed.
    bool wouldAdmit(Instant now, const CallAttributes &facts) const;
    std::uint32_t running() const;
    std::uint32_t queued() const;
    std::uint32_t freeSlots() const;
    bool isIdle() const;
    UpstreamCondition condition() const;
    Duration expectedRunTime(CallClass callClass) const;
    Duration expectedWait(Instant now, CallClass callClass) const;
    Duration expectedWait(Instant now, const CallAttributes &facts) const
    {
        return this->expectedWait(now, facts.callClass);
    }
    std::optional<Instant> nextDeadline() const; // When advance() must be called next.

private:
    static constexpr std::size_t classCount = 3;

    struct Waiting
    {
        Ticket ticket = 0;
        Instant deadline;
    };

    struct Running
    {
        Ticket ticket = 0;
        CallClass callClass = CallClass::Interactive;
        Instant startedAt;
        Duration charged{}; // Slot time that was charged to its class when it started.
    };

    std::deque<Waiting> &queueOf(CallClass callClass);
    const std::deque<Waiting> &queueOf(CallClass callClass) const;
    bool takesCalls() const;
    std::uint32_t runningOf(CallClass callClass) const;
    bool batchMayStart(Instant now) const;
    bool mayStartNow(Instant now, CallClass callClass) const;
    bool inTime(Instant now, const CallAttributes &facts, Duration wait) const;
    RefusalReason refusal(Instant now, const CallAttributes &facts) const;
    GateDecision refuse(Instant now, CallClass callClass, RefusalReason reason);
    Duration retryAfter(Instant now, CallClass callClass, RefusalReason reason);
    Duration jittered(Duration span);
    void begin(Instant now, Ticket ticket, CallClass callClass);
    std::optional<CallClass> nextClass(Instant now) const;
    void startWaiting(Instant now, std::vector<GateAction> &actions);
    void displaceBatch(Instant now, std::vector<GateAction> &actions);
    void refuseQueue(Instant now, RefusalReason reason, std::vector<GateAction> &actions);

    GateSettings settings;
    UpstreamCondition state = UpstreamCondition::NotReady;
    ConcurrencyLimit limit;
    RunTimes runTimes;
    Ticket nextTicket = 1;
    std::vector<Running> runningCalls; // None starts above the limit; a lowered one cuts none off.
    std::array<std::deque<Waiting>, classCount> queues; // In order of arrival.
    SlotShares shares;
    Instant othersSeenAt = Instant::min(); // When a call that is not batch was last offered.
    Instant fullAt = Instant::min();       // When the limit was last in use to the full.
    Instant nextReturn = Instant::min();   // When the next refused caller is told to come back.
    std::uint64_t jitterState;
};

} // namespace Sagecrank
