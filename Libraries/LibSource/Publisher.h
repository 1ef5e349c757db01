// Publishes a configuration version for the whole mesh, or rolls back by publishing the content of an older
// version under a new number. Writes the objects first and advances the head last, so that an accepted
// version is always complete.
//
// Objects are never removed, neither those of old versions nor those of a publish that lost to another. They
// only take up space, and a rollback needs them. FIXME: There is no garbage collection yet. A site list of
// 820 services is 23.7 KB, so 7,800 changes per day of the base file at 25 sites add up to 4.6 GB per day.
#pragma once

#include <LibConfig/SourceFiles.h>
#include <LibSource/HeadWriter.h>
#include <LibSource/Ports.h>
#include <LibSource/Retry.h>

#include <optional>

namespace Sagecrank {

struct PublishRequest
{
    // The version that the operator's files are based on; if not set, whichever is in force.
    std::optional<std::uint64_t> expectedVersion;
    std::string publishId; // Unique among all publishes.
    std::string operatorName;
    std::uint64_t acceptedAt = 0; // Unix seconds.
};

class Publisher
{
public:
    Publisher(TablePort table, ObjectPort objects, Scheduler scheduler, RetryPolicy policy = {});

    // Both invoke the callback exactly once, even if the publisher is destroyed before that.
    void publish(std::vector<RenderedSite> sites, const PublishRequest &request,
                 PublishCallback callback) const;
    void rollback(std::uint64_t to, const PublishRequest &request, PublishCallback callback) const;

private:
    const TablePort table;
    const ObjectPort objects;
    const Scheduler scheduler;
    const RetryPolicy policy;
};

} // namespace Sagecrank
