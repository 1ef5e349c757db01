// Admission at one upstream for calls that say when their answer is worth most. Which calls start now, which
// wait, which are refused, so that as many callers as possible are answered within their target, the most
// urgent ones first. Runs without sockets or clocks.
//
// Load: services that are asked for more than their slots bear (a fifth more for seconds on end), by calls of
// 15 to 480 ms that share the slots and whose callers wait for 60 to 1,200 ms. Harm of a queue in order of
// arrival: every call waits, the quick ones are all late, and each slot's time goes to answers that nobody
// needs any more.
#pragma once

#include <LibDecide/Admission.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

struct TargetGateSettings
{
    std::uint32_t slots = 1;
    std::uint32_t maximumQueue = 256; // Bounds memory; targets and deadlines bound the queue before it does.
    std::uint64_t jitterSeed = 1; // Differs from gate to gate, so that their refused callers do not agree.
};

// Not thread-safe. A new gate is NotReady until setState says otherwise. Every ticket that offer() gave out
// ends exactly once: by finish() after it started, by cancel() while it waits, or by a refusing GateAction.
class TargetGate
{
public:
    explicit TargetGate(TargetGateSettings settings);

    // Commands: as Gate's.
    GateDecision offer(Instant now, const CallAttributes &facts, std::vector<GateAction> &actions);
    void finish(Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions);
    void cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions);
    void advance(Instant now, std::vector<GateAction> &actions);
    void setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                  std::vector<GateAction> &actions);
    void setMaximumQueue(std::uint32_t maximumQueue);

    // Queries.
    bool wouldAdmit(Instant now, const CallAttributes &facts) const;
    std::uint32_t running() const { return static_cast<std::uint32_t>(this->runningCalls.size()); }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(this->waitingCalls.size()); }
    std::uint32_t freeSlots() const;
    UpstreamCondition condition() const { return this->state; }
    std::optional<Instant> nextDeadline() const; // When advance() must be called next.
    // Until a slot is free for such a call, if it came now.
    Duration expectedWait(Instant now, const CallAttributes &facts) const;

private:
    // What is known of the calls of one kind.
    struct Kind
    {
        double mean = 0;      // Seconds of a run; zero until the first one.
        double deviation = 0; // Mean absolute deviation, in seconds.
        double observations = 0;
        double offered = 0; // Recent calls, fading.
        double started = 0;
        Instant fadedAt = Instant::min();
        std::uint32_t priority = 0;
        double slack = 0;     // Seconds between a usual run and its target, when it was last offered.
        Duration turnAfter{}; // From its offer to its turn; see Rank.
    };

    struct Waiting
    {
        Ticket ticket = 0;
        CallAttributes facts;
    };

    struct Running
    {
        Ticket ticket = 0;
        std::uint64_t kind = 0;
        Instant startedAt;
    };

    // By which of two calls goes first; see ranksBefore().
    struct Rank
    {
        bool late = false;
        bool starved = false;
        std::uint32_t priority = 0;
        Instant turn; // When it must start, moved back by some of its own runs.
        Ticket ticket = 0;
    };

    bool takesCalls() const;
    const Kind *find(std::uint64_t kind) const;
    Kind &obtain(Instant now, const CallAttributes &facts);
    void fade(Kind &kind, Instant now) const;
    Duration usualRun(Instant now, const CallAttributes &facts) const;
    Duration quickRun(const CallAttributes &facts) const;
    Duration likelyRun(Instant now, const CallAttributes &facts) const;
    bool inTime(Instant now, const CallAttributes &facts) const;
    Rank rankOf(Instant now, const CallAttributes &facts, Ticket ticket) const;
    static bool ranksBefore(const Rank &left, const Rank &right);
    bool isStarved(std::uint64_t kind) const;
    bool isLong(Instant now, const CallAttributes &facts) const;
    std::uint32_t slotsForLong(Instant now, const CallAttributes &facts) const;
    double recentLoad(Instant now, const Kind &kind) const;
    bool leavesReserve(Instant now, const CallAttributes &facts) const;
    bool mayStartNow(Instant now, const CallAttributes &facts) const;
    double shareAhead(Instant now, const CallAttributes &facts, const Rank &rank) const;
    bool longOnesGoBefore(Instant now, const Rank &rank) const;
    bool lateIsHopeless(Instant now, const CallAttributes &facts) const;
    RefusalReason refusal(Instant now, const CallAttributes &facts) const;
    GateDecision refuse(Instant now, const CallAttributes &facts, RefusalReason reason);
    Duration retryAfter(Instant now, const CallAttributes &facts, RefusalReason reason);
    Duration jittered(Duration span);
    void begin(Instant now, Ticket ticket, const CallAttributes &facts);
    void startWaiting(Instant now, std::vector<GateAction> &actions);
    void refuseHopeless(Instant now, std::vector<GateAction> &actions);
    void observe(std::uint64_t kind, Duration took);
    void forgetOldKinds();

    TargetGateSettings settings;
    UpstreamCondition state = UpstreamCondition::NotReady;
    // As announced. Failure: a faulty upstream sheds half of its calls with slots free. Symptom of fewer
    // slots after each shed: it runs at a tenth of what it bears (227 calls a second became 47 at one that
    // shed 55%). The gate holds every slot itself, so a shed says that the upstream is faulty and not that it
    // is full.
    std::uint32_t slots;
    Ticket nextTicket = 1;
    std::vector<Running> runningCalls; // None starts above the slots; fewer slots cut none off.
    std::vector<Waiting> waitingCalls; // In order of arrival.
    std::unordered_map<std::uint64_t, Kind> kinds;
    Instant nextReturn = Instant::min(); // When the next refused caller is told to come back.
    std::uint64_t jitterState;
};

} // namespace Sagecrank
