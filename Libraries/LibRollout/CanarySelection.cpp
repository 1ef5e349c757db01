// Ranks nodes for their roles in a roll-out.
#include <LibRollout/CanarySelection.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sagecrank {

std::size_t canaryCount(RolloutStage stage, std::size_t targetUpstreams, double loadingShare)
{
    if (stage != RolloutStage::Loading)
        return std::min(targetUpstreams, maximumProbed);
    const auto loaded =
        static_cast<std::size_t>(std::lround(loadingShare * static_cast<double>(targetUpstreams)));
    return std::min(targetUpstreams, std::max(loaded, minimumLoaded));
}

std::vector<std::string> selectForRole(const RolloutOrder &order, RolloutRole role,
                                       const std::vector<std::string> &ids, std::size_t count)
{
    const std::string name =
        std::string(rolloutRoleNames.name(role)) + "#" + order.cluster + "#" + std::to_string(order.sequence);
    const std::uint64_t seed = XXH3_64bits(name.data(), name.size());
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(ids.size());
    for (const std::string &id : ids)
        ranked.emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), seed), id);
    const std::size_t selected = std::min(count, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(selected), std::greater{});
    std::vector<std::string> result;
    result.reserve(selected);
    for (std::size_t index = 0; index < selected; ++index)
        result.push_back(std::move(ranked[index].second));
    return result;
}

} // namespace Sagecrank
