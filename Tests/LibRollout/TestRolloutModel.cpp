// Plays whole roll-outs in the model and checks how they end.
#include <RolloutBench/RolloutModel.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct ModelRow
{
    const char *what;
    std::size_t upstreams;
    double callsPerSecond;
    Badness badness;
    double size;
    bool noise;
};

const ModelRow modelRows[] = {
    {"a good version", 40, 1600, Badness::None, 0, false},
    {"a good version of a small service", 6, 100, Badness::None, 0, false},
    {"every call fails", 40, 1600, Badness::Errors, 1.0, false},
    {"half of the calls fail", 40, 1600, Badness::Errors, 0.5, true},
    {"half of the calls of a small service fail", 6, 100, Badness::Errors, 0.5, false},
    {"half of the calls of a small service fail, with noise", 6, 100, Badness::Errors, 0.5, true},
    {"a fifth fails", 40, 1600, Badness::Errors, 0.2, false},
    {"eight times slower", 40, 1600, Badness::Slow, 0.5, true},
    {"fails under load only", 40, 1600, Badness::UnderLoad, 0.5, true},
    {"fails on one route only", 40, 1600, Badness::OneRoute, 0.5, true},
    {"turns bad after three seconds", 40, 1600, Badness::Late, 0.5, false},
    {"a large service, under load only", 172, 5000, Badness::UnderLoad, 0.5, true},
};

RolloutScenario scenarioOf(const ModelRow &row, std::uint64_t seed)
{
    RolloutScenario scenario;
    scenario.upstreams = row.upstreams;
    scenario.callsPerSecond = row.callsPerSecond;
    scenario.badness = row.badness;
    scenario.size = row.size;
    scenario.noise = row.noise;
    scenario.seed = seed;
    return scenario;
}

} // namespace

// A good version is completed in time, and a bad one is rolled back in time and within the bounds of
// exposure, also while some upstreams of both versions are slow or failing.
TABLE_TEST(rolloutModel, endsAsItShould, modelRows)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const RolloutOutcome outcome = playRollout(RolloutPolicy::SequentialLoaded, scenarioOf(row, seed));
        cr_assert(outcome.isRight(row.badness), "%s, seed %llu: %s, exposure %f", row.what,
                  static_cast<unsigned long long>(seed),
                  std::string(rolloutStageNames.name(outcome.end)).c_str(), outcome.exposure);
    }
}

// Faults that hit some upstreams of both versions must not look like a bad version.
Test(rolloutModel, noiseSeldomRollsAGoodVersionBack)
{
    std::size_t completed = 0;
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const ModelRow row{"noise", 40, 1600, Badness::None, 0, true};
        const RolloutOutcome outcome = playRollout(RolloutPolicy::SequentialLoaded, scenarioOf(row, seed));
        completed += outcome.isRight(Badness::None) ? 1 : 0;
    }
    cr_assert(completed * 2 > seeds, "%zu of %llu", completed, static_cast<unsigned long long>(seeds));
}
