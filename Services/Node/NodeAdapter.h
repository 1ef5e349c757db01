// Adapts a node to the platform that it runs on: the storage of versions and rows, the names of call headers,
// and the platform's own HTTP requests to the node. The rest of the node is independent of the platform.
#pragma once

#include "CallHeaders.h"
#include "NodeSettings.h"
#include <Node/Accounts/FreshnessGuard.h>
#include <Node/Admin/AdminFrontend.h>

#include <LibPlatform/PlatformClient.h>
#include <LibRollout/RolloutPort.h>
#include <LibSource/StoreEra.h>
#include <LibSource/VersionSource.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Sagecrank {

struct NodeAdapter
{
    CallHeaders headers;
    TablePort table;
    VersionSource versions;
    RolloutPort rollouts; // Without functions: there are no orders.
    std::function<PlatformCounters()> counters;
    // Sets the listener for answers of a store that states its time. Null if the store states none.
    std::function<void(std::function<void(const StoreAnswer &)>)> listenToStore;
    std::shared_ptr<StoreEra> era; // Null if the store of the platform is never restored from an older copy.
    // Handles requests on the announcement and probe ports. Needed only if these ports are configured.
    std::function<HttpResponse(const HttpRequest &, const AdminHooks &)> answer;
};

// The table and the version source answer on the given context, which outlives the adapter.
using NodeAdapterFactory = std::function<NodeAdapter(boost::asio::io_context &, const NodeSettings &)>;

// For a transactional table and an object store.
NodeAdapter makeTableAdapter(boost::asio::io_context &context, const NodeSettings &settings);

} // namespace Sagecrank
