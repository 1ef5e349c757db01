// Derives the settings of a node's components.
#include "DerivedSettings.h"

#include <LibDecide/Gate.h>
#include <LibDecide/TargetGate.h>

#include <cmath>

namespace Sagecrank {

namespace {

// Queue limit until the settings of the service are known, some milliseconds after its upstream is.
constexpr std::uint32_t initialQueueLimit = 64;

// Among many upstreams of unlike speed, comparing only two often selects from two slow ones while fast ones
// are idle.
constexpr std::size_t choicesInZone = 4;

// A store of rows supports long polling, so polling it often costs little. Nodes have no seeds there, so the
// introducers' rows are read at once.
//
// If every node watched the store, each change would cost a call of each. So three nodes in each zone watch
// it and see each change within `pauseBetweenWatches`; the others learn of it by gossip. With three, a zone
// still has a watcher while one is restarted and another is cut off from the store.
void configureForRowsStore(ControlSettings &control)
{
    constexpr std::uint32_t watchersPerZone = 3;
    constexpr Duration pauseBetweenWatches = Milliseconds(200); // A tenth of the time a change may take.
    constexpr Duration longestHold = Milliseconds(2000); // A third of it for the first watch after a change.
    // A slow store takes 250 to 300 ms to answer.
    constexpr Duration storeAnswerTime = Milliseconds(500);
    // Limits the watchers of 25 zones to 150 reads a second while the store is unavailable.
    constexpr Duration pauseBetweenRetries = Milliseconds(500);
    control.follower.poll.fastPollersPerZone = watchersPerZone;
    control.follower.poll.fastInterval = pauseBetweenWatches;
    control.follower.poll.hold = longestHold;
    control.follower.poll.responseTimeout = storeAnswerTime;
    control.follower.poll.retryInterval = pauseBetweenRetries;
    control.follower.poll.isolatedRetryInterval = Milliseconds(1000);
    control.follower.poll.initialSpreadWithoutPeers = Milliseconds(20);
    control.follower.poll.initialSpread = Milliseconds(20);
    // A node gets the member table and the version from its zone in some tenths of a second.
    control.follower.poll.peersFirst = Milliseconds(1000);
    control.follower.pull.platformPullers = watchersPerZone;
    control.follower.pull.pollerDelayPerRank = Duration::zero();
    control.follower.pull.platformFirst = true;
    // Longer than the time after which other zones are asked. A watch returns the content too, so a separate
    // read of the store only helps nodes that do not watch it.
    control.follower.pull.peersOnlyDuration = Milliseconds(600);
    // The watchers of a zone get a change within 100 ms. If none has it after this, the store rejects the
    // zone's reads, and a delta from another zone is only some hundred bytes.
    control.follower.pull.otherZonesDelay = Milliseconds(500);
    // A node that got no version from a peer within half of the time that a change may take reads the row
    // itself. The nodes of a zone take turns, so a zone makes at most 50 calls a second.
    control.follower.pull.platformDelay = Milliseconds(1000);
    control.follower.pull.platformDelayPerRank = Milliseconds(20);
    control.introducers.initialDelay = Milliseconds(10);
    // The first rows of a fleet that starts are there after some 30 ms.
    control.introducers.initialSpread = Milliseconds(110);
    control.introducers.contactPause = Milliseconds(300);
    // After a power loss all nodes may start at once. Until the zones have found each other, all calls to
    // services in other zones are refused. The longest backoff is how long a node without peers stays
    // isolated once the store is available again.
    control.introducers.isolatedBackoff = Milliseconds(60);
    control.introducers.maximumIsolatedBackoff = Milliseconds(1500);
}

} // namespace

EventLogSettings logSettings(const NodeSettings &settings)
{
    EventLogSettings log;
    log.minimumLevel = logLevelNames.value(settings.logLevel).value_or(LogLevel::Info);
    return log;
}

ControlSettings controlSettings(const NodeSettings &settings)
{
    ControlSettings control;
    control.id = settings.id;
    control.region = settings.region;
    control.zone = settings.zone;
    control.site = settings.site;
    control.linkMbps = static_cast<std::uint32_t>(std::ceil(settings.linkMbps));
    control.gossipAddress = settings.listen.gossip;
    control.peerAddress = settings.advertise.peers;
    control.controlAddress = settings.listen.control;
    control.seeds = settings.seeds;
    if (settings.platform.kind == PlatformKind::Rows)
        configureForRowsStore(control);
    // Each watch that ends brings a proof of freshness. The nodes that do not watch get it by gossip up to a
    // second later, and all need one well within the bound.
    constexpr int watchesWithinBound = 5;
    const Duration revocation = settings.accounts.revocation;
    if (revocation > Duration::zero())
        control.follower.poll.hold = std::min(control.follower.poll.hold, revocation / watchesWithinBound);
    return control;
}

double linkBytesPerSecond(const NodeSettings &settings)
{
    return settings.linkMbps * 1e6 / 8;
}

// A forwarded body is held up to three times at once: for retries, as an attempt and as a frame.
std::uint64_t bodyMemoryBytes(const NodeSettings &settings)
{
    constexpr std::uint64_t bytesPerMegabyte = std::uint64_t{1} << 20;
    constexpr std::uint64_t divisorForBodies = 4;
    return settings.memoryMb * bytesPerMegabyte / divisorForBodies;
}

BodyGrantSettings bodyGrantSettings(const NodeSettings &settings)
{
    BodyGrantSettings grants;
    grants.bytesPerSecond = linkBytesPerSecond(settings);
    return grants;
}

AdmissionHooks makeAdmission(const NodeSettings &settings)
{
    const std::uint64_t seed = std::hash<std::string>{}(settings.id);
    if (settings.requests.admission == AdmissionRule::Targets)
        return makeAdmissionHooks(
            std::make_shared<TargetGate>(TargetGateSettings{1, initialQueueLimit, seed}));
    return makeAdmissionHooks(std::make_shared<Gate>(GateSettings{1, initialQueueLimit, seed}));
}

AllowanceBounds allowanceBounds(const NodeSettings::Accounts &accounts)
{
    return {accounts.allowanceWindow, accounts.allowanceOverage, accounts.allowanceSlack};
}

LoadBalancerSettings loadBalancerSettings(const NodeSettings::Requests &requests)
{
    LoadBalancerSettings placing;
    placing.crossZoneCostPerKilobyte = requests.zoneKilobyte;
    if (requests.zoneKilobyte > Milliseconds(0))
        placing.choices = choicesInZone;
    return placing;
}

} // namespace Sagecrank
