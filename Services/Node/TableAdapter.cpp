// Adapts a node to a transactional table and an object store, with this project's own call headers.
#include "NodeAdapter.h"

#include <LibSource/TableRollouts.h>

namespace Sagecrank {

NodeAdapter makeTableAdapter(boost::asio::io_context &context, const NodeSettings &settings)
{
    PlatformClientSettings platform;
    platform.table = settings.platform.table;
    platform.objects = settings.platform.objects;
    platform.tableName = settings.platform.tableName;
    platform.bucket = settings.platform.bucket;
    const auto client = std::make_shared<PlatformClient>(context, platform);
    NodeAdapter adapter;
    adapter.table = client->tablePort();
    adapter.versions = makeTableVersionSource(client->tablePort(), client->objectPort(), settings.site);
    const auto rollouts = std::make_shared<TableRollouts>(client->tablePort());
    adapter.rollouts = rollouts->port();
    // The few nodes that read the head often also read the orders; the others learn of them by gossip.
    adapter.versions.readHead = [readHead = adapter.versions.readHead, rollouts](const HeadQuery &query,
                                                                                 HeadCallback callback) {
        rollouts->refresh();
        readHead(query, std::move(callback));
    };
    adapter.counters = [client] { return client->counters(); };
    return adapter;
}

} // namespace Sagecrank
