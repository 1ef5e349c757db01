// The hooks that connect the components of a node.
#include "Node.h"

#include <boost/asio/post.hpp>

#include <set>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumSpansShown = 500;

// The version is valid if `reason` is empty.
NodeOffered offeredEvent(const SiteManifest &manifest, std::string reason)
{
    return {manifest.version, toHex(siteDigest(manifest)), reason.empty(), std::move(reason)};
}

// The kinds of calls whose responses are large.
std::vector<std::uint64_t> largeKinds(const SiteConfiguration &configuration)
{
    std::set<std::uint32_t> priorities;
    for (const Account &account : configuration.accounts)
        priorities.insert(account.priority);
    std::vector<std::uint64_t> kinds;
    for (const Section &section : configuration.sections) {
        for (const Route &route : section.routes) {
            if (!route.largeResponses)
                continue;
            kinds.push_back(kindOfCalls(route.name, std::nullopt));
            for (const std::uint32_t priority : priorities)
                kinds.push_back(kindOfCalls(route.name, priority));
        }
    }
    return kinds;
}

} // namespace

HolderHooks Node::holderHooks()
{
    HolderHooks hooks;
    // Called when the version has been validated but is not in effect yet. The history must record both
    // events in this order.
    hooks.swapping = [this](const Snapshot &next, std::uint64_t previous) {
        this->history.record([&] { return offeredEvent(next.configuration().manifest, {}); });
        this->history.record([&] {
            NodeSwapped event;
            event.version = next.version();
            event.previous = previous;
            event.site = this->settings.site;
            event.digest = toHex(siteDigest(next.configuration().manifest));
            for (const Section &section : next.configuration().sections) {
                event.clusters.push_back(section.cluster);
                event.routeClusters.insert(event.routeClusters.end(), section.routes.size(), section.cluster);
            }
            return event;
        });
    };
    hooks.swapped = [this](const Snapshot &next, std::uint64_t previous) {
        this->nodeLog.configurationSwapped(next.version(), previous);
        this->freshness.versionHeld(next.version(), next.keysRequired());
        this->allowances.accountsChanged(next.configuration().accounts);
        this->gate.setLargeKinds(largeKinds(next.configuration()));
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
    hooks.sourceFailed = [this](const SourceFailure &failure) { this->nodeLog.sourceFailed(failure); };
    hooks.tableExchanged = [this](const Member &partner, const Result<std::size_t> &records) {
        this->nodeLog.tableExchanged(partner, records);
    };
    hooks.introducerUnknown = [this](const std::string &address) {
        this->nodeLog.introducerUnknown(address);
    };
    hooks.storeEraReceived = [this](std::uint64_t era) {
        if (this->adapter.era)
            this->adapter.era->observePeerEra(era);
    };
    hooks.headProven = [this](std::uint64_t version, std::chrono::nanoseconds sourceTime) {
        this->freshness.headProven(version, sourceTime);
        this->shareFreshness();
    };
    hooks.headProofReceived = [this](const HeadProof &proof) {
        this->freshness.peerProofReceived(proof);
        this->shareFreshness();
    };
    hooks.allowanceReceived = [this](const std::string &from, std::string_view bytes) {
        this->allowances.datagramReceived(from, bytes);
    };
    hooks.sourceRecovered = [this](const SourceRecovery &recovery) {
        this->nodeLog.sourceRecovered(recovery);
    };
    hooks.bulletinReceived = [this](const Bulletin &bulletin) {
        this->rollouts.bulletinReceived(SteadyClock::now(), bulletin);
    };
    hooks.reportReceived = [this](const std::string &sender, const std::string &report) {
        this->rollouts.reportReceived(SteadyClock::now(), sender, report);
    };
    hooks.noticesChanged = [this](const std::vector<Notice> &notices) {
        this->quarantine.update(SteadyClock::now(), notices);
        for (const Notice &notice : notices) {
            if (notice.state == static_cast<std::uint8_t>(CrashReportState::Cleared))
                this->record.removeCrash(notice.subject, notice.source);
        }
    };
    return hooks;
}

RolloutHooks Node::rolloutHooks()
{
    RolloutHooks hooks;
    hooks.now = [] { return SteadyClock::now(); };
    hooks.announce = [this](const Bulletin &bulletin) { this->plane.announce(bulletin); };
    hooks.sendReport = [this](const std::string &memberId, const std::string &report) {
        this->plane.sendReport(memberId, report);
    };
    hooks.versionsChanged = [this] { this->rebuildView(); };
    hooks.useUpstream = [this](UpstreamUse use) { this->presence.setUse(use); };
    hooks.upstream = [this] { return this->gate.announcement(); };
    hooks.upstreamIdle = [this] { return this->gate.inFlight() == 0; };
    return hooks;
}

AllowanceHooks Node::allowanceHooks()
{
    AllowanceHooks hooks;
    hooks.send = [this](const std::string &address, const std::string &bytes) {
        this->plane.sendDatagram(address, bytes);
    };
    return hooks;
}

CallerFrontendHooks Node::callerHooks()
{
    CallerFrontendHooks hooks;
    hooks.route = [this](std::string_view host, std::string_view method, std::string_view path) {
        return this->route(host, method, path);
    };
    hooks.identify = [this](const std::vector<Header> &headers, bool isPublicRoute) {
        return this->accounts.identify(headers, isPublicRoute);
    };
    hooks.isNested = [this, separator = this->adapter.headers.nestedIdSeparator](std::string_view callId) {
        const std::size_t parentEnd = separator.empty() ? std::string_view::npos : callId.rfind(separator);
        return parentEnd != std::string_view::npos && this->gate.runs(callId.substr(0, parentEnd));
    };
    hooks.acquireAllowance = [this](std::string_view account, AllowanceClient::Callback callback) {
        this->allowances.acquire(account, std::move(callback));
    };
    hooks.releaseAllowance = [this](std::string_view account, Instant acquiredAt) {
        this->allowances.release(account, acquiredAt);
    };
    hooks.hasConfiguration = [this] { return this->configuration.version() > 0; };
    hooks.callStarted = [this] { ++this->callsForwarded; };
    hooks.callEnded = [this] { --this->callsForwarded; };
    return hooks;
}

UpstreamHooks Node::upstreamHooks()
{
    UpstreamHooks hooks;
    hooks.callEnded = [this](const UpstreamOutcome &outcome) { this->rollouts.recordOutcome(outcome); };
    // The record of departures is used on the control thread only.
    hooks.leaving = [this](const std::string &instance, std::uint64_t startedAt) {
        boost::asio::post(this->control, [this, instance, startedAt] {
            this->presence.leavingStated(SteadyClock::now(), unixMilliseconds(), instance, startedAt);
        });
    };
    return hooks;
}

UpstreamPresenceHooks Node::presenceHooks()
{
    UpstreamPresenceHooks hooks;
    hooks.announcementExpired = [this](const std::string &cluster) { this->nodeLog.upstreamSilent(cluster); };
    hooks.gate = [this](const UpstreamAnnouncement &announcement) { this->gate.announce(announcement); };
    hooks.membership = [this](const UpstreamAnnouncement &upstream, UpstreamState state) {
        this->nodeLog.upstreamChanged(upstream, state);
        this->plane.announceUpstream(upstream.cluster, state, upstream.slots, upstream.version);
        this->limitQueue();
    };
    hooks.leaving = [this](const Departure &departure) {
        this->departureReported = true;
        this->record.recordDeparture(departure);
    };
    hooks.serving = [this](const UpstreamAnnouncement &upstream) { this->record.recordServing(upstream); };
    return hooks;
}

UpstreamRecordHooks Node::recordHooks()
{
    UpstreamRecordHooks hooks;
    hooks.loaded = [this](PersistedUpstream upstream) {
        // A host that replaces another one has the same node id but a different upstream.
        if (upstream.serving && upstream.serving->address != this->settings.platform.upstream)
            upstream.serving.reset();
        this->nodeLog.upstreamRecalled(upstream);
        this->presence.persistedStateLoaded(SteadyClock::now(), upstream);
        for (const Notice &notice : noticesOf(upstream.crashes, unixMilliseconds()))
            this->plane.announce(notice);
    };
    hooks.departuresPersisted = [this](const std::vector<Departure> &departures) {
        this->nodeLog.departuresPersisted(departures);
    };
    hooks.failed = [this](const Error &error) { this->nodeLog.upstreamRecordFailed(error); };
    return hooks;
}

AdminHooks Node::adminHooks(AnnouncementProof proof)
{
    AdminHooks hooks;
    hooks.announced = [this, proof](const UpstreamAnnouncement &announcement, UpstreamState state) {
        return this->presence.announced(SteadyClock::now(), announcement, state, proof);
    };
    hooks.left = [this](const std::string &instance) {
        return this->presence.left(SteadyClock::now(), unixMilliseconds(), instance);
    };
    // An upstream that has proven that it runs goes back to the address that outlives this process.
    hooks.nextAddress = [this, proof](AnnouncementResult result) {
        if (proof == AnnouncementProof::SentToThisProcess)
            return this->settings.listen.announcements;
        if (result != AnnouncementResult::Unproven)
            return std::string();
        const std::string address = this->proofAddress();
        this->nodeLog.upstreamUnproven(address);
        return address;
    };
    hooks.announcementRefused = [this](const Error &error) { this->nodeLog.announcementRefused(error); };
    hooks.drain = [this] { this->drain.begin(SteadyClock::now()); };
    hooks.inFlight = [this] { return this->gate.inFlight(); };
    hooks.ready = [this] { return this->ready(); };
    hooks.status = [this] { return statusJson(this->status()); };
    hooks.metrics = [this] { return controlMetrics(this->status()) + this->metrics.prometheusText(); };
    hooks.spans = [this] { return this->spans.json(this->settings.id, maximumSpansShown); };
    return hooks;
}

SettingsReloadHooks Node::reloadHooks(ReadSettings readSettings)
{
    SettingsReloadHooks hooks;
    hooks.read = std::move(readSettings);
    hooks.setLogLevel = [this](LogLevel level) { this->log.setMinimumLevel(level); };
    hooks.setDrain = [this](const NodeDrainSettings &changed) { this->drain.configure(changed); };
    return hooks;
}

Result<void> Node::offer(SiteConfiguration configuration)
{
    const SiteManifest manifest = configuration.manifest;
    const std::vector<Error> doubts = configuration.doubts;
    const Result<void> result = this->configuration.offer(std::move(configuration));
    if (!result) {
        this->nodeLog.configurationRefused(manifest.version, result.error());
        this->history.record([&] { return offeredEvent(manifest, result.error().describe()); });
        return result;
    }
    for (const Error &doubt : doubts)
        this->nodeLog.configurationDoubtful(manifest.version, doubt);
    return result;
}

RequestQuarantineHooks Node::quarantineHooks()
{
    RequestQuarantineHooks hooks;
    hooks.publish = [this](const Notice &notice) { this->plane.announce(notice); };
    hooks.crashesReported = [this](const std::vector<Notice> &notices) {
        this->observer.upstreamCrashed(notices.size());
        boost::asio::post(this->control, [this, notices] {
            this->record.recordCrashes(keptCrashes(notices, unixMilliseconds()));
        });
    };
    hooks.quarantined = [this](RequestFingerprint request) { this->nodeLog.requestQuarantined(request); };
    hooks.released = [this](RequestFingerprint request) { this->nodeLog.requestReleased(request); };
    hooks.random = [] {
        thread_local std::mt19937_64 generator(std::random_device{}());
        return generator();
    };
    return hooks;
}

} // namespace Sagecrank
