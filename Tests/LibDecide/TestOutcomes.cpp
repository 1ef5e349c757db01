// Outcomes for callers under the loads and faults that LibDecide handles, simulated on the fake fleet at both
// fleet sizes. The bounds are lower than the results of the fixed seeds. Where LibDecide should do better,
// each scenario is also compared with round robin without admission control.
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
    std::array<double, 3> inTime; // Minimum share of first attempts answered in time, by class.
    std::array<double, 3> served; // Minimum share served after retries, by class.
    bool beatsRoundRobin;         // For interactive and non-idempotent calls together.
    // Maximum share of callers of a class that are refused late. A few wait in vain: a displaced batch call,
    // or a call whose upstream turns slow or silent meanwhile.
    double lateRefusals = 0.001;
};

// burst, saturation: demand exceeds capacity, so excess calls are refused at once and retried. slow,
// fails-fast, sheds, cold-start, drain, silent: one upstream misbehaves (half of them in cold-start).
// all-shed, all-slow: all upstreams misbehave; calls that wait when they turn slow are refused late.
// named-limit, all-name-limits: one upstream or all ask for fewer calls; the same holds for calls that wait.
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
    {"named-limit", {0.995, 0.995, 0.99}, {0.999, 0.995, 0.99}, false},
    {"all-name-limits", {0.85, 0.85, 0.5}, {0.995, 0.98, 0.99}, false, 0.003},
};

constexpr std::uint64_t seed = 11;

// A refusal within this time counts as prompt; it includes a round trip and a retry or two.
constexpr Duration promptRefusal = 30ms;

// Minimum number of refusals for a quantile to be meaningful; with fewer, one displaced call could decide it.
constexpr std::size_t minimumRefusals = 100;

// Share of all callers of a class that were refused late.
double lateRefusals(const ClassOutcome &got)
{
    const auto late = std::count_if(got.refusalLatencies.begin(), got.refusalLatencies.end(),
                                    [](Duration took) { return took > promptRefusal; });
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

TABLE_TEST(outcomes, callersAreServedInTimeOrRefusedPromptly, outcomeRows)
{
    for (const FleetShape &fleet : currentFleets()) {
        const Scenario scenario = findScenario(fleet, row.scenario);
        cr_assert(scenario.name == row.scenario);
        const Outcome outcome = FakeFleet(fleet, scenario, sagecrankPolicy(), seed).run();
        cr_assert_eq(outcome.ranAfterRefusal, 0U);
        cr_assert_eq(outcome.ranTwice, 0U);
        cr_assert_eq(outcome.overSlots, 0U);
        cr_assert_eq(outcome.overNamedLimit, 0U);
        cr_assert_eq(outcome.unanswered, 0U);
        cr_assert_eq(outcome.interruptedByDrain, 0U);
        cr_assert_eq(outcome.sentToDraining, 0U);
        cr_assert_eq(outcome.refusedWithoutRetryAfter, 0U);
        for (std::size_t index = 0; index < 3; ++index) {
            const ClassOutcome &got = outcome.classes[index];
            cr_assert_geq(got.share(got.inTime), row.inTime[index], "%s %s class %zu: in time %f",
                          fleet.name.c_str(), row.scenario, index, got.share(got.inTime));
            cr_assert_geq(got.share(got.served), row.served[index], "%s %s class %zu: served %f",
                          fleet.name.c_str(), row.scenario, index, got.share(got.served));
            cr_assert_leq(lateRefusals(got), row.lateRefusals, "%s %s class %zu: refused late %f",
                          fleet.name.c_str(), row.scenario, index, lateRefusals(got));
            if (got.refusalLatencies.size() >= minimumRefusals)
                cr_assert(quantile(got.refusalLatencies, 0.95) <= promptRefusal,
                          "%s %s class %zu: most are refused late", fleet.name.c_str(), row.scenario, index);
        }
        if (!row.beatsRoundRobin)
            continue;
        const Outcome plain = FakeFleet(fleet, scenario, roundRobinPolicy(), seed).run();
        cr_assert_gt(share(outcome), share(plain), "%s %s", fleet.name.c_str(), row.scenario);
    }
}
