// Creates the components of a node and connects them.
#include "Node.h"

#include "DerivedSettings.h"

#include <LibConfig/Check.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace Sagecrank {

namespace {

// How often the upstream presence and the drain check their timeouts.
constexpr Duration tickInterval = Milliseconds(100);

// Longer than any backoff or ejection, and short enough to bound what 1,100 replaced hosts a day leave
// behind.
constexpr Duration forgetInterval = std::chrono::minutes(10);

// About 200 bytes each: 0.5 MB of the node's 32 MB.
constexpr std::size_t spanCapacity = 2048;

// Some of the ports may be in use.
constexpr int maximumProofPortAttempts = 4;

// The largest body that a configuration may allow must fit into a frame between nodes.
static_assert(maximumBodyBytes == maximumBodySize);

std::function<std::uint64_t()> makeRandom()
{
    return [generator = std::mt19937_64(std::random_device{}())]() mutable { return generator(); };
}

HttpServerSettings adminServerSettings(RequestObserver &observer)
{
    HttpServerSettings server;
    server.maximumConnections = 64;
    server.requestRejected = [&observer](std::uint32_t status, std::string_view reason) {
        observer.requestInvalid(status, reason);
    };
    return server;
}

// The retry budget of this node: an equal part of the shared one. Nodes that restart together see no other
// node at first and would each use the whole budget, so a minimum number of nodes is assumed. Two fifths stay
// unused, to allow for differences between the views of the nodes.
double retryBudgetShare(double shared, const std::vector<Member> &members)
{
    constexpr std::size_t minimumNodes = 8;
    constexpr double usedShare = 0.6;
    const auto present = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const Member &member) { return isPresent(member.state); }));
    return usedShare * shared / static_cast<double>(std::max(minimumNodes, present));
}

// Draws the cluster of a split route at random for each call, so the nodes need not coordinate the shares.
std::string chooseCluster(const RouteEntry &entry)
{
    const std::vector<WeightedCluster> &split = entry.route->split;
    if (split.empty())
        return entry.section->cluster;
    thread_local std::mt19937_64 random(std::random_device{}());
    std::uint64_t total = 0;
    for (const WeightedCluster &part : split)
        total += part.weight;
    std::uint64_t drawn = std::uniform_int_distribution<std::uint64_t>(1, total)(random);
    for (const WeightedCluster &part : split) {
        if (drawn <= part.weight)
            return part.cluster;
        drawn -= part.weight;
    }
    return entry.section->cluster;
}

} // namespace

Node::Node(NodeSettings settings, const NodeAdapterFactory &makeAdapter, ReadSettings readSettings)
    : settings(std::move(settings))
    , history(this->settings.id, this->settings.history)
    // The history uses standard output for itself.
    , log(this->settings.id, logSettings(this->settings),
          this->settings.history ? standardErrorLogSink() : standardOutputLogSink())
    , nodeLog(this->log, this->settings.id)
    , spans(spanCapacity)
    , observer(this->log, this->metrics, this->spans)
    , ids(this->settings.id)
    , freshness(this->settings.accounts.revocation, bootTimeNow, this->log)
    , configuration(this->settings.site, this->holderHooks())
    , viewBuilder(this->settings.id, this->settings.zone,
                  [requests = this->settings.requests] {
                      return std::make_shared<ServiceState>(loadBalancerSettings(requests),
                                                            requests.retryShare, requests.retryReserve,
                                                            makeRandom());
                  })
    , adapter(makeAdapter(this->control, this->settings))
    , rollouts({this->settings.id, this->settings.rollout.exposureShare}, this->adapter.rollouts,
               this->rolloutHooks(), this->log)
    , claims(this->control, this->adapter.table)
    , quarantine(this->quarantineHooks())
    , gate(this->settings.id, makeAdmission(this->settings), this->adapter.headers, this->claims.hooks(),
           this->quarantine.requestHooks(), this->history, this->observer, this->upstreamHooks(),
           linkBytesPerSecond(this->settings))
    , bodyMemory(bodyMemoryBytes(this->settings))
    , bodies(bodyGrantSettings(this->settings))
    , presence(this->presenceHooks(), this->settings.platform.announcementLifetime)
    , record(this->control, this->adapter.table, this->settings.id, this->recordHooks())
    , accounts({this->settings.accounts.unknownKeyProofAge}, this->configuration, this->freshness,
               [this] { return this->plane.knownHeadVersion() > this->configuration.version(); })
    , allowances(this->control, this->settings.id, allowanceBounds(this->settings.accounts),
                 this->allowanceHooks(), this->log, this->metrics)
    , forwarding{this->settings.id, this->gate,     this->view,           this->ids,
                 this->history,     this->observer, this->refusedCallers, this->quarantine.requestHooks()}
    , callers(this->forwarding, this->settings.requests.maximumTimeout, this->adapter.headers,
              this->settings.platform.upstreamService, this->callerHooks())
    , adminCommands(this->adminHooks(AnnouncementProof::None))
    , provenCommands(this->adminHooks(AnnouncementProof::SentToThisProcess))
    , admin(this->adminCommands)
    , adminServer(this->control, adminServerSettings(this->observer), this->adminHandler())
    , announcementServer(this->control, adminServerSettings(this->observer),
                         this->adapterHandler(this->adminCommands))
    , probeServer(this->control, adminServerSettings(this->observer),
                  this->adapterHandler(this->adminCommands))
    , plane(this->control, controlSettings(this->settings), this->adapter.table, this->adapter.versions,
            this->controlHooks())
    , drain(drainSettings(this->settings), this->drainHooks())
    , settingsReload(this->settings, this->reloadHooks(std::move(readSettings)), this->log)
    , ticker(this->control)
    , signals(this->control, SIGTERM, SIGINT, SIGHUP)
{
    this->metrics.gauge("sagecrank_body_bytes_held", "Memory reserved for bodies of requests.",
                        [this] { return static_cast<double>(this->bodyMemory.heldBytes()); });
    for (std::uint32_t index = 0; index < this->settings.threads; ++index) {
        CallerHooks hooks;
        hooks.limits = [this] { return this->callerLimits(); };
        hooks.mayPipeline = [this](const HttpRequest &request) { return this->callers.mayPipeline(request); };
        hooks.reserveBody = [this](std::uint64_t bytes, std::uint64_t bodyBytes) {
            return this->bodyMemory.tryReserve(bytes, bodyBytes);
        };
        hooks.handle = [this](Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            this->callers.handle(worker, std::move(request), std::move(exchange));
        };
        this->workers.push_back(std::make_unique<Worker>(this->settings, this->gate, this->bodies,
                                                         this->bodyMemory, this->observer, std::move(hooks)));
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
    if (!this->settings.listen.announcements.empty())
        TRY_VOID(this->announcementServer.listen(this->settings.listen.announcements));
    if (!this->settings.listen.probe.empty())
        TRY_VOID(this->probeServer.listen(this->settings.listen.probe));
    for (const auto &worker : this->workers)
        TRY_VOID(worker->listen());
    this->watchStoreEra();
    this->watchStoreClock();
    this->rollouts.start();
    TRY_VOID(this->plane.start());
    for (const auto &worker : this->workers)
        worker->start();
    this->presence.awaitPersistedState(SteadyClock::now());
    this->record.load();
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

// Each response of the store updates the era, so these callbacks run on the control thread.
void Node::watchStoreEra()
{
    if (!this->adapter.era)
        return;
    this->adapter.era->setSuspectListener(
        [this](const Error &error) { this->nodeLog.storeEraDoubted(error); });
    this->adapter.era->addChangeListener([this](const EraChange &rise) {
        this->plane.announceStoreEra(rise.current);
        if (!rise.previous)
            return; // The first era that is seen; nothing was written before.
        this->nodeLog.storeRestored(rise);
        this->record.rewriteAfterRestore(SteadyClock::now());
        this->plane.storeRestored();
    });
}

// The store answers on the control thread.
void Node::watchStoreClock()
{
    this->metrics.gauge("sagecrank_configuration_proof_age_seconds",
                        "Since the configuration is proven to have been the newest one; -1 without a proof.",
                        [this] { return this->freshness.ageSeconds(); });
    if (!this->adapter.listenToStore || !this->freshness.isBounded())
        return;
    this->adapter.listenToStore([this](const StoreAnswer &answer) { this->freshness.storeAnswered(answer); });
}

void Node::shareFreshness()
{
    this->plane.setHeadProof(this->freshness.proofForPeers());
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
    this->rollouts.membersChanged(members);
    this->allowances.membersChanged(members);
    this->rebuildView();
    if (this->settings.requests.sharedRetryReserve > 0)
        this->viewBuilder.setRetryReserve(
            retryBudgetShare(this->settings.requests.sharedRetryReserve, members));
}

void Node::rebuildView()
{
    VersionTraffic traffic;
    traffic.trafficFor = [this](const Member &member) { return this->rollouts.trafficFor(member); };
    traffic.trialShare = [this](const std::string &cluster) { return this->rollouts.trialShare(cluster); };
    this->view.replace(this->viewBuilder.build(this->rollouts.knownMembers(), traffic));
}

HttpLimits Node::callerLimits() const
{
    HttpLimits limits;
    limits.headerBytes = this->settings.requests.maximumHeaderBytes;
    limits.bodyBytes = this->settings.requests.maximumBodyBytes;
    const auto snapshot = this->configuration.read();
    if (!snapshot)
        return limits;
    const CallerLimits &configured = snapshot->configuration().manifest.limits;
    if (configured.headerBytes != 0)
        limits.headerBytes = std::min(configured.headerBytes, maximumHeaderBytes);
    if (configured.bodyBytes != 0)
        limits.bodyBytes = std::min<std::uint64_t>(configured.bodyBytes, maximumBodySize);
    if (configured.headerTimeout.count() != 0)
        limits.headerTimeout = configured.headerTimeout;
    if (configured.idleTimeout.count() != 0)
        limits.idleTimeout = configured.idleTimeout;
    return limits;
}

std::optional<RouteMatch> Node::route(std::string_view host, std::string_view method,
                                      std::string_view path) const
{
    const auto snapshot = this->configuration.read();
    const RouteEntry *entry = snapshot ? snapshot->match(host, method, path) : nullptr;
    if (entry == nullptr)
        return std::nullopt;
    RouteMatch choice;
    choice.name = entry->route->name;
    choice.cluster = chooseCluster(*entry);
    choice.priority = entry->route->priority;
    choice.isPublic = entry->route->isPublic;
    choice.largeResponses = entry->route->largeResponses;
    choice.targetLatency = entry->route->targetLatency;
    choice.callClass = entry->route->callClass;
    choice.idempotent = entry->route->idempotent;
    choice.hedged = entry->route->hedged;
    choice.maximumRetries = entry->route->maximumRetries;
    choice.timeout = entry->route->timeout;
    choice.configurationVersion = snapshot->version();
    return choice;
}

bool Node::ready() const
{
    return this->plane.ready() && this->drain.stage() == DrainStage::Serving;
}

// An announcement takes effect at once. The response that confirms a departure is sent only when the
// departure is persisted, since the confirmation binds the next process of this node too.
void Node::respond(const std::shared_ptr<HttpExchange> &exchange,
                   const std::function<HttpResponse()> &handleRequest)
{
    this->departureReported = false;
    HttpResponse response = handleRequest();
    if (!this->departureReported)
        return exchange->respond(std::move(response));
    this->record.whenPersisted([exchange, response = std::move(response)](bool persisted) mutable {
        exchange->respond(persisted ? std::move(response)
                                    : makeResponse(503, "text/plain", "not kept yet\n"));
    });
}

HttpHandler Node::adminHandler()
{
    return [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        this->respond(exchange, [&] { return this->admin.answer(request); });
    };
}

HttpHandler Node::adapterHandler(const AdminHooks &commands)
{
    return [this, &commands](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        this->respond(exchange, [&] { return this->adapter.answer(request, commands); });
    };
}

// An address that no earlier process of this node is likely to have given to its upstream. Empty if there is
// none; announcements are then trusted once the persisted state is read, or `departedNameTimeout` after the
// start.
std::string Node::proofAddress()
{
    const std::optional<PortRange> &ports = this->settings.listen.proofPorts;
    if (this->proofServer)
        return this->proofServer->address();
    if (!ports)
        return {};
    std::mt19937 random(std::random_device{}());
    const std::string host =
        this->settings.listen.announcements.substr(0, this->settings.listen.announcements.rfind(':') + 1);
    for (int attempt = 0; attempt < maximumProofPortAttempts; ++attempt) {
        const std::string port =
            std::to_string(std::uniform_int_distribution<std::uint32_t>(ports->first, ports->last)(random));
        auto server = std::make_unique<HttpServer>(this->control, adminServerSettings(this->observer),
                                                   this->adapterHandler(this->provenCommands));
        const Result<void> listening = server->listen(host + port);
        if (listening) {
            this->proofServer = std::move(server);
            return this->proofServer->address();
        }
        this->nodeLog.proofUnavailable(listening.error());
    }
    return {};
}

// The queue limit is configured for each service, and the announcement of the upstream names its service.
void Node::limitQueue()
{
    const auto snapshot = this->configuration.read();
    const Section *section = snapshot ? snapshot->section(this->gate.announcement().cluster) : nullptr;
    if (section != nullptr)
        this->gate.setMaximumQueue(section->maximumQueue);
}

// Hosts are replaced all day. Drops the state about hosts that has not been used for a while, so that memory
// does not grow for weeks.
void Node::forgetUnused(Instant now)
{
    if (now - this->forgotUnusedAt < forgetInterval)
        return;
    this->forgotUnusedAt = now;
    this->viewBuilder.forgetUnused(now - forgetInterval);
    this->allowances.forgetUnused(now - forgetInterval);
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
    status.platform = this->adapter.counters();
    return status;
}

void Node::tick()
{
    const Instant now = SteadyClock::now();
    this->presence.advance(now);
    this->drain.advance(now);
    this->rollouts.advance(now);
    this->freshness.advance();
    this->forgetUnused(now);
    // Wakes up in time for the next step of a drain: if each step came up to an interval late, the final
    // responses would be sent when the process is being killed.
    const Instant next = now + tickInterval;
    this->ticker.expires_at(std::min(next, this->drain.nextStep().value_or(next)));
    this->ticker.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->tick();
    });
}

} // namespace Sagecrank
