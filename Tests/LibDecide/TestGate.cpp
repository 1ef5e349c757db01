// Decisions of the gate on single calls: start, queue, or refuse with a retry delay.
#include <LibDecide/Gate.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <set>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

using Actions = std::vector<GateAction>;

constexpr Instant begin{};

CallAttributes call(CallClass callClass, Duration timeout, Instant now = begin)
{
    return CallAttributes{callClass, now + timeout};
}

Gate readyGate(std::uint32_t slots, std::uint32_t maximumQueue = 64)
{
    Gate gate(GateSettings{slots, maximumQueue, 7});
    Actions actions;
    gate.setState(begin, UpstreamCondition::Ready, slots, actions);
    return gate;
}

// Runs calls of the class one after another, so that the gate learns their run time.
Instant learnRunTime(Gate &gate, CallClass callClass, Duration runTime)
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
    CallClass first; // Starts first although it arrived later.
    CallClass second;
};

const ClassPairRow classPairRows[] = {
    {CallClass::Interactive, CallClass::Batch},
    {CallClass::NonIdempotent, CallClass::Batch},
};

} // namespace

TABLE_TEST(gate, refusesAtOnceIfUpstreamIsUnavailable, refusalRows)
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

TABLE_TEST(gate, startsClassOfHigherPrecedenceFirst, classPairRows)
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

// After a slow period the gate's estimate is above every caller's deadline. The upstream is quick again, but
// no call has run since that could show it. Callers must not be refused for ever by the old estimate.
Test(gate, staleEstimateDoesNotRefuseForever)
{
    Gate gate = readyGate(4);
    Instant now = learnRunTime(gate, CallClass::Interactive, 200ms);
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

// A burst of calls of 10 ms arrives at one slot. Callers that would wait past their deadline are refused at
// once, each with a later retry time than the one before, so that they do not return together.
Test(gate, retryTimesOfRefusedCallersAreSpread)
{
    Gate gate = readyGate(1);
    const Instant now = learnRunTime(gate, CallClass::Interactive, 10ms);
    Actions actions;
    std::vector<Duration> retryDelays;
    for (int caller = 0; caller < 60; ++caller) {
        const GateDecision decision = gate.offer(now, call(CallClass::Interactive, 100ms, now), actions);
        if (decision.verdict != GateVerdict::Refuse)
            continue;
        cr_assert(decision.reason == RefusalReason::DeadlineTooNear);
        retryDelays.push_back(decision.retryAfter);
    }
    cr_assert_geq(retryDelays.size(), 40U);
    const auto [soonest, latest] = std::minmax_element(retryDelays.begin(), retryDelays.end());
    cr_assert(*latest - *soonest > 300ms);
    cr_assert_geq(std::set<Duration>(retryDelays.begin(), retryDelays.end()).size(), retryDelays.size() - 2);
}

// Interactive calls keep the only slot busy, and another one is always queued. A non-idempotent call must
// still start within its deadline, because its class has a guaranteed share of the slot.
Test(gate, interactiveCallsDoNotStarveNonIdempotentCalls)
{
    Gate gate = readyGate(1);
    Instant now = learnRunTime(gate, CallClass::Interactive, 5ms);
    Actions actions;
    GateDecision running = gate.offer(now, call(CallClass::Interactive, 1s, now), actions);
    const GateDecision nonIdempotent = gate.offer(now, call(CallClass::NonIdempotent, 1s, now), actions);
    for (int round = 0; round < 20; ++round) {
        const GateDecision next = gate.offer(now, call(CallClass::Interactive, 1s, now), actions);
        now += 5ms;
        actions.clear();
        gate.finish(now, running.ticket, CallOutcome::Succeeded, actions);
        cr_assert_eq(actions.size(), 1U);
        if (actions[0].ticket == nonIdempotent.ticket)
            return;
        running.ticket = next.ticket;
    }
    cr_assert_fail("the non-idempotent call waited behind 20 later interactive calls");
}

Test(gate, fullQueueDisplacesNewestBatchCall)
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

Test(gate, batchLeavesSlotsForOtherClasses)
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
    cr_assert_eq(gate.freeSlots(begin + 2ms), 3U);
}

// An upstream starts to drain with running and queued calls. The queued ones are refused at once, the running
// ones finish normally, and only then is the gate idle.
Test(gate, drainingRefusesQueuedAndFinishesRunningCalls)
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

// The upstream hangs on the call before. The queued call is refused when advance() is called at
// nextDeadline(), and does not start afterwards.
Test(gate, queuedCallIsRefusedAtItsDeadline)
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

// The upstream announces eight slots but bears two. Calls are shed until the limit reaches two, and
// afterwards only when the gate tries one more; after recovery the limit returns to eight.
Test(gate, sheddingLowersAndSuccessRaisesTheLimit)
{
    Gate gate = readyGate(8);
    Instant now = begin;
    std::size_t shed = 0;
    const auto round = [&](std::uint32_t capacity) {
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
            gate.finish(now, tickets[index], index < capacity ? CallOutcome::Succeeded : CallOutcome::Shed,
                        actions);
        shed += tickets.size() - std::min<std::size_t>(tickets.size(), capacity);
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
