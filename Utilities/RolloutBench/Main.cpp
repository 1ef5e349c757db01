// Prints, for each policy and kind of bad version, how many roll-outs ended as they should, how much of the
// permitted exposure the worst one spent, and how long they took.
#include "RolloutModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace {

using namespace Sagecrank;

struct Case
{
    Badness badness;
    double size;
};

constexpr Case cases[] = {
    {Badness::None, 0},        {Badness::Errors, 1.0},   {Badness::Errors, 0.5},   {Badness::Errors, 0.2},
    {Badness::Errors, 0.05},   {Badness::Slow, 0.5},     {Badness::Slow, 0.25},    {Badness::UnderLoad, 0.5},
    {Badness::UnderLoad, 0.2}, {Badness::OneRoute, 0.5}, {Badness::OneRoute, 0.2}, {Badness::Late, 0.5},
    {Badness::Late, 0.2},
};

struct Size
{
    std::size_t upstreams;
    double callsPerSecond;
};

constexpr Size sizes[] = {{6, 100}, {40, 1600}, {172, 5000}};

void playCase(RolloutPolicy policy, const Case &played, const Size &size, bool noise, std::uint64_t seeds)
{
    std::uint64_t right = 0;
    std::uint64_t exposed = 0;
    double worstExposure = 0;
    double seconds = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RolloutScenario scenario;
        scenario.upstreams = size.upstreams;
        scenario.callsPerSecond = size.callsPerSecond;
        scenario.badness = played.badness;
        scenario.size = played.size;
        scenario.noise = noise;
        scenario.seed = seed;
        const RolloutOutcome outcome = playRollout(policy, scenario);
        right += outcome.isRight(played.badness) ? 1 : 0;
        const bool bad = played.badness != Badness::None;
        exposed += bad && (outcome.exposure > 1 || outcome.exposedTooLong) ? 1 : 0;
        worstExposure = std::max(worstExposure, bad ? outcome.exposure : 0);
        seconds += std::chrono::duration<double>(outcome.endedAfter).count();
    }
    const std::string badness(badnessNames.name(played.badness));
    std::printf("%-17s %9zu %7.0f %-10s %5.2f %-5s %7.4f %8llu %9.2f %8.1f\n",
                std::string(rolloutPolicyNames.name(policy)).c_str(), size.upstreams, size.callsPerSecond,
                badness.c_str(), played.size, noise ? "yes" : "no",
                static_cast<double>(right) / static_cast<double>(seeds),
                static_cast<unsigned long long>(exposed), worstExposure,
                seconds / static_cast<double>(seeds));
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 50;
    if (seeds == 0) {
        std::cerr << "usage: sagecrank-rollout-bench [SEEDS]\n";
        return 2;
    }
    std::printf("%-17s %9s %7s %-10s %5s %-5s %7s %8s %9s %8s\n", "policy", "upstreams", "calls/s", "badness",
                "size", "noise", "right", "exposed", "exposure", "seconds");
    for (const auto &policy : rolloutPolicyNames.rows) {
        for (const Size &size : sizes) {
            for (const Case &played : cases) {
                for (const bool noise : {false, true})
                    playCase(policy.first, played, size, noise, seeds);
            }
        }
    }
}
