// Derives the settings of a node's parts.
#include "NodeParts.h"

#include <LibDecide/Gate.h>
#include <LibDecide/TargetGate.h>

#include <cmath>

namespace Sagecrank {

namespace {

// Calls that may wait until the service's own settings are known, some milliseconds after its upstream is.
constexpr std::uint32_t startQueue = 64;

// Load: 13 to 15 upstreams of a service in a zone, some three times as fast as others, half of their slots in
// use. Harm of comparing two: calls that meet two slow ones, though fast ones stand idle; of 35,000 calls
// 2,079 were late instead of 1,779 with four (played with both).
constexpr std::size_t choicesInZone = 4;

// A store of rows holds its answer back until there is news, so asking often costs nothing; and nodes have no
// seeds there, so the rows are read at once.
//
// Load: 25 changes within 5 s at a fleet of 78 nodes. Harm: a watch by each node makes 2,000 calls of it.
// Three watchers a zone see each change within the pause below, the others hear of it by gossip; three, so
// that the zone still watches while one is restarted and another is cut off from the store.
void followRowsStore(ControlSettings &control)
{
    constexpr std::uint32_t watchersPerZone = 3;
    constexpr Duration pauseBetweenWatches = Milliseconds(200); // A tenth of the time a change may take.
    constexpr Duration longestHold = Milliseconds(2000);        // A third of that for the first after news.
    // A store that is slow takes 250 to 300 ms for an answer.
    constexpr Duration storeAnswerTime = Milliseconds(500);
    // The watchers of 25 zones make 150 reads a second of it while the store is away.
    constexpr Duration pauseBetweenRetries = Milliseconds(500);
    control.follower.poll.fastPollersPerZone = watchersPerZone;
    control.follower.poll.fastInterval = pauseBetweenWatches;
    control.follower.poll.hold = longestHold;
    control.follower.poll.responseTimeout = storeAnswerTime;
    control.follower.poll.retryInterval = pauseBetweenRetries;
    control.follower.poll.isolatedRetryInterval = Milliseconds(1000);
    control.follower.poll.initialSpreadWithoutPeers = Milliseconds(20);
    control.follower.poll.initialSpread = Milliseconds(20);
    control.follower.pull.platformPullers = watchersPerZone;
    control.follower.pull.pollerDelayPerRank = Duration::zero();
    control.follower.pull.platformFirst = true;
    // After other zones: the watch brings content too, so reading the store for what it has not told of helps
    // only those who do not watch.
    control.follower.pull.peersOnlyDuration = Milliseconds(600);
    // The watchers of a zone have a change within a tenth of a second. When none has it after this, the store
    // turns the zone away, and a change from another zone is some hundred bytes.
    control.follower.pull.otherZonesDelay = Milliseconds(500);
    // A node that no peer has helped for half of the time that a change may take reads the row itself, one
    // after the other in each zone: 50 calls a second of a zone at most.
    control.follower.pull.platformDelay = Milliseconds(1000);
    control.follower.pull.platformDelayPerRank = Milliseconds(20);
    control.introducers.initialDelay = Milliseconds(10);
    // Load: all hosts lose power, and their nodes start within a fifth of a second. Harm of a pause of 300
    // ms: the zones hear of each other after 0.7 to 1.0 s, and all calls to another zone's service are
    // refused meanwhile. The longest pause is how long a lonely node stands apart once the store is back.
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
    control.linkMegabits = static_cast<std::uint32_t>(std::ceil(settings.linkMegabits));
    control.gossipAddress = settings.listen.gossip;
    control.peerAddress = settings.advertise.peers;
    control.controlAddress = settings.listen.control;
    control.seeds = settings.seeds;
    if (settings.platform.kind == PlatformKind::Rows)
        followRowsStore(control);
    return control;
}

BodyGrantSettings bodyGrantSettings(const NodeSettings &settings)
{
    BodyGrantSettings grants;
    grants.bytesPerSecond = settings.linkMegabits * 1e6 / 8;
    return grants;
}

AdmissionHooks makeAdmission(const NodeSettings &settings)
{
    const std::uint64_t seed = std::hash<std::string>{}(settings.id);
    if (settings.requests.admission == AdmissionRule::Targets)
        return makeAdmissionHooks(std::make_shared<TargetGate>(TargetGateSettings{1, startQueue, seed}));
    return makeAdmissionHooks(std::make_shared<Gate>(GateSettings{1, startQueue, seed}));
}

LoadBalancerSettings placerSettings(const NodeSettings::Requests &requests)
{
    LoadBalancerSettings placing;
    placing.crossZoneCostPerKilobyte = requests.zoneKilobyte;
    if (requests.zoneKilobyte > Milliseconds(0))
        placing.choices = choicesInZone;
    return placing;
}

} // namespace Sagecrank
