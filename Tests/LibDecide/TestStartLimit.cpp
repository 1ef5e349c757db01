// How many calls a start limit lets start, and when, with and without a gate around it.
#include <LibDecide/Gate.h>
#include <LibDecide/StartLimit.h>
#include <LibDecide/TargetGate.h>

#include <Support/TableTest.h>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

// Starts every call that the limit lets start, each millisecond; returns how many in all.
int startAll(StartLimit &limit, Instant from, Duration length)
{
    int started = 0;
    for (Instant now = from; now < from + length; now += 1ms) {
        for (; limit.available(now) > 0; ++started)
            limit.recordStart(now);
    }
    return started;
}

struct RateRow
{
    double callsPerSecond;
    int minimum; // Starts in ten seconds.
    int maximum;
};

// A limit of zero lets calls start so that their answers can tell of a higher one.
const RateRow rateRows[] = {{17.4, 173, 174}, {100, 999, 1000}, {0.5, 4, 5}, {0, 4, 5}};

struct AdmissionRow
{
    const char *name;
    AdmissionHooks (*make)();
};

const AdmissionRow admissionRows[] = {
    {"classes",
     [] {
         return makeAdmissionHooks(std::make_shared<Gate>(GateSettings{6, 256, 7}));
     }},
    {"targets",
     [] {
         return makeAdmissionHooks(std::make_shared<TargetGate>(TargetGateSettings{6, 256, 7}));
     }},
};

CallAttributes callAt(Instant now, Duration deadline)
{
    CallAttributes attributes;
    attributes.deadline = now + deadline;
    return attributes;
}

} // namespace

TABLE_TEST(startLimit, startsAtTheRate, rateRows)
{
    StartLimit limit;
    const Instant begin{};
    limit.setRate(begin, row.callsPerSecond);
    const int started = startAll(limit, begin, 10s);
    cr_assert(started >= row.minimum && started <= row.maximum, "%.1f a second: %d", row.callsPerSecond,
              started);
}

Test(startLimit, savesUpNoMoreThanItsBurst)
{
    StartLimit limit(250ms);
    const Instant begin{};
    limit.setRate(begin, 20);
    cr_assert_eq(limit.available(begin), 0U);
    cr_assert_eq(limit.available(begin + 1min), 5U);
}

Test(startLimit, endsWithoutARate)
{
    StartLimit limit;
    const Instant begin{};
    limit.setRate(begin, 1);
    cr_assert(limit.timeUntil(begin, 1) == 1s);
    limit.setRate(begin, std::nullopt);
    cr_assert(limit.available(begin) > 1000);
    cr_assert(limit.timeUntil(begin, 100) == Duration::zero());
}

// Guards against a limit that is lifted and named again in turn, and admits a burst each time.
Test(startLimit, namingItAgainAdmitsNoBurst)
{
    StartLimit limit;
    Instant now{};
    limit.setRate(now, 10);
    int started = 0;
    for (int round = 0; round < 100; ++round) {
        limit.setRate(now, std::nullopt);
        limit.setRate(now, 10);
        started += startAll(limit, now, 10ms);
        now += 10ms;
    }
    cr_assert(started <= 10, "%d", started);
}

// Guards against queued calls that wait for their deadline although the limit lets them start.
TABLE_TEST(startLimit, gateStartsQueuedCallsAtTheRate, admissionRows)
{
    const AdmissionHooks gate = row.make();
    std::vector<GateAction> actions;
    Instant now{};
    gate.setState(now, UpstreamCondition::Ready, 6, actions);
    gate.setStartLimit(now, 10, actions);
    for (int call = 0; call < 3; ++call)
        cr_assert(gate.offer(now, callAt(now, 10s), actions).verdict == GateVerdict::Queue, "%s", row.name);
    for (int call = 1; call <= 3; ++call) {
        const std::optional<Instant> next = gate.nextStart(now);
        cr_assert(next && *next > now, "%s", row.name);
        now = *next;
        actions.clear();
        gate.advance(now, actions);
        cr_assert(actions.size() == 1 && actions[0].start, "%s: call %d", row.name, call);
        cr_assert(now - Instant{} <= call * 100ms + 1ms, "%s: call %d", row.name, call);
    }
    cr_assert(!gate.nextStart(now), "%s: nothing is queued", row.name);
}

// Guards against calls that wait for the limit until their deadline and are refused only then.
TABLE_TEST(startLimit, gateRefusesAtOnceWhatTheLimitCannotServe, admissionRows)
{
    const AdmissionHooks gate = row.make();
    std::vector<GateAction> actions;
    const Instant now{};
    gate.setState(now, UpstreamCondition::Ready, 6, actions);
    gate.setStartLimit(now, 1, actions);
    cr_assert(gate.freeSlots(now) == 0, "%s", row.name);
    const GateDecision decision = gate.offer(now, callAt(now, 200ms), actions);
    cr_assert(decision.verdict == GateVerdict::Refuse, "%s", row.name);
    cr_assert(decision.retryAfter > 500ms, "%s: the first call starts in a second", row.name);
}
