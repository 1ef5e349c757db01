// Three control planes on loopback share an in-memory platform: versions and membership reach all of them.
#include <LibConfig/Assemble.h>
#include <LibConfig/ConfigurationHolder.h>
#include <Node/Control/ControlFollower.h>
#include <Node/Control/ControlPlane.h>

#include <LibSource/Head.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

using namespace Sagecrank;

namespace {

// An in-memory table and object store that answer asynchronously on the given context.
class FakePlatform
{
public:
    explicit FakePlatform(boost::asio::io_context &context)
        : context(context)
    {
    }

    TablePort table()
    {
        TablePort port;
        port.get = [this](const RowKey &key, const RowCallback &callback) {
            ++this->reads;
            boost::asio::post(this->context, [this, key, callback] { callback(this->row(key)); });
        };
        port.putIf = [this](const ConditionalPut &put, const WriteCallback &callback) {
            this->rows[put.row.key] = put.row;
            boost::asio::post(this->context, [callback] { callback(success()); });
        };
        port.query = [this](const QueryRequest &request, const RowsCallback &callback) {
            std::vector<Row> found;
            for (const auto &[key, row] : this->rows) {
                if (key.partition == request.partition)
                    found.push_back(row);
            }
            boost::asio::post(this->context, [callback, found] { callback(found); });
        };
        return port;
    }

    ObjectPort objects()
    {
        ObjectPort port;
        port.get = [this](const std::string &name, const BytesCallback &callback) {
            ++this->reads;
            boost::asio::post(this->context, [this, name, callback] { callback(this->object(name)); });
        };
        return port;
    }

    void publish(const SiteConfiguration &configuration)
    {
        const std::uint64_t version = configuration.manifest.version;
        for (const auto &[digest, bytes] : sectionBytes(configuration))
            this->stored[sectionObjectName(digest)] = bytes;
        const Digest site = siteDigest(configuration.manifest);
        this->stored[siteObjectName(site)] = encodeSite(configuration.manifest);
        const VersionManifest manifest{version, "p", {{configuration.manifest.site, site}}};
        const auto bytes = encodeVersionManifest(manifest);
        this->stored[manifestObjectName(version, "p")] = bytes;
        const Row head = headRow({version, digestOf(bytes), "p"});
        this->rows[head.key] = head;
    }

    bool down = false;
    std::size_t reads = 0;
    std::map<RowKey, Row> rows;

private:
    Error outage() const { return makeError(ErrorKind::Unavailable, "ask platform", "fake", "down"); }

    Result<std::optional<Row>> row(const RowKey &key)
    {
        if (this->down)
            return this->outage();
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? std::optional<Row>() : std::optional<Row>(found->second);
    }

    auto object(const std::string &name) -> Result<decltype(encodeSection({}))>
    {
        if (this->down)
            return this->outage();
        const auto found = this->stored.find(name);
        if (found == this->stored.end())
            return makeError(ErrorKind::NotFound, "get object", name, "none");
        return found->second;
    }

    boost::asio::io_context &context;
    std::map<std::string, decltype(encodeSection({}))> stored;
};

// A port that is free now for TCP and for UDP, since gossip uses UDP. The kernel returns another one for each
// call, so a collision is unlikely.
std::string freeAddress()
{
    boost::asio::io_context context;
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    while (true) {
        const boost::asio::ip::tcp::acceptor acceptor(context, {loopback, 0});
        const std::uint16_t port = acceptor.local_endpoint().port();
        boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
        boost::system::error_code error;
        socket.bind({loopback, port}, error);
        if (!error)
            return "127.0.0.1:" + std::to_string(port);
    }
}

struct TestNode
{
    std::unique_ptr<ConfigurationHolder> holder = std::make_unique<ConfigurationHolder>("s", HolderHooks{});
    std::unique_ptr<ControlPlane> plane;
    std::string gossipAddress = freeAddress();
    std::vector<Member> view;
    std::size_t errors = 0;
    std::uint64_t receivedEra = 0; // Store era received from a peer.

    void start(boost::asio::io_context &context, FakePlatform &platform, const std::string &id,
               const std::string &zone, std::vector<std::string> seeds)
    {
        ControlSettings settings;
        settings.id = id;
        settings.region = "r";
        settings.zone = zone;
        settings.site = "s";
        settings.gossipAddress = this->gossipAddress;
        settings.peerAddress = freeAddress();
        settings.controlAddress = freeAddress();
        settings.seeds = std::move(seeds);
        ControlHooks hooks;
        hooks.membersChanged = [this](const std::vector<Member> &members) { this->view = members; };
        hooks.configurationOffered = [this](SiteConfiguration configuration) {
            return this->holder->offer(std::move(configuration));
        };
        hooks.failed = [this](const Error &) { ++this->errors; };
        hooks.storeEraReceived = [this](std::uint64_t era) {
            this->receivedEra = era;
            this->plane->storeRestored();
        };
        this->plane = std::make_unique<ControlPlane>(
            context, settings, platform.table(),
            makeTableVersionSource(platform.table(), platform.objects(), settings.site), std::move(hooks));
        const Result<void> started = this->plane->start();
        cr_assert(started.has_value(), "%s", started ? "" : started.error().describe().c_str());
    }
};

SiteConfiguration configuration(std::uint64_t version, std::uint32_t queue, bool duplicateRoute = false)
{
    Route route;
    route.name = "slots";
    route.prefix = "/slots";
    Section booking{"booking", queue, {route}};
    Section entry{"entry", 64, {}};
    if (duplicateRoute)
        entry.routes.push_back(route);
    return makeSiteConfiguration(version, "s", {booking, entry});
}

struct Fixture
{
    RcuThread reader;
    boost::asio::io_context context;
    FakePlatform platform{context};
    TestNode nodes[3];

    // The time limit only ends a run that would never satisfy the condition.
    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant limit = SteadyClock::now() + std::chrono::seconds(60);
        while (!condition() && SteadyClock::now() < limit)
            this->context.run_for(Milliseconds(20));
        return condition();
    }

    bool allHold(std::uint64_t version) const
    {
        for (const TestNode &node : this->nodes) {
            if (node.plane && node.holder->version() != version)
                return false;
        }
        return true;
    }

    void startAll()
    {
        for (int i = 0; i < 3; ++i)
            this->nodes[i].start(this->context, this->platform, "n" + std::to_string(i), "z",
                                 {this->nodes[0].gossipAddress});
    }

    // Without seeds.
    void startInOwnZones()
    {
        for (int i = 0; i < 3; ++i)
            this->nodes[i].start(this->context, this->platform, "n" + std::to_string(i),
                                 "z" + std::to_string(i), {});
    }

    bool allSeeEachOther() const
    {
        return std::ranges::all_of(this->nodes, [](const TestNode &node) { return node.view.size() == 3; });
    }
};

} // namespace

Test(control, versionsReachAllNodes)
{
    Fixture fixture;
    fixture.platform.publish(configuration(1, 10));
    fixture.startAll();
    cr_assert(fixture.runUntil([&] { return fixture.allHold(1); }));
    cr_assert(fixture.runUntil([&] { return fixture.nodes[2].view.size() == 3; }));
    cr_assert(fixture.runUntil([&] { return fixture.nodes[2].plane->ready(); }));
    fixture.platform.publish(configuration(2, 20));
    cr_assert(fixture.runUntil([&] { return fixture.allHold(2); }));
    cr_assert(fixture.nodes[1].holder->held()->sections[0].maximumQueue == 20);
}

// A host is replaced during an outage of the platform. Its new node must get the configuration from its
// peers, and must not report that it is ready before.
Test(control, newNodePullsFromPeersDuringPlatformOutage)
{
    Fixture fixture;
    fixture.platform.publish(configuration(3, 10));
    for (int i = 0; i < 2; ++i)
        fixture.nodes[i].start(fixture.context, fixture.platform, "n" + std::to_string(i), "z",
                               {fixture.nodes[0].gossipAddress});
    cr_assert(fixture.runUntil([&] { return fixture.allHold(3); }));
    fixture.platform.down = true;
    fixture.nodes[2].start(fixture.context, fixture.platform, "n2", "z", {fixture.nodes[0].gossipAddress});
    cr_assert(!fixture.nodes[2].plane->ready());
    cr_assert(fixture.runUntil([&] { return fixture.nodes[2].holder->version() == 3; }));
}

// The settings name no seeds. The nodes must find each other through the introducers' rows in the platform's
// table.
Test(control, nodesFindEachOtherThroughIntroducers)
{
    Fixture fixture;
    fixture.startInOwnZones();
    cr_assert(fixture.runUntil([&] { return fixture.allSeeEachOther(); }));
}

// Guards against rows of another writer that stop the nodes from finding each other, or end them.
Test(control, nodesFindEachOtherBesideMalformedRows)
{
    const std::string addresses[] = {
        "", "not an address", "10.0.0.1:99999", "10.0.0.1:-1", "256.0.0.1:1", std::string(100'000, '1')};
    Fixture fixture;
    for (std::size_t place = 0; place < std::size(addresses); ++place) {
        for (int zone = 0; zone < 3; ++zone) {
            const RowKey key{"introducers", "z" + std::to_string(zone) + "#" + std::to_string(place)};
            fixture.platform.rows[key] = {key, {{"gossip", addresses[place]}}};
        }
    }
    const RowKey withoutAddress{"introducers", "z0"};
    fixture.platform.rows[withoutAddress] = {withoutAddress, {{"gossip", std::uint64_t{1}}}};
    fixture.startInOwnZones();
    cr_assert(fixture.runUntil([&] { return fixture.allSeeEachOther(); }));
}

// The platform's table is restored from a copy without the introducers' rows, and one node notices it. The
// others must learn of it and rewrite their rows at once, since the next renewal is up to a minute away.
Test(control, restoredStoreIsAnnouncedToAllNodes)
{
    Fixture fixture;
    fixture.startAll();
    const auto introducers = [&fixture] {
        return std::ranges::count_if(
            fixture.platform.rows, [](const auto &entry) { return entry.first.partition == "introducers"; });
    };
    cr_assert(fixture.runUntil([&] { return introducers() == 3; }));
    for (TestNode &node : fixture.nodes)
        node.plane->announceStoreEra(6);
    fixture.platform.rows.clear();
    fixture.nodes[0].plane->announceStoreEra(7);
    cr_assert(fixture.runUntil([&] { return introducers() == 3; }));
    cr_assert(fixture.nodes[1].receivedEra == 7 && fixture.nodes[2].receivedEra == 7);
}

// A version with invalid content was published. Every node must keep the version that it holds, report the
// invalid one, and apply the next valid one.
Test(control, invalidVersionIsRejectedAndNextOneApplied)
{
    Fixture fixture;
    fixture.platform.publish(configuration(1, 10));
    fixture.startAll();
    cr_assert(fixture.runUntil([&] { return fixture.allHold(1); }));
    fixture.platform.publish(configuration(2, 20, true));
    cr_assert(fixture.runUntil(
        [&] { return fixture.nodes[0].errors + fixture.nodes[1].errors + fixture.nodes[2].errors > 0; }));
    cr_assert(fixture.allHold(1));
    fixture.platform.publish(configuration(3, 30));
    cr_assert(fixture.runUntil([&] { return fixture.allHold(3); }));
}

Test(control, drainAndLeaveReachOtherNodes)
{
    Fixture fixture;
    fixture.platform.publish(configuration(1, 10));
    fixture.startAll();
    cr_assert(fixture.runUntil([&] { return fixture.allHold(1) && fixture.nodes[0].view.size() == 3; }));
    const auto seenAs = [&](MemberState state, UpstreamState upstream) {
        for (const Member &member : fixture.nodes[0].view) {
            if (member.id == "n2")
                return member.state == state && member.upstream == upstream;
        }
        return false;
    };
    fixture.nodes[2].plane->announceUpstream("booking", UpstreamState::Ready, 6);
    cr_assert(fixture.runUntil([&] { return seenAs(MemberState::Alive, UpstreamState::Ready); }));
    fixture.nodes[2].plane->announceUpstream("booking", UpstreamState::Draining, 6);
    cr_assert(fixture.runUntil([&] { return seenAs(MemberState::Alive, UpstreamState::Draining); }));
    bool left = false;
    fixture.nodes[2].plane->leave([&] { left = true; });
    cr_assert(fixture.runUntil([&] { return left; }));
    cr_assert(fixture.runUntil([&] { return seenAs(MemberState::Left, UpstreamState::Draining); }));
}

// A node that learns of a new version and of a peer that holds it must pull at once: a delay at each node on
// the path of a change would add up.
Test(controlFollower, pullsAsSoonAsHolderIsKnown)
{
    boost::asio::io_context context{1};
    FakePlatform platform(context);
    std::vector<Holder> known;
    FollowerHooks hooks;
    hooks.holders = [&known](std::uint64_t) { return known; };
    hooks.rank = [] { return 5U; };
    hooks.hasView = [] { return true; };
    ControlFollower follower(context, "a", "s",
                             makeTableVersionSource(platform.table(), platform.objects(), "s"),
                             FollowerSettings{}, std::move(hooks), 1);
    follower.versionAnnounced({3, 0, 0});
    cr_assert(follower.counters().peerPulls == 0);
    known.push_back({"b", freeAddress(), true});
    follower.pullIfNeeded();
    cr_assert(follower.counters().peerPulls == 1);
    follower.pullIfNeeded();
    cr_assert(follower.counters().peerPulls == 1, "only one pull at a time");
}

namespace {

// A version source that can stop answering: reads made meanwhile are never answered, even after it recovers.
class StallingSource
{
public:
    explicit StallingSource(boost::asio::io_context &context)
        : context(context)
    {
    }

    VersionSource source()
    {
        VersionSource made;
        made.readHead = [this](const HeadQuery &, HeadCallback callback) {
            ++this->reads;
            if (!this->stalled)
                boost::asio::post(this->context, [this, callback = std::move(callback)] {
                    callback(Head{this->version, {}, ""});
                });
        };
        made.readSite = [this](const std::shared_ptr<const SiteConfiguration> &,
                               const SiteCallback &callback) { callback(configuration(this->version, 10)); };
        made.counters = [] { return VersionSourceCounters{}; };
        return made;
    }

    bool stalled = false;
    std::uint64_t version = 1;
    std::size_t reads = 0;

private:
    boost::asio::io_context &context;
};

} // namespace

// Guards against callers getting 404 for a route that was published seconds ago. A read of the head was
// pending when the source stopped answering, and was never answered. The node started no new read until the
// pending one timed out, and then backed off for longer the longer the outage had been, although the source
// had recovered with a newer version. Seen in the logs of all polling nodes: reads begun before the end of an
// outage and given up 4.0 s later (event 5008), and the first success (5007) only after them.
Test(controlFollower, unansweredReadDoesNotBlockLaterReads)
{
    Fixture fixture;
    StallingSource platform(fixture.context);
    std::uint64_t held = 0;
    FollowerHooks hooks;
    hooks.offer = [](const SiteConfiguration &) { return success(); };
    hooks.headRead = [](const ConfigurationVersion &) {};
    hooks.versionApplied = [&held](std::uint64_t version) { held = version; };
    hooks.holders = [](std::uint64_t) { return std::vector<Holder>{}; };
    hooks.rank = [] { return 0U; };
    hooks.hasView = [] { return true; };
    hooks.knowsPeers = [] { return true; };
    hooks.knowsZone = [] { return true; };
    hooks.failed = [](const Error &) {};
    FollowerSettings settings;
    settings.poll.initialSpread = Milliseconds(10);
    settings.poll.fastInterval = Milliseconds(50);
    ControlFollower follower(fixture.context, "a", "s", platform.source(), settings, std::move(hooks), 1);
    follower.start();
    cr_assert(fixture.runUntil([&] { return held == 1; }));
    platform.stalled = true;
    const std::size_t before = platform.reads;
    cr_assert(fixture.runUntil([&] { return platform.reads > before; }));
    platform.stalled = false;
    platform.version = 2;
    cr_assert(fixture.runUntil([&] { return held == 2; }), "%zu reads", platform.reads - before);
}
