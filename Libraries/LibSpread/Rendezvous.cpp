// Ranking by hash and by link bandwidth.
#include <LibSpread/Rendezvous.h>

#include <xxhash.h>

#include <algorithm>

namespace Sagecrank {

namespace {

std::uint64_t weight(std::uint64_t roleSeed, std::string_view id)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), roleSeed);
}

// Two, so that one can read while the other restarts.
constexpr std::size_t sufficientFastReaders = 2;

} // namespace

std::uint32_t rendezvousRank(std::string_view role, std::string_view self,
                             const std::vector<std::string_view> &others)
{
    const std::uint64_t roleSeed = XXH3_64bits(role.data(), role.size());
    const std::uint64_t own = weight(roleSeed, self);
    std::uint32_t rank = 0;
    for (const std::string_view other : others) {
        const std::uint64_t theirs = weight(roleSeed, other);
        if (theirs > own || (theirs == own && other > self))
            ++rank;
    }
    return rank;
}

std::uint32_t platformReaderRank(std::string_view role, const PlatformReader &self,
                                 const std::vector<PlatformReader> &others, std::uint32_t readers)
{
    std::uint32_t maximumMbps = self.linkMbps;
    for (const PlatformReader &other : others)
        maximumMbps = std::max(maximumMbps, other.linkMbps);
    const auto isFast = [maximumMbps](const PlatformReader &reader) {
        return 2 * reader.linkMbps >= maximumMbps;
    };
    std::vector<std::string_view> fast;
    std::vector<std::string_view> slow;
    for (const PlatformReader &other : others)
        (isFast(other) ? fast : slow).push_back(other.id);
    if (isFast(self))
        return rendezvousRank(role, self.id, fast);
    const auto fastCount = static_cast<std::uint32_t>(fast.size());
    const std::uint32_t first =
        fast.size() >= sufficientFastReaders ? std::max(fastCount, readers) : fastCount;
    return first + rendezvousRank(role, self.id, slow);
}

} // namespace Sagecrank
