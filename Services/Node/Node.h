// The node: creates its components, connects them through hooks, and runs startup, drain and shutdown.
#pragma once

#include "NodeAdapter.h"
#include "NodeDrain.h"
#include "NodeLog.h"
#include "NodeSettings.h"
#include "RequestObserver.h"
#include <Node/Accounts/AllowanceControl.h>
#include <Node/Accounts/CallerAccounts.h>
#include <Node/Accounts/FreshnessGuard.h>
#include <Node/Admin/AdminFrontend.h>
#include <Node/Admin/NodeStatus.h>
#include <Node/Admin/SettingsReload.h>
#include <Node/Callers/CallerFrontend.h>
#include <Node/Callers/Worker.h>
#include <Node/Control/ControlPlane.h>
#include <Node/Gate/ClaimService.h>
#include <Node/Gate/RequestQuarantine.h>
#include <Node/Rollout/RolloutControl.h>
#include <Node/Upstream/UpstreamPresence.h>
#include <Node/Upstream/UpstreamRecord.h>

#include <LibConfig/ConfigurationHolder.h>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace Sagecrank {

class Node
{
public:
    using ReadSettings = std::function<Result<NodeSettings>()>; // Called on a reload.

    Node(NodeSettings settings, const NodeAdapterFactory &makeAdapter, ReadSettings readSettings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Opens the ports and starts the threads.
    Result<void> start();

    // Runs the control thread until the node has drained or got a second termination signal.
    void run();

private:
    HolderHooks holderHooks();
    RequestQuarantineHooks quarantineHooks();
    ControlHooks controlHooks();
    CallerFrontendHooks callerHooks();
    AdminHooks adminHooks(AnnouncementProof proof);
    NodeDrainHooks drainHooks();
    SettingsReloadHooks reloadHooks(ReadSettings readSettings);
    bool isIdle() const; // No call is waiting, running or unanswered.
    std::function<void()> afterAllWorkers(std::function<void()> done) const;
    void refuseCallers();
    void endCalls();
    void respond(const std::shared_ptr<HttpExchange> &exchange,
                 const std::function<HttpResponse()> &handleRequest);
    HttpHandler adminHandler();
    HttpHandler adapterHandler(const AdminHooks &commands);
    std::string proofAddress();
    UpstreamHooks upstreamHooks();
    UpstreamPresenceHooks presenceHooks();
    UpstreamRecordHooks recordHooks();
    void watchStoreEra();
    void watchStoreClock();
    void shareFreshness();
    std::optional<RouteMatch> route(std::string_view host, std::string_view method,
                                    std::string_view path) const;
    HttpLimits callerLimits() const;
    bool ready() const;
    RolloutHooks rolloutHooks();
    AllowanceHooks allowanceHooks();
    void membersChanged(const std::vector<Member> &members);
    void rebuildView();
    void watchSignals();
    void tick();
    void limitQueue();
    void forgetUnused(Instant now);
    NodeStatus status() const;
    Result<void> offer(SiteConfiguration configuration);
    void recordMember(const Member &member);

    const NodeSettings settings;
    HistoryRecorder history;
    EventLog log;
    NodeLog nodeLog;
    Metrics metrics;
    SpanRing spans;
    RequestObserver observer;
    CallIds ids;
    boost::asio::io_context control{1}; // Runs everything but requests, on the main thread.
    FreshnessGuard freshness;
    ConfigurationHolder configuration;
    RcuPointer<UpstreamView> view;
    UpstreamViewBuilder viewBuilder; // Only used on the control thread.
    NodeAdapter adapter;
    RolloutControl rollouts;
    ClaimService claims;
    RequestQuarantine quarantine;
    LocalGate gate;
    BodyMemory bodyMemory;
    BodyGrantQueue bodies;
    UpstreamPresence presence;
    UpstreamRecord record;
    CallerAccounts accounts;
    AllowanceControl allowances;
    RefusedCallers refusedCallers;
    ForwardingContext forwarding;
    CallerFrontend callers;
    const AdminHooks adminCommands;
    const AdminHooks provenCommands; // For announcements that `proofServer` receives.
    AdminFrontend admin;
    HttpServer adminServer;
    HttpServer announcementServer;
    HttpServer probeServer;
    std::unique_ptr<HttpServer> proofServer; // Null until an announcement has to be proven.
    bool departureReported = false;          // By the request that is being handled.
    ControlPlane plane;
    bool leaveAnnounced = false; // On the control thread.
    bool callersRefused = false; // Every worker refuses new requests; set at the end of a drain.
    NodeDrain drain;
    SettingsReload settingsReload;
    std::vector<std::unique_ptr<Worker>> workers;
    Instant forgotUnusedAt; // When forgetUnused last ran.
    boost::asio::steady_timer ticker;
    boost::asio::signal_set signals;
    std::atomic<std::uint32_t> callsForwarded = 0; // Calls from callers that are not answered yet.
};

} // namespace Sagecrank
