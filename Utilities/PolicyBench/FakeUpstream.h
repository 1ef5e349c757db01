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
    void receive(const std::shared_ptr<Sending> &sending);
    void cancel(const std::shared_ptr<Sending> &sending);
    void refuseCallsAfter(Instant when) { this->nothingNewAfter = when; }

private:
    struct Active
    {
        std::shared_ptr<Sending> sending;
        Instant startedAt;
    };

    void setCondition(UpstreamCondition condition);
    void begin(Ticket ticket, const std::shared_ptr<Sending> &sending);
    void end(Ticket ticket, CallOutcome end);
    void apply(const std::vector<GateAction> &actions);
    void respond(const std::shared_ptr<Sending> &sending, Reply reply, Duration retryAfter);
    void watchDeadline();
    void breakOff();
    double slowdown() const;
    void countWork(const Active &active);

    Timeline &timeline;
    Outcome &outcome;
    std::function<GateHooks()> makeGate;
    GateHooks gate;
    std::uint32_t slots;
    std::uint32_t bears; // How many it runs at once before it sheds.
    std::function<void(UpstreamCondition)> announce;
    UpstreamCondition condition = UpstreamCondition::NotReady;
    bool failsFast = false;
    bool silent = false;
    double slowFactor = 1;
    std::optional<Fault> warmingUp;
    std::optional<Instant> nothingNewAfter;
    std::map<Ticket, std::shared_ptr<Sending>> waiting;
    std::map<Ticket, Active> active;
    std::optional<Instant> watched; // The soonest advance() that is on the timeline.
    std::uint64_t generation = 0;   // Counts lost processes; events of an earlier one are void.
};

} // namespace Sagecrank
