// Tests when a roll-out goes on to its next stage, and who takes part in it.
#include <LibRollout/CanarySelection.h>
#include <LibRollout/ExposureBudget.h>
#include <LibRollout/RolloutPlan.h>

#include <Support/TableTest.h>

#include <algorithm>

using namespace Sagecrank;

namespace {

const Instant start = Instant() + std::chrono::hours(1);
constexpr Duration duration = std::chrono::seconds(12);

RolloutRecord makeRecord(RolloutStage stage, Duration inStage, Instant now)
{
    return {{"booking", "v2", duration, 7}, "v1", stage, start + duration, now - inStage};
}

struct PlanRow
{
    const char *what;
    RolloutStage stage;
    Milliseconds now; // Since the order.
    Milliseconds inStage;
    std::uint32_t targetCalls;
    double score;
    RolloutUpstreams upstreams;
    std::optional<RolloutStage> expected;
};

const RolloutUpstreams both{10, 60, 10, 60, 10};
const RolloutUpstreams finished{10, 60, 0, 0, 0};
const RolloutUpstreams targetMissing{0, 0, 10, 60, 10};
const RolloutUpstreams targetSmall{4, 24, 10, 60, 10};

const PlanRow planRows[] = {
    {"few probes", RolloutStage::Probing, Milliseconds(500), Milliseconds(500), 10, 0, both, std::nullopt},
    {"enough probes", RolloutStage::Probing, Milliseconds(500), Milliseconds(500), 40, 0, both,
     RolloutStage::Loading},
    {"a service with few calls", RolloutStage::Probing, Milliseconds(2000), Milliseconds(2000), 10, 0, both,
     RolloutStage::Loading},
    {"no probe was answered", RolloutStage::Probing, Milliseconds(2000), Milliseconds(2000), 0, 0, both,
     std::nullopt},
    {"doubtful probes", RolloutStage::Probing, Milliseconds(3000), Milliseconds(3000), 90, 3, both,
     std::nullopt},
    {"bad probes", RolloutStage::Probing, Milliseconds(3000), Milliseconds(3000), 90, 8, both,
     RolloutStage::RollingBack},
    {"load borne", RolloutStage::Loading, Milliseconds(4000), Milliseconds(2000), 400, 0, both,
     RolloutStage::Watching},
    {"bad under load", RolloutStage::Loading, Milliseconds(4000), Milliseconds(1000), 400, 9, both,
     RolloutStage::RollingBack},
    {"good, but early", RolloutStage::Watching, Milliseconds(6000), Milliseconds(2000), 400, 0, both,
     std::nullopt},
    {"good and time to move", RolloutStage::Watching, Milliseconds(8500), Milliseconds(5000), 400, 0, both,
     RolloutStage::Moving},
    {"time to move, but too few upstreams", RolloutStage::Watching, Milliseconds(8500), Milliseconds(5000),
     400, 0, targetSmall, std::nullopt},
    {"never judged", RolloutStage::Loading, Milliseconds(12000), Milliseconds(9000), 10, 0, both,
     RolloutStage::RollingBack},
    {"old upstreams still work", RolloutStage::Moving, Milliseconds(11000), Milliseconds(1500), 900, 0, both,
     std::nullopt},
    {"old upstreams have finished", RolloutStage::Moving, Milliseconds(11000), Milliseconds(1500), 900, 0,
     finished, RolloutStage::Completed},
    {"finished before all nodes can know", RolloutStage::Moving, Milliseconds(11000), Milliseconds(500), 900,
     0, finished, std::nullopt},
    {"an old upstream never finishes", RolloutStage::Moving, Milliseconds(16000), Milliseconds(6000), 900, 0,
     both, RolloutStage::Completed},
    {"turns bad in the move", RolloutStage::Moving, Milliseconds(11000), Milliseconds(500), 900, 9, both,
     RolloutStage::RollingBack},
    {"the target is lost in the move", RolloutStage::Moving, Milliseconds(11000), Milliseconds(500), 900, 0,
     targetMissing, RolloutStage::RollingBack},
    {"a verdict is to be recorded", RolloutStage::RollingBack, Milliseconds(5000), Milliseconds(1), 90, 9,
     both, RolloutStage::RolledBack},
    {"over", RolloutStage::Completed, Milliseconds(5000), Milliseconds(1), 90, 9, both, std::nullopt},
};

struct CountRow
{
    RolloutStage stage;
    std::size_t upstreams;
    std::size_t expected;
};

const CountRow countRows[] = {
    {RolloutStage::Probing, 40, 16},  {RolloutStage::Probing, 3, 3}, {RolloutStage::Loading, 40, 4},
    {RolloutStage::Loading, 172, 14}, {RolloutStage::Loading, 2, 2}, {RolloutStage::Watching, 172, 16},
};

std::vector<std::string> makeIds(std::size_t count)
{
    std::vector<std::string> ids;
    for (std::size_t index = 0; index < count; ++index)
        ids.push_back("host-" + std::to_string(index));
    return ids;
}

} // namespace

TABLE_TEST(rolloutPlan, goesOnWhenItMay, planRows)
{
    const Instant now = start + row.now;
    RolloutAssessment assessment;
    assessment.targetCalls = row.targetCalls;
    assessment.targetSources = row.targetCalls > 0 ? 4 : 0;
    assessment.score = row.score;
    assessment.threshold = 8;
    assessment.longestRun = Milliseconds(1000);
    const auto step = nextStep(now, makeRecord(row.stage, row.inStage, now), assessment, row.upstreams);
    cr_assert(step.has_value() == row.expected.has_value(), "%s", row.what);
    if (step)
        cr_assert(step->stage == *row.expected, "%s", row.what);
}

TABLE_TEST(canarySelection, boundsTheUpstreamsOnTrial, countRows)
{
    cr_assert(canaryCount(row.stage, row.upstreams, 0.08) == row.expected);
}

// Nodes that see the same upstreams select the same ones, in whatever order they see them.
Test(canarySelection, isTheSameOnAllNodes)
{
    const RolloutOrder order{"booking", "v2", duration, 7};
    std::vector<std::string> ids = makeIds(40);
    const auto selected = selectForRole(order, RolloutRole::Canary, ids, 4);
    std::ranges::reverse(ids);
    cr_assert(selectForRole(order, RolloutRole::Canary, ids, 4) == selected);
    cr_assert(selectForRole(order, RolloutRole::Judge, ids, 4) != selected);
    cr_assert(selectForRole(order, RolloutRole::Judge, makeIds(2), 4).size() == 2);
}

// The sum over all nodes keeps the bound without communication, also when nodes forget what they spent.
Test(exposureBudget, sumStaysWithinTheShareAcrossRestarts)
{
    constexpr double share = 0.08;
    constexpr std::size_t nodes = 82;
    std::vector<ExposureBudget> budgets(nodes);
    std::size_t calls = 0;
    std::size_t exposed = 0;
    for (std::size_t round = 0; round < 2000; ++round) {
        for (std::size_t node = 0; node < nodes; ++node) {
            if ((round * nodes + node) % 977 == 0)
                budgets[node] = ExposureBudget();
            const bool trial = budgets[node].tryAcquire();
            exposed += trial ? 1 : 0;
            ++calls;
            budgets[node].recordArrival(share);
        }
    }
    cr_assert(static_cast<double>(exposed) <= share * static_cast<double>(calls));
    cr_assert(static_cast<double>(exposed) >= 0.9 * share * static_cast<double>(calls));
}
