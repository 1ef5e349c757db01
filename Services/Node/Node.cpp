// Joins the parts of a node.
#include "Node.h"

#include <boost/asio/post.hpp>

#include <csignal>
#include <random>

namespace Sagecrank {

namespace {

// How often presence and drain look at the clock.
constexpr Duration tickInterval = Milliseconds(100);

// Longer than any backoff or ejection, short against the 1,100 hosts that are replaced in a day.
constexpr Duration forgetInterval = std::chrono::minutes(10);

// At about 200 bytes each, half a megabyte of the node's 32.
constexpr std::size_t spanCapacity = 2048;
constexpr std::size_t spansShown = 500;

EventLogSettings logSettings(const NodeSettings &settings)
{
    EventLogSettings log;
    log.minimumLevel = logLevelNames.value(settings.logLevel).value_or(LogLevel::Info);
    return log;
}

std::function<std::uint64_t()> makeRandom()
{
    return [generator = std::mt19937_64(std::random_device{}())]() mutable { return generator(); };
}

PlatformClientSettings platformSettings(const NodeSettings &settings)
{
    PlatformClientSettings platform;
    platform.table = settings.platform.table;
    platform.objects = settings.platform.objects;
    platform.tableName = settings.platform.tableName;
    platform.bucket = settings.platform.bucket;
    return platform;
}

ControlSettings controlSettings(const NodeSettings &settings)
{
    ControlSettings control;
    control.id = settings.id;
    control.region = settings.region;
    control.zone = settings.zone;
    control.site = settings.site;
    control.gossipAddress = settings.listen.gossip;
    control.peerAddress = settings.advertise.peers;
    control.controlAddress = settings.listen.control;
    control.seeds = settings.seeds;
    return control;
}

HttpServerSettings adminServerSettings()
{
    HttpServerSettings server;
    server.maximumConnections = 64;
    return server;
}

// Valid when there is no reason against it.
NodeOffered offeredEvent(const SiteManifest &manifest, std::string reason)
{
    return {manifest.version, toHex(sectionListDigest(manifest.sections)), reason.empty(), std::move(reason)};
}

} // namespace

Node::Node(NodeSettings settings)
    : settings(std::move(settings))
    , history(this->settings.id, this->settings.history)
    , log(this->settings.id, logSettings(this->settings))
    , nodeLog(this->log, this->settings.id)
    , spans(spanCapacity)
    , observer(this->log, this->metrics, this->spans)
    , ids(this->settings.id)
    , configuration(this->settings.site, this->holderHooks())
    , viewBuilder(this->settings.id, this->settings.zone,
                  [share = this->settings.requests.retryShare] {
                      return std::make_shared<ServiceState>(PlacerSettings{}, share, makeRandom());
                  })
    , platform(this->control, platformSettings(this->settings))
    , claims(this->control, this->platform.tablePort())
    , gate(this->settings.id, this->claims.hooks(), this->history, this->observer)
    , presence({[this](const std::string &cluster) { this->nodeLog.upstreamSilent(cluster); },
                [this](const UpstreamAnnouncement &announcement) { this->gate.announce(announcement); },
                [this](const std::string &cluster, UpstreamState state, std::uint32_t slots) {
                    this->nodeLog.upstreamChanged(cluster, state, slots);
                    this->plane.announceUpstream(cluster, state, slots);
                    this->limitQueue();
                }})
    , forwarding{this->settings.id, this->gate, this->view, this->ids, this->history, this->observer}
    , callers(this->forwarding, this->settings.requests.maximumTimeout, this->callerHooks())
    , admin(this->adminHooks())
    , adminServer(this->control, adminServerSettings(),
                  [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                      exchange->respond(this->admin.answer(request));
                  })
    , plane(this->control, controlSettings(this->settings), this->platform.tablePort(),
            this->platform.objectPort(), this->controlHooks())
    , drain({this->settings.drain.linger, this->settings.drain.maximum}, this->drainHooks())
    , ticker(this->control)
    , signals(this->control, SIGTERM, SIGINT)
{
    for (std::uint32_t index = 0; index < this->settings.threads; ++index) {
        this->workers.push_back(std::make_unique<Worker>(
            this->settings, this->gate, this->observer,
            [this](Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                this->callers.handle(worker, std::move(request), std::move(exchange));
            }));
    }
}

Node::~Node()
{
    for (const auto &worker : this->workers)
        worker->stop();
}

Result<void> Node::start()
{
    TRY_VOID(this->adminServer.listen(this->settings.listen.admin));
    for (const auto &worker : this->workers)
        TRY_VOID(worker->listen());
    TRY_VOID(this->plane.start());
    for (const auto &worker : this->workers)
        worker->start();
    this->watchSignals();
    this->tick();
    this->log.write(EventId::ProcessStarted,
                    {{"callers", this->settings.listen.callers}, {"zone", this->settings.zone}});
    return success();
}

void Node::run()
{
    const RcuThread reader;
    this->control.run();
    this->log.write(EventId::ProcessStopped,
                    {{"in_flight", this->gate.inFlight()}, {"calls_forwarded", this->callsForwarded.load()}});
}

HolderHooks Node::holderHooks()
{
    HolderHooks hooks;
    // The version has been found good, and nothing of it is in force yet: a history must say both in this
    // order.
    hooks.swapping = [this](const Snapshot &next, std::uint64_t previous) {
        this->history.record([&] { return offeredEvent(next.configuration().manifest, {}); });
        this->history.record([&] {
            NodeSwapped event;
            event.version = next.version();
            event.previous = previous;
            event.site = this->settings.site;
            event.digest = toHex(sectionListDigest(next.configuration().manifest.sections));
            for (const Section &section : next.configuration().sections) {
                event.clusters.push_back(section.cluster);
                event.routeClusters.insert(event.routeClusters.end(), section.routes.size(), section.cluster);
            }
            return event;
        });
    };
    hooks.swapped = [this](const Snapshot &next, std::uint64_t previous) {
        this->nodeLog.configurationSwapped(next.version(), previous);
        this->limitQueue();
    };
    return hooks;
}

ControlHooks Node::controlHooks()
{
    ControlHooks hooks;
    hooks.membersChanged = [this](const std::vector<Member> &members) { this->membersChanged(members); };
    hooks.configurationOffered = [this](SiteConfiguration configuration) {
        return this->offer(std::move(configuration));
    };
    hooks.memberChanged = [this](const Member &member) {
        this->nodeLog.memberChanged(member);
        this->recordMember(member);
    };
    hooks.failed = [this](const Error &error) { this->nodeLog.controlFailed(error); };
    return hooks;
}

Result<void> Node::offer(SiteConfiguration configuration)
{
    const SiteManifest manifest = configuration.manifest;
    const Result<void> taken = this->configuration.offer(std::move(configuration));
    if (!taken) {
        this->nodeLog.configurationRefused(manifest.version, taken.error());
        this->history.record([&] { return offeredEvent(manifest, taken.error().describe()); });
    }
    return taken;
}

void Node::recordMember(const Member &member)
{
    this->history.record([&] {
        return NodeMember{member.id, member.incarnation, std::string(memberStateNames.name(member.state)),
                          std::string(upstreamStateNames.name(member.upstream)), member.cluster};
    });
}

void Node::membersChanged(const std::vector<Member> &members)
{
    this->view.replace(this->viewBuilder.build(members));
}

CallerFrontendHooks Node::callerHooks()
{
    CallerFrontendHooks hooks;
    hooks.route = [this](std::string_view method, std::string_view path) {
        return this->route(method, path);
    };
    hooks.holdsConfiguration = [this] { return this->configuration.version() > 0; };
    hooks.began = [this] { ++this->callsForwarded; };
    hooks.ended = [this] { --this->callsForwarded; };
    return hooks;
}

std::optional<RouteChoice> Node::route(std::string_view method, std::string_view path) const
{
    const auto snapshot = this->configuration.read();
    const RouteEntry *entry = snapshot ? snapshot->match(method, path) : nullptr;
    if (entry == nullptr)
        return std::nullopt;
    RouteChoice choice;
    choice.name = entry->route->name;
    choice.cluster = entry->section->cluster;
    choice.callClass = entry->route->callClass;
    choice.idempotent = entry->route->idempotent;
    choice.hedged = entry->route->hedged;
    choice.maximumRetries = entry->route->maximumRetries;
    choice.timeout = entry->route->timeout;
    choice.configurationVersion = snapshot->version();
    return choice;
}

AdminHooks Node::adminHooks()
{
    AdminHooks hooks;
    hooks.announced = [this](const UpstreamAnnouncement &announcement, UpstreamState state) {
        this->presence.announced(SteadyClock::now(), announcement, state);
    };
    hooks.drain = [this] { this->drain.begin(SteadyClock::now()); };
    hooks.inFlight = [this] { return this->gate.inFlight(); };
    hooks.ready = [this] { return this->plane.ready() && this->drain.stage() == DrainStage::Serving; };
    hooks.status = [this] { return statusJson(this->status()); };
    hooks.metrics = [this] { return controlMetrics(this->status()) + this->metrics.prometheusText(); };
    hooks.spans = [this] { return this->spans.json(this->settings.id, spansShown); };
    return hooks;
}

// The queue's length is a setting of the service, and which service this is says the upstream.
void Node::limitQueue()
{
    const auto snapshot = this->configuration.read();
    const Section *section = snapshot ? snapshot->section(this->gate.announced().cluster) : nullptr;
    if (section != nullptr)
        this->gate.limitQueue(section->maximumQueue);
}

// Failure: hosts come and go all day, and what was learnt of each is kept. Symptom: memory that grows for
// weeks. What nothing has used for a while is of no worth to the next decision.
void Node::forgetUnused(Instant now)
{
    if (now - this->forgotAt < forgetInterval)
        return;
    this->forgotAt = now;
    this->viewBuilder.forgetUnused(now - forgetInterval);
    for (const auto &worker : this->workers)
        worker->forgetUnused(now - forgetInterval);
}

NodeStatus Node::status() const
{
    NodeStatus status;
    status.id = this->settings.id;
    status.region = this->settings.region;
    status.zone = this->settings.zone;
    status.site = this->settings.site;
    status.stage = this->drain.stage();
    status.upstream = this->presence.state();
    status.running = this->gate.running();
    status.queued = this->gate.queued();
    status.callsForwarded = this->callsForwarded;
    status.control = this->plane.status();
    status.platform = this->platform.counters();
    return status;
}

NodeDrainHooks Node::drainHooks()
{
    NodeDrainHooks hooks;
    hooks.announceDraining = [this] {
        this->log.write(EventId::ProcessDraining, {{"in_flight", this->gate.inFlight()}});
        this->presence.drain();
        for (const auto &worker : this->workers)
            worker->askCallersToClose();
    };
    hooks.stopCallers = [this] {
        for (const auto &worker : this->workers)
            worker->stopAccepting();
    };
    hooks.idle = [this] {
        return this->gate.inFlight() == 0 && this->callsForwarded == 0 && this->claims.unsettled() == 0;
    };
    hooks.leave = [this] { this->plane.leave([this] { this->control.stop(); }); };
    return hooks;
}

void Node::watchSignals()
{
    this->signals.async_wait([this](const boost::system::error_code &error, int) {
        if (error)
            return;
        // The second signal does not wait for anything.
        if (this->drain.stage() != DrainStage::Serving)
            return this->control.stop();
        this->drain.begin(SteadyClock::now());
        this->watchSignals();
    });
}

void Node::tick()
{
    const Instant now = SteadyClock::now();
    this->presence.advance(now);
    this->drain.advance(now);
    this->forgetUnused(now);
    this->ticker.expires_after(tickInterval);
    this->ticker.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->tick();
    });
}

} // namespace Sagecrank
