// Full push: one place follows the head and sends the whole site to every node over its own connection.
#include "Commands.h"

#include <LibConfig/Delta.h>
#include <LibPlatform/PlatformClient.h>
#include <Node/Control/ControlFollower.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdio>
#include <cstring>
#include <memory>

namespace Sagecrank {

namespace {

using boost::asio::ip::tcp;
using Payload = std::vector<std::byte>;

// A node that takes whole sites: eight bytes of length, then a delta from nothing.
struct PushSink : std::enable_shared_from_this<PushSink>
{
    PushSink(tcp::socket socket, std::size_t index, std::string site)
        : socket(std::move(socket))
        , index(index)
        , site(std::move(site))
    {
    }

    void readNext()
    {
        boost::asio::async_read(this->socket, boost::asio::buffer(&this->size, sizeof(this->size)),
                                [self = this->shared_from_this()](const auto &error, std::size_t) {
                                    if (error)
                                        return;
                                    self->payload.resize(self->size);
                                    self->readPayload();
                                });
    }

    void readPayload()
    {
        boost::asio::async_read(this->socket, boost::asio::buffer(this->payload),
                                [self = this->shared_from_this()](const auto &error, std::size_t) {
                                    if (error)
                                        return;
                                    self->take();
                                    self->readNext();
                                });
    }

    void take()
    {
        SiteConfiguration nothing;
        nothing.manifest.site = this->site;
        const Result<SiteDelta> delta = decodeDelta(this->payload);
        if (!delta || !applyDelta(nothing, delta.value()))
            return;
        const auto time = SteadyClock::now().time_since_epoch();
        std::printf(
            "{\"t\":%lld,\"p\":\"push-%zu\",\"e\":\"node.swapped\",\"version\":%llu}\n",
            static_cast<long long>(std::chrono::duration_cast<std::chrono::nanoseconds>(time).count()),
            this->index, static_cast<unsigned long long>(delta.value().version));
        std::fflush(stdout);
    }

    tcp::socket socket;
    std::size_t index;
    std::string site;
    std::uint64_t size = 0;
    Payload payload;
};

struct PushSource
{
    explicit PushSource(boost::asio::io_context &context)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    void connect(boost::asio::io_context &context, std::size_t nodes, const std::string &site)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            tcp::socket sink(context);
            sink.connect(this->acceptor.local_endpoint());
            this->peers.push_back(std::make_unique<tcp::socket>(this->acceptor.accept()));
            std::make_shared<PushSink>(std::move(sink), i, site)->readNext();
        }
    }

    void push(const SiteConfiguration &configuration)
    {
        SiteConfiguration nothing;
        nothing.manifest.site = configuration.manifest.site;
        const Payload payload = encodeDelta(makeDelta(nothing, configuration));
        auto message = std::make_shared<Payload>(sizeof(std::uint64_t) + payload.size());
        const std::uint64_t size = payload.size();
        std::memcpy(message->data(), &size, sizeof(size));
        std::memcpy(message->data() + sizeof(size), payload.data(), payload.size());
        for (const auto &peer : this->peers) {
            this->bytes += message->size();
            boost::asio::async_write(*peer, boost::asio::buffer(*message),
                                     [message](const boost::system::error_code &, std::size_t) {});
        }
    }

    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<tcp::socket>> peers;
    std::uint64_t bytes = 0;
};

} // namespace

int runPush(const BenchSettings &settings)
{
    boost::asio::io_context context{1};
    PushSource source(context);
    source.connect(context, settings.nodes, settings.site);
    PlatformClientSettings platform;
    platform.table = settings.platform;
    platform.objects = settings.platform;
    PlatformClient client(context, platform);
    FollowerHooks hooks;
    hooks.offer = [&source](const SiteConfiguration &configuration) -> Result<void> {
        source.push(configuration);
        return success();
    };
    hooks.headRead = [](const ConfigurationVersion &) {};
    hooks.versionApplied = [](std::uint64_t) {};
    hooks.holders = [](std::uint64_t) { return std::vector<Holder>(); };
    hooks.zoneVersions = [] { return std::vector<std::uint64_t>(); };
    hooks.rank = [] { return 0U; };
    hooks.hasView = [] { return true; };
    hooks.failed = [](const Error &) {};
    ControlFollower follower(context, "push", settings.site,
                             makeTableVersionSource(client.tablePort(), client.objectPort(), settings.site),
                             FollowerSettings{}, std::move(hooks), 1);
    follower.start();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    std::printf("{\"e\":\"counters\",\"bytes\":%llu,\"head_reads\":%llu,\"object_reads\":%llu}\n",
                static_cast<unsigned long long>(source.bytes),
                static_cast<unsigned long long>(follower.sourceCounters().headReads),
                static_cast<unsigned long long>(follower.sourceCounters().objectReads));
    return 0;
}

} // namespace Sagecrank
