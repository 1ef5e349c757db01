// What callers get under the loads and faults that the decisions are made for, on the fake fleet at both
// users' sizes. The floors stand below what the fixed seeds give; each scenario is also held against round
// robin without admission where the decisions are there to do better.
#include <PolicyBench/Fleet.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <array>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

struct OutcomeRow
{
    const char *scenario;
    std::array<double, 3> inTime; // Least share of first attempts by class.
    std::array<double, 3> served; // Least share after coming back.
    bool beatsRoundRobin;         // Interactive and non-idempotent calls together.
    // Most callers of a class that are refused late. A few wait in vain: a batch call that is displaced, or
    // one whose upstream turns slow or silent meanwhile.
    double lateRefusals = 0.001;
};

// Burst and saturation: not all can be served in time, so the rest is refused at once and comes back.
// Slow, fails-fast, sheds, cold-start, drain, silent: one upstream (half of them for cold-start) misbehaves.
// All-shed, all-slow: all of them do; who waits when they turn slow is told late.
const OutcomeRow outcomeRows[] = {
    {"steady", {0.999, 0.999, 0.999}, {0.999, 0.999, 0.999}, false},
    {"burst", {0.85, 0.95, 0.95}, {0.995, 0.995, 0.99}, true},
    {"saturation", {0.75, 0.65, 0.01}, {0.99, 0.99, 0.95}, true},
    {"long-and-short", {0.995, 0.995, 0.99}, {0.999, 0.999, 0.99}, true},
    {"skew", {0.999, 0.999, 0.99}, {0.999, 0.999, 0.999}, false},
    {"slow", {0.995, 0.995, 0.99}, {0.999, 0.995, 0.99}, true},
    {"fails-fast", {0.995, 0.985, 0.99}, {0.999, 0.985, 0.999}, true},
    {"sheds", {0.995, 0.995, 0.99}, {0.999, 0.999, 0.99}, false},
    {"all-shed", {0.98, 0.98, 0.90}, {0.995, 0.995, 0.99}, true},
    {"all-slow", {0.55, 0.55, 0.65}, {0.92, 0.85, 0.99}, true, 0.003},
    {"cold-start", {0.99, 0.99, 0.98}, {0.995, 0.995, 0.99}, true},
    {"drain", {0.995, 0.995, 0.99}, {0.999, 0.999, 0.999}, false},
    {"silent", {0.985, 0.98, 0.95}, {0.995, 0.98, 0.99}, true},
};

constexpr std::uint64_t seed = 11;

// Late answers do not count as refusals at once: a refusal takes a way there and back, and a retry or two.
constexpr Duration atOnce = 30ms;

// From here on a quantile of refusals says something; below, one displaced call could decide it.
constexpr std::size_t enoughRefusals = 100;

// Of all callers of a class.
double lateRefusals(const ClassOutcome &got)
{
    const auto late =
        std::count_if(got.refusals.begin(), got.refusals.end(), [](Duration took) { return took > atOnce; });
    return got.share(static_cast<std::uint64_t>(late));
}

double share(const Outcome &outcome)
{
    const ClassOutcome &interactive = outcome.of(CallClass::Interactive);
    const ClassOutcome &nonIdempotent = outcome.of(CallClass::NonIdempotent);
    return static_cast<double>(interactive.inTime + nonIdempotent.inTime)
           / static_cast<double>(interactive.callers + nonIdempotent.callers);
}

} // namespace

TABLE_TEST(outcomes, callersAreServedInTimeOrToldAtOnce, outcomeRows)
{
    for (const FleetShape &fleet : todaysFleets()) {
        const Scenario scenario = scenarioNamed(fleet, row.scenario);
        cr_assert(scenario.name == row.scenario);
        const Outcome outcome = FakeFleet(fleet, scenario, ours(), seed).run();
        cr_assert_eq(outcome.ranAfterRefusal, 0U);
        cr_assert_eq(outcome.ranTwice, 0U);
        cr_assert_eq(outcome.overSlots, 0U);
        cr_assert_eq(outcome.neverEnded, 0U);
        cr_assert_eq(outcome.cutByDrain, 0U);
        cr_assert_eq(outcome.lateToDraining, 0U);
        cr_assert_eq(outcome.refusedWithoutReturn, 0U);
        for (std::size_t index = 0; index < 3; ++index) {
            const ClassOutcome &got = outcome.classes[index];
            cr_assert_geq(got.share(got.inTime), row.inTime[index], "%s %s class %zu: in time %f",
                          fleet.name.c_str(), row.scenario, index, got.share(got.inTime));
            cr_assert_geq(got.share(got.served), row.served[index], "%s %s class %zu: served %f",
                          fleet.name.c_str(), row.scenario, index, got.share(got.served));
            cr_assert_leq(lateRefusals(got), row.lateRefusals, "%s %s class %zu: refused late %f",
                          fleet.name.c_str(), row.scenario, index, lateRefusals(got));
            if (got.refusals.size() >= enoughRefusals)
                cr_assert(quantile(got.refusals, 0.95) <= atOnce, "%s %s class %zu: most are refused late",
                          fleet.name.c_str(), row.scenario, index);
        }
        if (!row.beatsRoundRobin)
            continue;
        const Outcome plain = FakeFleet(fleet, scenario, roundRobin(), seed).run();
        cr_assert_gt(share(outcome), share(plain), "%s %s", fleet.name.c_str(), row.scenario);
    }
}
