// Where a node reads accepted versions from, behind hooks: the table and object store of this project's own
// publisher, or any other place that keeps one accepted version after the other.
#pragma once

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

using HeadCallback = std::function<void(Result<Head>)>;
using SiteCallback = std::function<void(Result<SiteConfiguration>)>;

struct VersionSource
{
    // The newest accepted version; version zero before the first one. With `known`, a source that can wait
    // holds its answer back for some seconds while nothing is newer than that; without, it answers at once.
    std::function<void(std::optional<std::uint64_t> known, HeadCallback)> newest;

    // The whole of this site at the newest accepted version. What `held` has (it may be null) need not be
    // read again. InvalidInput and TooLarge: it will not check tomorrow either.
    std::function<void(std::shared_ptr<const SiteConfiguration> held, SiteCallback)> read;

    std::function<VersionSourceCounters()> counters;
};

// Versions as Publisher writes them: the head row, its manifest, the site's section list, the sections.
VersionSource makeTableVersionSource(TablePort table, ObjectPort objects, std::string site);

} // namespace Sagecrank
