// Publishes a version of the whole mesh, or an older one's content under a new number. Writes the objects
// first and moves the head last, so that an accepted version is always there whole.
//
// Objects are never removed, neither those of old versions nor those of a publish that lost its race. They
// cost room and do no harm, and a rollback needs them. FIXME: Nothing collects them yet; a site list of 820
// services is 23.7 KB, so 7,800 changes a day of the base file at 25 sites leave up to 4.6 GB a day.
#pragma once

#include <LibConfig/SourceFiles.h>
#include <LibSource/HeadWriter.h>
#include <LibSource/Ports.h>
#include <LibSource/Retry.h>

#include <optional>

namespace Sagecrank {

// Who publishes, and over what.
struct PublishRequest
{
    std::optional<std::uint64_t>
        expectedVersion;   // The version the operator saw; none means the one read at the start.
    std::string publishId; // Unique among all publishes.
    std::string operatorName;
    std::uint64_t acceptedAt = 0; // Seconds since 1970.
};

class Publisher
{
public:
    Publisher(TablePort table, ObjectPort objects, Scheduler later, RetryPolicy policy = {});

    // Both call back once. The publisher itself may go away before that.
    void publish(std::vector<RenderedSite> sites, const PublishRequest &request,
                 PublishCallback callback) const;
    void rollback(std::uint64_t to, const PublishRequest &request, PublishCallback callback) const;

private:
    const TablePort table;
    const ObjectPort objects;
    const Scheduler later;
    const RetryPolicy policy;
};

} // namespace Sagecrank
