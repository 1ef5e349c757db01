// Publishes generated versions straight to the platform.
#include "Commands.h"
#include "SampleSite.h"

#include <LibConfig/Assemble.h>
#include <LibPlatform/PlatformClient.h>
#include <LibSource/Head.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>

namespace Sagecrank {

namespace {

struct Object
{
    std::string name;
    std::vector<std::byte> bytes;
};

// Puts one object after the other, then moves the head.
struct Publisher : std::enable_shared_from_this<Publisher>
{
    explicit Publisher(boost::asio::io_context &context)
        : timer(context)
    {
    }

    // The platform takes several hundred writes a second; whoever is above that waits a little.
    void later(std::function<void()> work)
    {
        this->timer.expires_after(Milliseconds(50));
        this->timer.async_wait([work = std::move(work)](const boost::system::error_code &) { work(); });
    }

    boost::asio::steady_timer timer;
    TablePort table;
    ObjectPort objects;
    std::deque<Object> waiting;
    Row head;
    int result = 1;

    void next()
    {
        if (this->waiting.empty())
            return this->advanceHead();
        const Object object = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->objects.put(object.name, object.bytes,
                          [self = this->shared_from_this(), object](const Result<void> &written) {
                              if (written)
                                  return self->next();
                              self->waiting.push_back(object);
                              self->later([self] { self->next(); });
                          });
    }

    void advanceHead()
    {
        this->table.putIf({this->head, {}}, [self = this->shared_from_this()](const Result<void> &written) {
            if (!written)
                return self->later([self] { self->advanceHead(); });
            const auto time = SteadyClock::now().time_since_epoch();
            std::cout << std::chrono::duration_cast<std::chrono::nanoseconds>(time).count() << "\n";
            self->result = 0;
        });
    }
};

} // namespace

int runPublish(const BenchSettings &settings)
{
    boost::asio::io_context context{1};
    PlatformClientSettings platform;
    platform.table = settings.platform;
    platform.objects = settings.platform;
    PlatformClient client(context, platform);
    auto publisher = std::make_shared<Publisher>(context);
    publisher->table = client.tablePort();
    publisher->objects = client.objectPort();
    VersionManifest manifest{settings.version, "bench", {}};
    for (std::size_t i = 0; i < settings.sites; ++i) {
        const std::string site = "zone-" + std::to_string(i);
        const SiteConfiguration configuration =
            makeSite(site, settings.version, settings.services, settings.routes, settings.changed);
        const Digest digest = siteDigest(configuration.manifest);
        manifest.sites.push_back({site, digest});
        // All sites have the same sections, and later versions share those that did not change.
        const std::size_t written = settings.version == 1 ? settings.services : settings.changed;
        for (std::size_t k = 0; i == 0 && k < configuration.sections.size(); ++k) {
            const bool isNew =
                settings.version == 1 || std::stoul(configuration.sections[k].cluster.substr(8)) < written;
            if (isNew)
                publisher->waiting.push_back({sectionObjectName(configuration.manifest.sections[k].digest),
                                              encodeSection(configuration.sections[k])});
        }
        if (i == 0)
            publisher->waiting.push_back({siteObjectName(digest), encodeSite(configuration.manifest)});
    }
    std::sort(manifest.sites.begin(), manifest.sites.end(),
              [](const auto &first, const auto &second) { return first.site < second.site; });
    const auto bytes = encodeVersionManifest(manifest);
    publisher->waiting.push_back({manifestObjectName(settings.version, "bench"), bytes});
    publisher->head = headRow({settings.version, digestOf(bytes), "bench"});
    publisher->next();
    context.run_for(std::chrono::seconds(60));
    return publisher->result;
}

} // namespace Sagecrank
