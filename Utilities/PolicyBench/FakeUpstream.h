// One upstream and the gate beside it: slots, run times, and the faults that a scenario gives it.
#pragma once

#include <PolicyBench/Call.h>
#include <PolicyBench/Outcome.h>
#include <PolicyBench/Policy.h>
#include <PolicyBench/Scenario.h>
#include <PolicyBench/Timeline.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Sagecrank {

class FakeUpstream
{
public:
    FakeUpstream(Timeline &timeline, Outcome &outcome, std::function<GateHooks()> makeGate,
                 std::uint32_t slots, std::function<void(UpstreamCondition)> announce);

    // Commands.

    void start();
    void schedule(const Fault &fault);
    void receive(const std::shared_ptr<UpstreamAttempt> &attempt);
    void cancel(const std::shared_ptr<UpstreamAttempt> &attempt);
    void expectNoCallsAfter(Instant when) { this->noCallsExpectedAfter = when; }

private:
    struct Active
    {
        std::shared_ptr<UpstreamAttempt> attempt;
        Instant startedAt;
    };

    void setCondition(UpstreamCondition condition);
    void beginRun(Ticket ticket, const std::shared_ptr<UpstreamAttempt> &attempt);
    void endRun(Ticket ticket, CallOutcome callOutcome);
    void apply(const std::vector<GateAction> &actions);
    void respond(const std::shared_ptr<UpstreamAttempt> &attempt, ResponseKind kind, Duration retryAfter);
    void scheduleGateDeadline();
    void crash();
    double slowdown() const;
    void recordBusyTime(const Active &active);

    Timeline &timeline;
    Outcome &outcome;
    std::function<GateHooks()> makeGate;
    GateHooks gate;
    std::uint32_t slots;
    std::uint32_t capacity; // How many it runs at once before it sheds.
    std::function<void(UpstreamCondition)> announce;
    UpstreamCondition condition = UpstreamCondition::NotReady;
    bool failsFast = false;
    bool silent = false;
    double slowFactor = 1;
    std::optional<Fault> warmupFault;
    std::optional<Instant> noCallsExpectedAfter;
    std::map<Ticket, std::shared_ptr<UpstreamAttempt>> waiting;
    std::map<Ticket, Active> active;
    std::optional<Instant> scheduledDeadline; // The soonest advance() that is on the timeline.
    std::uint64_t generation = 0;             // Counts lost processes; events of an earlier one are void.
};

} // namespace Sagecrank
