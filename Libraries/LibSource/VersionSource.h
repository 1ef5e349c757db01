// Where a node reads accepted versions from, behind hooks: the table and object store of this project's own
// publisher, or any other place that keeps one accepted version after the other.
#pragma once

#include <LibCore/Time.h>
#include <LibSource/Head.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sagecrank {

// Reads since the start, by what the platform meters.
struct VersionSourceCounters
{
    std::uint64_t headReads = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t readBytes = 0;
};

struct HeadQuery
{
    // With it, a source that can wait answers as soon as there is a newer version, or after the hold; and it
    // need not say again what is not newer. Without it, it answers at once.
    std::optional<std::uint64_t> knownVersion;
    Duration maximumWait{};
    bool freshConnection = false; // Not one that was kept, which may have fallen silent.
};

using HeadCallback = std::function<void(Result<Head>)>;
using SiteCallback = std::function<void(Result<SiteConfiguration>)>;

struct VersionSource
{
    // The newest accepted version; version zero before the first one. Reads may overlap, and be answered in
    // any order.
    std::function<void(const HeadQuery &query, HeadCallback)> readHead;

    // The whole of this site at the newest accepted version. What `held` has (it may be null) need not be
    // read again. InvalidInput and TooLarge: it will not check tomorrow either.
    std::function<void(std::shared_ptr<const SiteConfiguration> held, SiteCallback)> readSite;

    std::function<VersionSourceCounters()> counters;
};

// Versions as Publisher writes them: the head row, its manifest, the site's section list, the sections.
VersionSource makeTableVersionSource(TablePort table, ObjectPort objects, std::string site);

} // namespace Sagecrank
