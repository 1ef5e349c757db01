// What the gate says to single calls: start, wait, or not now and when to come back.
#include <LibDecide/Gate.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <set>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

using Actions = std::vector<GateAction>;

constexpr Instant begin{};

CallAttributes call(CallClass callClass, Duration patience, Instant now = begin)
{
    return CallAttributes{callClass, now + patience};
}

Gate readyGate(std::uint32_t slots, std::uint32_t maximumQueue = 64)
{
    Gate gate(GateSettings{slots, maximumQueue, 7});
    Actions actions;
    gate.setState(begin, UpstreamCondition::Ready, slots, actions);
    return gate;
}

// Runs calls of the class one after the other, so that the gate learns how long they take.
Instant teach(Gate &gate, CallClass callClass, Duration runTime)
{
    Instant now = begin;
    for (int round = 0; round < 100; ++round) {
        Actions actions;
        const GateDecision decision = gate.offer(now, call(callClass, 1h, now), actions);
        now += runTime;
        gate.finish(now, decision.ticket, CallOutcome::Succeeded, actions);
    }
    return now;
}

struct RefusalRow
{
    UpstreamCondition condition;
    std::uint32_t slots;
    RefusalReason reason;
};

const RefusalRow refusalRows[] = {
    {UpstreamCondition::NotReady, 4, RefusalReason::NotReady},
    {UpstreamCondition::Draining, 4, RefusalReason::Draining},
    {UpstreamCondition::Ready, 0, RefusalReason::NotReady},
};

struct ClassPairRow
{
    CallClass first; // Goes first although it came later.
    CallClass second;
};

const ClassPairRow classPairRows[] = {
    {CallClass::Interactive, CallClass::Batch},
    {CallClass::NonIdempotent, CallClass::Batch},
};

} // namespace

TABLE_TEST(gate, saysAtOnceThatAnAbsentUpstreamTakesNothing, refusalRows)
{
    Gate gate(GateSettings{4, 64, 7});
    Actions actions;
    gate.setState(begin, row.condition, row.slots, actions);
    const GateDecision decision = gate.offer(begin, call(CallClass::Interactive, 1s), actions);
    cr_assert(decision.verdict == GateVerdict::Refuse);
    cr_assert(decision.reason == row.reason);
    cr_assert(decision.retryAfter > Duration::zero());
    cr_assert(!gate.wouldAdmit(begin, call(CallClass::Interactive, 1s)));
}

TABLE_TEST(gate, startsTheUrgentClassFirst, classPairRows)
{
    Gate gate = readyGate(1);
    Actions actions;
    const GateDecision running = gate.offer(begin, call(row.second, 1s), actions);
    const GateDecision later = gate.offer(begin, call(row.second, 10s), actions);
    const GateDecision urgent = gate.offer(begin, call(row.first, 1s), actions);
    cr_assert(later.verdict == GateVerdict::Queue);
    cr_assert(urgent.verdict == GateVerdict::Queue);
    gate.finish(begin + 1ms, running.ticket, CallOutcome::Succeeded, actions);
    cr_assert_eq(actions.size(), 1U);
    cr_assert(actions[0].start);
    cr_assert_eq(actions[0].ticket, urgent.ticket);
}

// The upstream was slow for a while: every call took longer than interactive callers wait. It is quick again,
// but nothing ran since that could show it. Callers must not be refused for ever by an old estimate.
Test(gate, anOldEstimateDoesNotRefuseForEver)
{
    Gate gate = readyGate(4);
    Instant now = teach(gate, CallClass::Interactive, 200ms);
    int admitted = 0;
    for (int caller = 0; caller < 100; ++caller) {
        Actions actions;
        now += 10ms;
        const GateDecision first = gate.offer(now, call(CallClass::Interactive, 100ms, now), actions);
        const GateDecision second = gate.offer(now, call(CallClass::Interactive, 100ms, now), actions);
        for (const GateDecision &decision : {first, second}) {
            if (decision.verdict == GateVerdict::Start)
                gate.finish(now + 4ms, decision.ticket, CallOutcome::Succeeded, actions);
        }
        admitted += second.verdict == GateVerdict::Start ? 1 : 0;
        cr_assert(first.verdict == GateVerdict::Start);
    }
    cr_assert_geq(admitted, 80);
}

// A burst meets one slot whose calls take 10 ms. Callers who would wait past their deadline are told so at
// once; each is given a later turn than the one before, so that they do not return together.
Test(gate, refusedCallersAreSentBackOneAfterTheOther)
{
    Gate gate = readyGate(1);
    const Instant now = teach(gate, CallClass::Interactive, 10ms);
    Actions actions;
    std::vector<Duration> returns;
    for (int caller = 0; caller < 60; ++caller) {
        const GateDecision decision = gate.offer(now, call(CallClass::Interactive, 100ms, now), actions);
        if (decision.verdict != GateVerdict::Refuse)
            continue;
        cr_assert(decision.reason == RefusalReason::DeadlineTooNear);
        returns.push_back(decision.retryAfter);
    }
    cr_assert_geq(returns.size(), 40U);
    const auto [soonest, latest] = std::minmax_element(returns.begin(), returns.end());
    cr_assert(*latest - *soonest > 300ms);
    cr_assert_geq(std::set<Duration>(returns.begin(), returns.end()).size(), returns.size() - 2);
}

// Interactive calls keep the only slot busy and always one more waits. An invoice arrives. It must start
// within its patience although interactive calls go first, since it is owed a share of the slot.
Test(gate, interactiveCallsDoNotStarveAnInvoice)
{
    Gate gate = readyGate(1);
    Instant now = teach(gate, CallClass::Interactive, 5ms);
    Actions actions;
    GateDecision running = gate.offer(now, call(CallClass::Interactive, 1s, now), actions);
    const GateDecision invoice = gate.offer(now, call(CallClass::NonIdempotent, 1s, now), actions);
    for (int round = 0; round < 20; ++round) {
        const GateDecision next = gate.offer(now, call(CallClass::Interactive, 1s, now), actions);
        now += 5ms;
        actions.clear();
        gate.finish(now, running.ticket, CallOutcome::Succeeded, actions);
        cr_assert_eq(actions.size(), 1U);
        if (actions[0].ticket == invoice.ticket)
            return;
        running.ticket = next.ticket;
    }
    cr_assert_fail("the invoice waited behind 20 later interactive calls");
}

Test(gate, aFullQueueGivesUpItsNewestBatchCall)
{
    Gate gate = readyGate(1, 2);
    Actions actions;
    gate.offer(begin, call(CallClass::Interactive, 1s), actions);
    gate.offer(begin, call(CallClass::Batch, 10s), actions);
    const GateDecision newest = gate.offer(begin, call(CallClass::Batch, 10s), actions);
    const GateDecision refused = gate.offer(begin, call(CallClass::Batch, 10s), actions);
    cr_assert(refused.reason == RefusalReason::QueueFull);
    cr_assert(actions.empty());
    const GateDecision urgent = gate.offer(begin, call(CallClass::Interactive, 1s), actions);
    cr_assert(urgent.verdict == GateVerdict::Queue);
    cr_assert_eq(actions.size(), 1U);
    cr_assert_eq(actions[0].ticket, newest.ticket);
    cr_assert(!actions[0].start);
    cr_assert(actions[0].reason == RefusalReason::Displaced);
    cr_assert(actions[0].retryAfter > Duration::zero());
}

Test(gate, batchLeavesSlotsForOthers)
{
    Gate gate = readyGate(6);
    Actions actions;
    const GateDecision other = gate.offer(begin, call(CallClass::Interactive, 1s), actions);
    gate.finish(begin + 1ms, other.ticket, CallOutcome::Succeeded, actions);
    std::uint32_t started = 0;
    for (int index = 0; index < 6; ++index) {
        const GateDecision decision = gate.offer(begin + 2ms, call(CallClass::Batch, 1min), actions);
        started += decision.verdict == GateVerdict::Start ? 1 : 0;
    }
    cr_assert_eq(started, 3U);
    cr_assert_eq(gate.freeSlots(), 3U);
}

// An upstream begins to drain while calls run and wait. Callers who wait are told at once that theirs did not
// run; those that run finish as if nothing were, and only then is the gate idle.
Test(gate, drainingRefusesTheQueueAndFinishesWhatRuns)
{
    Gate gate = readyGate(1);
    Actions actions;
    const GateDecision running = gate.offer(begin, call(CallClass::NonIdempotent, 1s), actions);
    const GateDecision waiting = gate.offer(begin, call(CallClass::NonIdempotent, 1s), actions);
    gate.setState(begin + 1ms, UpstreamCondition::Draining, 1, actions);
    cr_assert_eq(actions.size(), 1U);
    cr_assert_eq(actions[0].ticket, waiting.ticket);
    cr_assert(actions[0].reason == RefusalReason::Draining);
    cr_assert(!gate.isIdle());
    gate.finish(begin + 2ms, running.ticket, CallOutcome::Succeeded, actions);
    cr_assert_eq(actions.size(), 1U);
    cr_assert(gate.isIdle());
}

// The upstream hangs on the call before. The waiting caller's time runs out; it hears so when the gate is
// woken at the deadline it named, and the call does not start afterwards.
Test(gate, aWaitingCallIsRefusedWhenItsTimeRunsOut)
{
    Gate gate = readyGate(1);
    Actions actions;
    const GateDecision running = gate.offer(begin, call(CallClass::Interactive, 1s), actions);
    const GateDecision waiting = gate.offer(begin, call(CallClass::Interactive, 50ms), actions);
    cr_assert(gate.nextDeadline() == begin + 50ms);
    gate.advance(begin + 50ms, actions);
    cr_assert_eq(actions.size(), 1U);
    cr_assert_eq(actions[0].ticket, waiting.ticket);
    cr_assert(actions[0].reason == RefusalReason::DeadlinePassed);
    actions.clear();
    gate.finish(begin + 60ms, running.ticket, CallOutcome::Succeeded, actions);
    cr_assert(actions.empty());
}

// The upstream announces eight slots and bears two. Callers' calls are shed until the gate gives it no more
// than it bears, and then only when the gate tries one more; when it recovers, the gate finds back to eight.
Test(gate, sheddingLowersTheLimitAndSuccessRaisesIt)
{
    Gate gate = readyGate(8);
    Instant now = begin;
    std::size_t shed = 0;
    const auto round = [&](std::uint32_t bears) {
        Actions actions;
        std::vector<Ticket> tickets;
        for (int index = 0; index < 8; ++index) {
            const GateDecision decision = gate.offer(now, call(CallClass::Interactive, 1h, now), actions);
            if (decision.verdict == GateVerdict::Start)
                tickets.push_back(decision.ticket);
            else
                gate.cancel(now, decision.ticket, actions);
        }
        now += 10ms;
        for (std::size_t index = 0; index < tickets.size(); ++index)
            gate.finish(now, tickets[index], index < bears ? CallOutcome::Succeeded : CallOutcome::Shed,
                        actions);
        shed += tickets.size() - std::min<std::size_t>(tickets.size(), bears);
        return tickets.size();
    };
    for (int index = 0; index < 20; ++index)
        round(2);
    cr_assert_leq(round(2), 3U);
    shed = 0;
    for (int index = 0; index < 40; ++index)
        round(2);
    cr_assert_leq(shed, 6U, "%zu calls were shed in 40 rounds", shed);
    for (int index = 0; index < 80; ++index)
        round(8);
    cr_assert_eq(round(8), 8U);
}
