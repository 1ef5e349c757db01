// Direct polling: every node reads the head each second and pulls from the platform by itself.
#include "Commands.h"

#include <LibPlatform/PlatformClient.h>
#include <Node/Control/ControlFollower.h>

#include <boost/asio/signal_set.hpp>

#include <cstdio>
#include <memory>

namespace Sagecrank {

namespace {

void printSwap(std::size_t node, std::uint64_t version)
{
    const auto time = SteadyClock::now().time_since_epoch();
    std::printf("{\"t\":%lld,\"p\":\"poll-%zu\",\"e\":\"node.swapped\",\"version\":%llu}\n",
                static_cast<long long>(std::chrono::duration_cast<std::chrono::nanoseconds>(time).count()),
                node, static_cast<unsigned long long>(version));
    std::fflush(stdout);
}

struct PollingNode
{
    std::unique_ptr<PlatformClient> client;
    std::unique_ptr<ControlFollower> follower;
};

} // namespace

int runPolling(const BenchSettings &settings)
{
    boost::asio::io_context context{1};
    std::vector<PollingNode> nodes(settings.nodes);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        PlatformClientSettings platform;
        platform.table = settings.platform;
        platform.objects = settings.platform;
        nodes[i].client = std::make_unique<PlatformClient>(context, platform);
        FollowerHooks hooks;
        hooks.offer = [i](const SiteConfiguration &configuration) -> Result<void> {
            printSwap(i, configuration.manifest.version);
            return success();
        };
        hooks.headRead = [](const ConfigurationVersion &) {};
        hooks.versionApplied = [](std::uint64_t) {};
        hooks.holders = [](std::uint64_t) { return std::vector<Holder>(); };
        hooks.zoneVersions = [] { return std::vector<std::uint64_t>(); };
        hooks.rank = [] { return 0U; }; // Everybody is the first poller.
        hooks.hasView = [] { return true; };
        hooks.failed = [](const Error &) {};
        nodes[i].follower = std::make_unique<ControlFollower>(
            context, "poll-" + std::to_string(i), settings.site,
            makeTableVersionSource(nodes[i].client->tablePort(), nodes[i].client->objectPort(),
                                   settings.site),
            FollowerSettings{}, std::move(hooks), i + 1);
        nodes[i].follower->start();
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    FollowerCounters sum;
    VersionSourceCounters reads;
    for (const PollingNode &node : nodes) {
        sum.pulledBytes += node.follower->counters().pulledBytes;
        sum.pulledBytes += node.follower->sourceCounters().readBytes;
        reads.headReads += node.follower->sourceCounters().headReads;
        reads.objectReads += node.follower->sourceCounters().objectReads;
    }
    std::printf("{\"e\":\"counters\",\"bytes\":%llu,\"head_reads\":%llu,\"object_reads\":%llu}\n",
                static_cast<unsigned long long>(sum.pulledBytes),
                static_cast<unsigned long long>(reads.headReads),
                static_cast<unsigned long long>(reads.objectReads));
    return 0;
}

} // namespace Sagecrank
