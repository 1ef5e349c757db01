// Interface through which a node reads accepted configuration versions: from the table and object store that
// Publisher writes, or from any other store of successive versions.
#pragma once

#include <LibCore/Time.h>
#include <LibSource/Head.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sagecrank {

// Reads since the start of the process, in the units that the platform meters.
struct VersionSourceCounters
{
    std::uint64_t headReads = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t readBytes = 0;
};

struct HeadQuery
{
    // If set, a source that supports long polling responds when there is a newer version or after
    // maximumWait, and need not report a version that is not newer. Otherwise it responds immediately.
    std::optional<std::uint64_t> knownVersion;
    Duration maximumWait{};
    bool freshConnection = false; // Do not reuse an idle connection, which may be dead.
};

using HeadCallback = std::function<void(Result<Head>)>;
using SiteCallback = std::function<void(Result<SiteConfiguration>)>;

struct VersionSource
{
    // Reads the newest accepted version; version zero before the first one. Reads may overlap and complete in
    // any order.
    std::function<void(const HeadQuery &query, HeadCallback)> readHead;

    // Reads this site's configuration at the newest accepted version. Content that `held` (which may be null)
    // already has need not be read again. InvalidInput and TooLarge are permanent.
    std::function<void(std::shared_ptr<const SiteConfiguration> held, SiteCallback)> readSite;

    std::function<VersionSourceCounters()> counters;
};

// Reads versions as Publisher writes them: the head row, its manifest, the site's section list, the sections.
VersionSource makeTableVersionSource(TablePort table, ObjectPort objects, std::string site);

} // namespace Sagecrank
