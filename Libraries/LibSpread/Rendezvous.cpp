// Ranking by hash.
#include <LibSpread/Rendezvous.h>

#include <xxhash.h>

#include <algorithm>

namespace Sagecrank {

namespace {

std::uint64_t weight(std::uint64_t roleSeed, std::string_view id)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), roleSeed);
}

// So many wide readers are enough: one may be restarted while the other reads.
constexpr std::size_t enoughWideReaders = 2;

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
    std::uint32_t widest = self.linkMbps;
    for (const PlatformReader &other : others)
        widest = std::max(widest, other.linkMbps);
    const auto isWide = [widest](const PlatformReader &reader) { return 2 * reader.linkMbps >= widest; };
    std::vector<std::string_view> wide;
    std::vector<std::string_view> narrow;
    for (const PlatformReader &other : others)
        (isWide(other) ? wide : narrow).push_back(other.id);
    if (isWide(self))
        return rendezvousRank(role, self.id, wide);
    const auto before = static_cast<std::uint32_t>(wide.size());
    const std::uint32_t first = wide.size() >= enoughWideReaders ? std::max(before, readers) : before;
    return first + rendezvousRank(role, self.id, narrow);
}

} // namespace Sagecrank
