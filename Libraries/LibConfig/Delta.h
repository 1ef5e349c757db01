// What changed between two versions of one site: the routes to take in, the sections that are new, the
// services to drop, and the accounts that changed. A node that holds the base builds the next version from
// it, and the digest of the whole section list proves that the result is the published one and no mixture.
//
// Load: 20 changes of one route each within 7 s, 100 nodes. Harm of sending a changed section whole: 125 KB
// for each change and node, which on links of 5 Mbit/s made a quarter of the calls between two nodes wait 43
// ms or more, a tenth 163 ms (the nodes' own log lines). A change of one route is some hundred bytes.
#pragma once

#include <LibConfig/Assemble.h>

#include <string>
#include <vector>

namespace Sagecrank {

// Routes of the changed section in their order: `count` ones of the base from `first` on, then `added`.
struct RouteRun
{
    std::uint32_t first = 0;
    std::uint32_t count = 0;
    std::vector<Route> added;

    bool operator==(const RouteRun &) const = default;
};

// A section that the base has too.
struct SectionPatch
{
    std::string cluster;
    std::uint32_t maximumQueue = 0; // As in Section.
    std::vector<RouteRun> runs;

    bool operator==(const SectionPatch &) const = default;
};

struct SiteDelta
{
    std::string site;
    std::uint64_t version = 0;      // Of the result.
    Digest base;                    // Of the site that the delta starts from.
    Digest result;                  // Of the site that it must end at.
    CallerLimits limits;            // Of the result.
    std::vector<ObjectBytes> added; // Encoded sections that the base has not.
    std::vector<SectionPatch> patched;
    std::vector<std::string> removed; // Clusters that are no longer there.
    // Absent where the result requires no keys.
    bool keysRequired = false;
    std::vector<Account> changedAccounts; // New ones too.
    std::vector<std::string> removedAccounts;

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
