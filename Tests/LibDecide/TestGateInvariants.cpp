// Invariants of the gate, checked after each of many seeded random commands.
#include <LibDecide/Gate.h>

#include <Support/TableTest.h>

#include <map>
#include <random>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

struct SeedRow
{
    std::uint64_t seed;
    std::uint32_t slots;
    std::uint32_t maximumQueue;
};

const SeedRow seedRows[] = {
    {1, 1, 1}, {2, 1, 64}, {3, 6, 4}, {4, 6, 64}, {5, 12, 64}, {6, 12, 256}, {7, 3, 8}, {8, 2, 2},
};

enum class Stage : std::uint8_t { Waiting, Running, Ended };

// Tracks the state of every ticket independently of the gate and fails at the first violation.
class GateModel
{
public:
    GateModel(const SeedRow &row)
        : random(row.seed)
        , slots(row.slots)
        , gate(GateSettings{row.slots, row.maximumQueue, row.seed})
    {
        this->setState(UpstreamCondition::Ready);
    }

    void step()
    {
        this->now += Microseconds(this->random() % 2000);
        switch (this->random() % 16) {
        case 0:
            return this->setState(static_cast<UpstreamCondition>(this->random() % 4));
        case 1:
            return this->setState(UpstreamCondition::Ready);
        case 2:
            return this->cancelOne();
        case 3:
            return this->advance();
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
            return this->finishOne(static_cast<CallOutcome>(this->random() % 4));
        default:
            return this->offer();
        }
    }

    // Every ticket ends once the running calls finish and time passes.
    void drain()
    {
        while (this->gate.running() > 0)
            this->finishOne(CallOutcome::Succeeded);
        this->now += 1h;
        this->advance();
        for (const auto &[ticket, stage] : this->stages)
            cr_assert(stage == Stage::Ended, "ticket %lu never ended", ticket);
        cr_assert(this->gate.isIdle());
    }

private:
    void offer()
    {
        const CallAttributes attributes{static_cast<CallClass>(this->random() % 3),
                                        this->now + Microseconds(this->random() % 50'000)};
        const bool wouldAdmit = this->gate.wouldAdmit(this->now, attributes);
        std::vector<GateAction> actions;
        const GateDecision decision = this->gate.offer(this->now, attributes, actions);
        cr_assert_eq(wouldAdmit, decision.verdict != GateVerdict::Refuse);
        if (decision.verdict == GateVerdict::Refuse) {
            cr_assert_eq(decision.ticket, 0U);
            cr_assert(decision.reason != RefusalReason::None);
            cr_assert(decision.retryAfter > Duration::zero());
        } else {
            cr_assert_eq(this->stages.count(decision.ticket), 0U, "a ticket was given out twice");
            const bool starts = decision.verdict == GateVerdict::Start;
            this->stages[decision.ticket] = starts ? Stage::Running : Stage::Waiting;
            cr_assert(!starts || attributes.deadline > this->now, "started after its deadline");
        }
        this->check(actions);
    }

    void finishOne(CallOutcome outcome)
    {
        const Ticket ticket = this->pick(Stage::Running);
        if (ticket == 0)
            return;
        this->stages[ticket] = Stage::Ended;
        std::vector<GateAction> actions;
        this->gate.finish(this->now, ticket, outcome, actions);
        this->check(actions);
    }

    void cancelOne()
    {
        const Ticket ticket = this->pick(this->random() % 2 == 0 ? Stage::Waiting : Stage::Running);
        if (ticket == 0)
            return;
        if (this->stages[ticket] == Stage::Waiting)
            this->stages[ticket] = Stage::Ended;
        std::vector<GateAction> actions;
        this->gate.cancel(this->now, ticket, actions);
        this->check(actions);
    }

    void advance()
    {
        std::vector<GateAction> actions;
        this->gate.advance(this->now, actions);
        this->check(actions);
        cr_assert(!this->gate.nextDeadline() || *this->gate.nextDeadline() > this->now);
    }

    void setState(UpstreamCondition condition)
    {
        std::vector<GateAction> actions;
        this->gate.setState(this->now, condition, this->slots, actions);
        this->check(actions);
        const bool accepts = condition == UpstreamCondition::Warming || condition == UpstreamCondition::Ready;
        cr_assert(accepts || this->gate.queued() == 0);
    }

    void check(const std::vector<GateAction> &actions)
    {
        for (const GateAction &action : actions) {
            cr_assert_eq(this->stages.count(action.ticket), 1U);
            cr_assert(this->stages[action.ticket] == Stage::Waiting,
                      "an action for a call that did not wait");
            this->stages[action.ticket] = action.start ? Stage::Running : Stage::Ended;
            cr_assert(action.start || action.retryAfter > Duration::zero());
        }
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        for (const auto &[ticket, stage] : this->stages) {
            running += stage == Stage::Running ? 1 : 0;
            waiting += stage == Stage::Waiting ? 1 : 0;
        }
        cr_assert_eq(running, this->gate.running());
        cr_assert_eq(waiting, this->gate.queued());
        cr_assert_leq(running, this->slots);
    }

    Ticket pick(Stage stage)
    {
        std::vector<Ticket> candidates;
        for (const auto &[ticket, ticketStage] : this->stages) {
            if (ticketStage == stage)
                candidates.push_back(ticket);
        }
        return candidates.empty() ? 0 : candidates[this->random() % candidates.size()];
    }

    std::mt19937_64 random;
    std::uint32_t slots;
    Gate gate;
    Instant now{};
    std::map<Ticket, Stage> stages;
};

} // namespace

// Calls arrive, finish, are cancelled and time out in any order while the upstream changes its state. If a
// slot was given twice, the upstream would be overloaded; if a refused call started, it would run although
// its caller was told that it had not.
TABLE_TEST(gateInvariants, holdUnderRandomCommands, seedRows)
{
    GateModel model(row);
    for (int step = 0; step < 2000; ++step)
        model.step();
    model.drain();
}
