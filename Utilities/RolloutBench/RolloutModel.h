// A model of one roll-out: calls arrive at random, upstreams of both versions answer them, and the decisions
// of LibRollout are taken on what the upstreams report. No sockets, no clock.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibRollout/RolloutPlan.h>

#include <cstdint>
#include <optional>

namespace Sagecrank {

// How the new version is bad.
enum class Badness : std::uint8_t {
    None,
    Errors,    // A share of its calls fails.
    Slow,      // Its calls take several times as long.
    UnderLoad, // A share of its calls fails while an upstream has most of its final load.
    OneRoute,  // A share of the calls of one route fails.
    Late,      // A share of its calls fails from some seconds after its start.
};

inline constexpr EnumNames<Badness, 6> badnessNames{{
    {Badness::None, "none"},
    {Badness::Errors, "errors"},
    {Badness::Slow, "slow"},
    {Badness::UnderLoad, "under_load"},
    {Badness::OneRoute, "one_route"},
    {Badness::Late, "late"},
}};

// How a roll-out is judged.
enum class RolloutPolicy : std::uint8_t {
    FixedThreshold,   // A fixed share over all new upstreams; bad above a fixed difference to the old ones.
    Sequential,       // Sequential tests and a share that rises, over all new upstreams.
    SequentialLoaded, // The same, with the calls on a few new upstreams once the share has risen.
};

inline constexpr EnumNames<RolloutPolicy, 3> rolloutPolicyNames{{
    {RolloutPolicy::FixedThreshold, "fixed_threshold"},
    {RolloutPolicy::Sequential, "sequential"},
    {RolloutPolicy::SequentialLoaded, "sequential_loaded"},
}};

struct RolloutScenario
{
    std::size_t upstreams = 40; // Of each version.
    double callsPerSecond = 1600;
    Duration duration = std::chrono::seconds(15);
    Badness badness = Badness::None;
    double size = 0.5;  // Share of failing calls; for Slow, the factor of the run time is 16 times this.
    bool noise = false; // One in seven upstreams of both versions is slow, and one in seven fails.
    Duration lateBy = std::chrono::seconds(3); // When a version that is bad late turns bad.
    std::uint64_t seed = 1;
};

struct RolloutOutcome
{
    RolloutStage end = RolloutStage::Probing; // As recorded by the deadline; otherwise the stage then.
    Duration endedAfter{};
    double exposure = 0; // Calls to the target until the deadline, as a share of those permitted.
    // A call reached the target later than five seconds after its 50th bad answer.
    bool exposedTooLong = false;

    // Whether the right end was recorded in time and, for a bad version, the bounds of exposure were kept.
    bool isRight(Badness badness) const;
};

RolloutOutcome playRollout(RolloutPolicy policy, const RolloutScenario &scenario);

} // namespace Sagecrank
