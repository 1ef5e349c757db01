// A fake upstream with its gate: slots, run times, and the faults of a scenario.
#pragma once

#include <PolicyBench/Call.h>
#include <PolicyBench/Outcome.h>
#include <PolicyBench/Policy.h>
#include <PolicyBench/Scenario.h>
#include <PolicyBench/Timeline.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Sagecrank {

class FakeUpstream
{
public:
    FakeUpstream(Timeline &timeline, Outcome &outcome, std::function<GateHooks()> makeGate,
                 std::uint32_t slots, Duration meanRunTime, std::function<void(UpstreamCondition)> announce);

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
    void setNamedLimit(std::optional<double> callsPerSecond);
    void countAgainstNamedLimit();
    double slowdown() const;
    void recordBusyTime(const Active &active);

    Timeline &timeline;
    Outcome &outcome;
    std::function<GateHooks()> makeGate;
    GateHooks gate;
    std::uint32_t slots;
    Duration meanRunTime;
    std::uint32_t capacity; // Calls that it runs at once before it sheds load.
    std::function<void(UpstreamCondition)> announce;
    UpstreamCondition condition = UpstreamCondition::NotReady;
    bool failsFast = false;
    bool silent = false;
    double slowFactor = 1;
    std::optional<Fault> warmupFault;
    std::optional<double> namedLimit; // Calls per second.
    std::deque<Instant> recentStarts; // Of the last second under the named limit.
    std::optional<Instant> noCallsExpectedAfter;
    std::map<Ticket, std::shared_ptr<UpstreamAttempt>> waiting;
    std::map<Ticket, Active> active;
    std::optional<Instant> scheduledDeadline; // The earliest scheduled advance() of the gate.
    std::uint64_t generation = 0;             // Counts lost processes; events of an earlier one are ignored.
};

} // namespace Sagecrank
