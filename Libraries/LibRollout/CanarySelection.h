// Selects the nodes that take part in a roll-out: the upstreams on trial, the established ones that they are
// compared with, and the nodes that judge. All by rendezvous hashing, so that nodes with the same view agree
// without communication.
#pragma once

#include <LibRollout/Rollout.h>

#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

enum class RolloutRole : std::uint8_t {
    Canary,     // Its upstream of the target gets calls on trial.
    Comparison, // Its upstream of the established version is observed.
    Judge,      // Collects the observations and decides.
};

inline constexpr EnumNames<RolloutRole, 3> rolloutRoleNames{{
    {RolloutRole::Canary, "canary"},
    {RolloutRole::Comparison, "comparison"},
    {RolloutRole::Judge, "judge"},
}};

// Three, so that one may be restarted and another cut off.
inline constexpr std::size_t judgesPerRollout = 3;

// Bounds the messages of a roll-out, whatever the size of the service.
inline constexpr std::size_t maximumComparisons = 16;

// Unless the target is loaded, its calls are spread over this many upstreams, so that one sick upstream is
// told from a bad version.
inline constexpr std::size_t maximumProbed = 16;

// Fewer could not be told from a few sick upstreams.
inline constexpr std::size_t minimumLoaded = 4;

// How many upstreams of the target are observed, and get its calls while it is on trial. While it is loaded,
// so many that `loadingShare` of the service's calls gives each of them about the load that it will have when
// the roll-out is completed.
std::size_t canaryCount(RolloutStage stage, std::size_t targetUpstreams, double loadingShare);

// The first `count` of the ids in the order of the role; fewer if there are fewer ids.
std::vector<std::string> selectForRole(const RolloutOrder &order, RolloutRole role,
                                       const std::vector<std::string> &ids, std::size_t count);

} // namespace Sagecrank
