// Ranking by hash.
#include <LibSpread/Rendezvous.h>

#include <xxhash.h>

namespace Sagecrank {

namespace {

std::uint64_t weight(std::uint64_t roleSeed, std::string_view id)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), roleSeed);
}

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

} // namespace Sagecrank
