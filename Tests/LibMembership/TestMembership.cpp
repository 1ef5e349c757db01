// The gossip state machine of many nodes on a simulated network: convergence, failure detection and traffic.
#include "FakeNetwork.h"

#include <Support/TableTest.h>

using namespace Sagecrank;
using std::chrono::minutes;
using std::chrono::seconds;
using Testing::FakeNetwork;

namespace {

struct ShapeRow
{
    std::size_t nodes;
    std::size_t zones;
    double loss;
};

const ShapeRow shapeRows[] = {
    {2, 1, 0}, {3, 3, 0}, {8, 3, 0.1}, {60, 3, 0}, {60, 25, 0.05},
};

struct GrowthRow
{
    std::size_t nodes;
    double maximumBytes; // Between zones, for each node.
};

const GrowthRow growthRows[] = {{30, 25'000}, {90, 35'000}, {180, 40'000}};

const std::uint64_t lossSeeds[] = {17, 18, 19, 20, 21, 22, 23, 24, 25, 26};

bool seesUpstream(const Membership &viewer, std::size_t member, UpstreamState state)
{
    const MemberRecord *record = viewer.members().find(FakeNetwork::idOf(member));
    return record != nullptr && record->member.upstream == state;
}

std::uint64_t deaths(const FakeNetwork &network)
{
    std::uint64_t sum = 0;
    for (const auto &node : network.nodes)
        sum += node.membership->counters().deaths;
    return sum;
}

} // namespace

TABLE_TEST(membership, allNodesConverge, shapeRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 7, row.loss});
    const Duration elapsed = network.runUntil([&] { return network.converged(); }, seconds(60));
    cr_assert(elapsed < seconds(30), "%zu nodes took longer than 30 s", row.nodes);
}

// Callers on other nodes keep choosing a draining upstream until their node learns of the drain. Every node
// in every zone must learn of it within seconds, even if one datagram in ten is lost.
TABLE_TEST(membership, drainReachesAllNodesWithinSeconds, shapeRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 11, row.loss});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[0].membership->setUpstream(network.now, "booking", UpstreamState::Ready, 6);
    network.run(seconds(20));
    network.nodes[0].membership->setUpstream(network.now, "booking", UpstreamState::Draining, 6);
    const auto reached = [&] {
        return network.allRunning(
            [](const Membership &m) { return seesUpstream(m, 0, UpstreamState::Draining); });
    };
    const Duration elapsed = network.runUntil(reached, seconds(30));
    cr_assert(elapsed <= seconds(4), "the drain took longer than 4 s");
}

// When a process crashes, callers keep choosing its upstream until direct and indirect probes have failed and
// the suspicion has expired.
TABLE_TEST(membership, crashIsDetectedByAllNodes, shapeRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 13, row.loss});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[row.nodes - 1].running = false;
    const Duration elapsed = network.runUntil([&] { return network.converged(); }, minutes(3));
    cr_assert(elapsed < seconds(60), "the crash was not detected within 60 s");
}

// Guards against false deaths, which take an upstream out of service for no reason: with one datagram in ten
// lost for ten minutes, indirect probes and refutations must keep every node alive.
TABLE_TEST(membership, packetLossCausesNoFalseDeaths, lossSeeds)
{
    FakeNetwork network({40, 4, 2, row, 0.1});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.run(minutes(10));
    cr_assert(deaths(network) == 0, "%lu false deaths", static_cast<unsigned long>(deaths(network)));
}

// A process frozen for a minute is declared dead and resumes with probes and suspicions that have all timed
// out. It must neither revive dead members nor declare live ones dead, and it must refute its own death and
// sync, so that callers find it again.
Test(membership, resumedNodeDoesNotRevertNewerState)
{
    FakeNetwork network({20, 4, 1, 19, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[4].membership->setUpstream(network.now, "booking", UpstreamState::Ready, 6);
    network.run(seconds(10));
    network.nodes[5].paused = true;
    network.run(seconds(30));
    cr_assert(network.stateOf(0, 5) == MemberState::Dead);
    network.nodes[4].membership->setUpstream(network.now, "booking", UpstreamState::Draining, 6);
    network.nodes[6].running = false;
    network.run(seconds(30));
    cr_assert(network.stateOf(0, 6) == MemberState::Dead);

    const std::uint64_t before = deaths(network);
    network.nodes[5].paused = false;
    const Duration elapsed = network.runUntil([&] { return network.converged(); }, seconds(60));
    cr_assert(elapsed < seconds(30), "the resumed node did not rejoin within 30 s");
    network.run(seconds(10));
    cr_assert(
        network.allRunning([](const Membership &m) { return seesUpstream(m, 4, UpstreamState::Draining); }));
    cr_assert(deaths(network) == before, "the resumed node declared live nodes dead");
    cr_assert(network.nodes[5].membership->counters().refutations > 0);
    cr_assert(network.nodes[5].membership->counters().pauses == 1);
}

// Two regions are partitioned for an hour and consider each other dead. When the partition heals, neither may
// drop its own members because of the other side's death reports, and both must converge without
// intervention.
Test(membership, partitionedRegionsHeal)
{
    FakeNetwork network({24, 6, 2, 23, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.cut = [&](std::size_t from, std::size_t to) {
        return network.nodes[from].region != network.nodes[to].region;
    };
    network.run(minutes(60));
    cr_assert(network.allRunning([](const Membership &m) { return m.members().presentCount() == 12; }));
    network.cut = nullptr;
    std::size_t minimumPresent = 24;
    const auto healed = [&] {
        for (const auto &node : network.nodes)
            minimumPresent = std::min(minimumPresent, node.membership->members().presentCount());
        return network.converged();
    };
    const Duration elapsed = network.runUntil(healed, minutes(5));
    cr_assert(elapsed < minutes(1), "the regions did not converge within a minute");
    cr_assert(minimumPresent >= 12, "a node's view fell to %zu members while healing", minimumPresent);
}

// All nodes of a zone crash and later restart together. The other zones must detect both, and no node may
// exceed its bandwidth budget while a third of the mesh changes at once.
Test(membership, zoneFailureAndReturnStayWithinBudget)
{
    MembershipSettings settings;
    FakeNetwork network({90, 3, 1, 29, 0}, settings);
    network.runUntil([&] { return network.converged(); }, seconds(60));
    for (std::size_t i = 2; i < 90; i += 3)
        network.nodes[i].running = false;
    cr_assert(network.runUntil([&] { return network.converged(); }, minutes(3)) < minutes(1));
    std::vector<std::uint64_t> before;
    std::vector<std::uint64_t> receivedBefore;
    for (std::size_t i = 0; i < 90; ++i) {
        const MembershipCounters counters = network.nodes[i].membership->counters();
        before.push_back(i % 3 == 2 ? 0 : counters.sentBytes());
        receivedBefore.push_back(i % 3 == 2 ? 0 : counters.receivedBytes());
    }
    for (std::size_t i = 2; i < 90; i += 3)
        network.start(i, 1000);
    const Instant begin = network.now;
    cr_assert(network.runUntil([&] { return network.converged(); }, minutes(3)) < seconds(40));
    network.run(seconds(20));
    const double time = std::chrono::duration<double>(network.now - begin).count();
    for (std::size_t i = 0; i < 90; ++i) {
        const auto sent =
            static_cast<double>(network.nodes[i].membership->counters().sentBytes() - before[i]);
        cr_assert(sent <= settings.burstBytes + settings.bytesPerSecond * time, "node %zu sent %f bytes", i,
                  sent);
        const auto received =
            static_cast<double>(network.nodes[i].membership->counters().receivedBytes() - receivedBefore[i]);
        cr_assert(sent + received <= 13000 * time, "node %zu sent and received %f bytes", i, sent + received);
    }
}

// Traffic between zones is expensive. It must grow with the number of changes: if every node of a large zone
// gossiped, probed and synced across zones as often as in a small zone, it would grow with the square of the
// nodes.
TABLE_TEST(membership, crossZoneTrafficGrowsLinearly, growthRows)
{
    FakeNetwork network({row.nodes, 3, 1, 31, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    for (std::size_t i = 0; i < row.nodes; ++i) {
        network.nodes[i].membership->leave(network.now);
        network.run(Milliseconds(1000));
        network.start(i, 1000);
    }
    cr_assert(network.runUntil([&] { return network.converged(); }, minutes(1)) < seconds(40));
    std::uint64_t total = 0;
    for (const std::uint64_t bytes : network.crossZoneBytes)
        total += bytes;
    const double bytesPerNode = static_cast<double>(total) / static_cast<double>(row.nodes);
    cr_assert(bytesPerNode <= row.maximumBytes, "%f bytes between zones for each node", bytesPerNode);
}

// A node that restarts after its wall clock was set back has a lower incarnation than the mesh remembers, so
// its changes are ignored. It must learn of the higher incarnation and exceed it.
Test(membership, restartWithLowerIncarnationRecovers)
{
    FakeNetwork network({10, 2, 1, 31, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[7].running = false;
    network.run(seconds(30));
    network.start(7, 0);
    network.nodes[7].membership->setUpstream(network.now, "entry", UpstreamState::Ready, 6);
    const auto reached = [&] {
        return network.allRunning(
            [](const Membership &m) { return seesUpstream(m, 7, UpstreamState::Ready); });
    };
    cr_assert(network.runUntil(reached, minutes(1)) < seconds(30));
}

// A node that leaves must be removed from every view within seconds, without suspicion or a death report.
Test(membership, leaveReachesAllNodesWithoutSuspicion)
{
    FakeNetwork network({30, 3, 1, 37, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[9].membership->leave(network.now);
    network.runUntil([&] { return network.nodes[9].membership->leaveComplete(); }, seconds(10));
    network.nodes[9].running = false;
    cr_assert(network.runUntil([&] { return network.converged(); }, minutes(1)) <= seconds(4));
    cr_assert(network.stateOf(0, 9) == MemberState::Left);
    cr_assert(deaths(network) == 0);
}

Test(membership, tombstonesExpire)
{
    FakeNetwork network({6, 1, 1, 41, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[5].running = false;
    network.run(minutes(60));
    cr_assert(network.nodes[0].membership->members().size() == 6);
    network.run(minutes(70));
    cr_assert(network.allRunning([](const Membership &m) { return m.members().size() == 5; }));
}

Test(membership, highestConfigurationVersionReachesAllNodes)
{
    FakeNetwork network({40, 4, 2, 43, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[3].membership->setConfiguration(9, {9, 1, 2});
    const auto reached = [&] {
        return network.allRunning([](const Membership &m) {
            return m.head() == ConfigurationVersion{9, 1, 2};
        });
    };
    cr_assert(network.runUntil(reached, minutes(1)) <= seconds(4));
    network.nodes[3].membership->setConfiguration(8, {8, 3, 4});
    network.run(seconds(5));
    cr_assert(reached(), "a lower version replaced a higher one");
}

// When the store is restored from an older copy, nodes may have lost rows there and would not notice for up
// to a minute. The node that notices first must inform all others.
Test(membership, storeEraChangeReachesAllNodes)
{
    FakeNetwork network({40, 4, 2, 43, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    for (const auto &node : network.nodes)
        node.membership->noteStoreEra(5);
    network.nodes[3].membership->noteStoreEra(7);
    const auto reached = [&] {
        return network.allRunning([](const Membership &m) { return m.highestStoreEra() == 7; });
    };
    cr_assert(network.runUntil(reached, minutes(1)) <= seconds(4));
    network.nodes[3].membership->noteStoreEra(6);
    network.run(seconds(5));
    cr_assert(reached(), "a lower era replaced a higher one");
}

// At a fleet start each node reads the store era itself. Gossiping it would cost datagrams when they are
// needed most.
Test(membership, initialStoreEraCausesNoGossip)
{
    const auto sentBytes = [](std::uint64_t era) {
        FakeNetwork network({40, 4, 2, 43, 0});
        network.runUntil([&] { return network.converged(); }, seconds(60));
        network.run(seconds(10));
        std::uint64_t before = 0;
        std::uint64_t after = 0;
        for (const auto &node : network.nodes)
            before += node.membership->counters().sentBytes();
        for (const auto &node : network.nodes)
            node.membership->noteStoreEra(era);
        network.run(seconds(2));
        for (const auto &node : network.nodes)
            after += node.membership->counters().sentBytes();
        return after - before;
    };
    cr_assert(sentBytes(3) == sentBytes(0));
}

// Each hop adds its delay to the time until a new version is in force everywhere. A node that learns of a
// version, or comes to hold one, must gossip it in the next tick instead of its next regular round.
Test(membership, newVersionSpreadsWithinASecond)
{
    FakeNetwork network({90, 3, 1, 47, 0});
    network.runUntil([&] { return network.converged(); }, minutes(1));
    network.run(seconds(10));
    double sum = 0;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        for (std::size_t reader = 0; reader < 3; ++reader)
            network.nodes[reader].membership->setConfiguration(version, {version, 1, 2});
        const auto reached = [&] {
            return network.allRunning([&](const Membership &m) { return m.head().version == version; });
        };
        const Duration elapsed = network.runUntil(reached, seconds(10));
        sum += std::chrono::duration<double>(elapsed).count();
        network.run(seconds(5));
    }
    cr_assert(sum / 20 <= 0.6, "%f s on average", sum / 20);
}

// A node whose seeds are all down must start to serve after a while, but must not give up on them at once.
Test(membership, nodeWithUnreachableSeedsServesAlone)
{
    FakeNetwork network({3, 1, 1, 47, 0});
    network.nodes[1].running = false;
    network.nodes[2].running = false;
    network.run(seconds(3));
    cr_assert(!network.nodes[0].membership->hasView());
    network.run(seconds(30));
    cr_assert(network.nodes[0].membership->hasView());
}
