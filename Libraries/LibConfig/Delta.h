// What changed between two versions of one site: the sections to take in and the services to drop. A node
// that holds the base builds the next version from it, and the digest of the whole section list proves that
// the result is the published one and no mixture.
#pragma once

#include <LibConfig/Assemble.h>

#include <string>
#include <vector>

namespace Sagecrank {

struct SiteDelta
{
    std::string site;
    std::uint64_t version = 0;        // Of the result.
    Digest base;                      // Section list that the delta starts from.
    Digest result;                    // Section list that it must end at.
    CallerLimits limits;              // Of the result.
    std::vector<ObjectBytes> changed; // Encoded sections, new or replaced.
    std::vector<std::string> removed; // Clusters that are no longer there.

    bool operator==(const SiteDelta &) const = default;
};

// Both are versions of the same site, and `to` is the newer one.
SiteDelta makeDelta(const SiteConfiguration &from, const SiteConfiguration &to);

// Refused whole when `held` is another site or not the base (Conflict), is as new (Refused), or when the
// result is not what was published (InvalidInput). `held` is unchanged in any case.
Result<SiteConfiguration> applyDelta(const SiteConfiguration &held, const SiteDelta &delta);

ObjectBytes encodeDelta(const SiteDelta &delta);
Result<SiteDelta> decodeDelta(std::span<const std::byte> bytes);

} // namespace Sagecrank
