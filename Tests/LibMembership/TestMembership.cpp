// The gossip state machine among many nodes on a fake network: who sees whom, and when.
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
    double mostBytes; // Between zones, for each node.
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

TABLE_TEST(membership, everyNodeSeesEveryNode, shapeRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 7, row.loss});
    const Duration took = network.runUntil([&] { return network.converged(); }, seconds(60));
    cr_assert(took < seconds(30), "%zu nodes took longer than 30 s", row.nodes);
}

// A drain is announced by one node. Its callers on other nodes keep choosing it until they hear of it, so
// every node, in every zone, must hear within seconds, also when one datagram in ten is lost.
TABLE_TEST(membership, aDrainIsSeenEverywhereWithinSeconds, shapeRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 11, row.loss});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[0].membership->setUpstream(network.now, "booking", UpstreamState::Ready, 6);
    network.run(seconds(20));
    network.nodes[0].membership->setUpstream(network.now, "booking", UpstreamState::Draining, 6);
    const auto seen = [&] {
        return network.allRunning(
            [](const Membership &m) { return seesUpstream(m, 0, UpstreamState::Draining); });
    };
    const Duration took = network.runUntil(seen, seconds(30));
    cr_assert(took <= seconds(4), "the drain took longer than 4 s");
}

// A process dies without a word. Callers go on choosing its upstream until the mesh holds it for dead: first
// its probes go unanswered, then those through others, then the suspicion runs out unrefuted.
TABLE_TEST(membership, aSilentDeathIsSeenEverywhere, shapeRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 13, row.loss});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[row.nodes - 1].running = false;
    const Duration took = network.runUntil([&] { return network.converged(); }, minutes(3));
    cr_assert(took < seconds(60), "the death was not seen within 60 s");
}

// One datagram in ten is lost for ten minutes and nobody dies. A node that is falsely held for dead would
// lose its callers for no reason: indirect probes and refutation must keep every one in.
TABLE_TEST(membership, lossAloneKillsNobody, lossSeeds)
{
    FakeNetwork network({40, 4, 2, row, 0.1});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.run(minutes(10));
    cr_assert(deaths(network) == 0, "%lu false deaths", static_cast<unsigned long>(deaths(network)));
}

// A process is frozen for a minute, the others hold it for dead, and it wakes with suspicions and probes that
// all lapsed while it slept. It must not bring dead members back or declare living ones dead, and its own
// callers must find it again: it hears what is said of it, refutes that and learns the rest anew.
Test(membership, aPausedNodeCannotUndoNewerState)
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
    const Duration took = network.runUntil([&] { return network.converged(); }, seconds(60));
    cr_assert(took < seconds(30), "the woken node is not back after 30 s");
    network.run(seconds(10));
    cr_assert(
        network.allRunning([](const Membership &m) { return seesUpstream(m, 4, UpstreamState::Draining); }));
    cr_assert(deaths(network) == before, "the woken node declared living nodes dead");
    cr_assert(network.nodes[5].membership->counters().refutations > 0);
    cr_assert(network.nodes[5].membership->counters().pauses == 1);
}

// Two regions lose each other for an hour and hold each other for dead. When the link is back, neither may
// empty its view of its own members because the other side says that they died, and both must be whole again
// within minutes without anyone's help.
Test(membership, regionsThatLostEachOtherHeal)
{
    FakeNetwork network({24, 6, 2, 23, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.cut = [&](std::size_t from, std::size_t to) {
        return network.nodes[from].region != network.nodes[to].region;
    };
    network.run(minutes(60));
    cr_assert(network.allRunning([](const Membership &m) { return m.members().presentCount() == 12; }));
    network.cut = nullptr;
    std::size_t fewest = 24;
    const auto healed = [&] {
        for (const auto &node : network.nodes)
            fewest = std::min(fewest, node.membership->members().presentCount());
        return network.converged();
    };
    const Duration took = network.runUntil(healed, minutes(5));
    cr_assert(took < minutes(1), "the halves are not one after a minute");
    cr_assert(fewest >= 12, "a node's view fell to %zu members while healing", fewest);
}

// A zone dies as one and comes back as one with new processes. The survivors must see both, and no node may
// send more than its budget while a third of the mesh changes at once.
Test(membership, aLostZoneReturnsWithinTheBudget)
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

// Bytes between zones are dear, and a mesh that grows has more to tell: each node tells its news into other
// zones, asks there for its first view and compares tables there. If every node did so as often as in a small
// zone, the bytes would grow with the square of the nodes.
TABLE_TEST(membership, bytesBetweenZonesGrowWithTheNewsOnly, growthRows)
{
    FakeNetwork network({row.nodes, 3, 1, 31, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    for (std::size_t i = 0; i < row.nodes; ++i) {
        network.nodes[i].membership->leave(network.now);
        network.run(Milliseconds(1000));
        network.start(i, 1000);
    }
    cr_assert(network.runUntil([&] { return network.converged(); }, minutes(1)) < seconds(40));
    std::uint64_t all = 0;
    for (const std::uint64_t bytes : network.crossed)
        all += bytes;
    const double each = static_cast<double>(all) / static_cast<double>(row.nodes);
    cr_assert(each <= row.mostBytes, "%f bytes between zones for each node", each);
}

// A restart on a host whose wall clock was set back claims a lower incarnation than the mesh remembers. The
// mesh would ignore all it says; it must hear of the higher one and rise above it.
Test(membership, aRestartWithALowerIncarnationIsTakenBack)
{
    FakeNetwork network({10, 2, 1, 31, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[7].running = false;
    network.run(seconds(30));
    network.start(7, 0);
    network.nodes[7].membership->setUpstream(network.now, "entry", UpstreamState::Ready, 6);
    const auto seen = [&] {
        return network.allRunning(
            [](const Membership &m) { return seesUpstream(m, 7, UpstreamState::Ready); });
    };
    cr_assert(network.runUntil(seen, minutes(1)) < seconds(30));
}

// A node says goodbye and ends. Nobody may take that for a death that needs suspicion, and it must be out of
// every view within seconds.
Test(membership, aGoodbyeIsSeenWithoutSuspicion)
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

Test(membership, theDeadAreForgotten)
{
    FakeNetwork network({6, 1, 1, 41, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[5].running = false;
    network.run(minutes(60));
    cr_assert(network.nodes[0].membership->members().size() == 6);
    network.run(minutes(70));
    cr_assert(network.allRunning([](const Membership &m) { return m.members().size() == 5; }));
}

Test(membership, theHighestConfigurationMarkReachesAll)
{
    FakeNetwork network({40, 4, 2, 43, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    network.nodes[3].membership->setConfiguration(9, {9, 1, 2});
    const auto seen = [&] {
        return network.allRunning([](const Membership &m) {
            return m.head() == ConfigurationVersion{9, 1, 2};
        });
    };
    cr_assert(network.runUntil(seen, minutes(1)) <= seconds(4));
    network.nodes[3].membership->setConfiguration(8, {8, 3, 4});
    network.run(seconds(5));
    cr_assert(seen(), "a lower mark replaced a higher one");
}

// The store comes back from an older copy, and one node has noticed. Each of the others may have lost what it
// wrote there, and does not ask the store by itself for a minute.
Test(membership, aReturnOfTheStoreReachesAll)
{
    FakeNetwork network({40, 4, 2, 43, 0});
    network.runUntil([&] { return network.converged(); }, seconds(60));
    for (const auto &node : network.nodes)
        node.membership->noteStoreEra(5);
    network.nodes[3].membership->noteStoreEra(7);
    const auto seen = [&] {
        return network.allRunning([](const Membership &m) { return m.highestStoreEra() == 7; });
    };
    cr_assert(network.runUntil(seen, minutes(1)) <= seconds(4));
    network.nodes[3].membership->noteStoreEra(6);
    network.run(seconds(5));
    cr_assert(seen(), "a lower era replaced a higher one");
}

// A fleet starts, and each node learns the era from its own first call. To tell that to all others would cost
// datagrams at the moment at which they are needed most.
Test(membership, theFirstEraIsNotToldOnItsOwn)
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

// A change has to be in force everywhere soon, and each step of its way through a zone adds its wait to the
// whole: whoever hears of a version, or comes to hold it, says so in the next tick and not in its next
// regular round.
Test(membership, aNewVersionIsHeardOfWithinASecond)
{
    FakeNetwork network({90, 3, 1, 47, 0});
    network.runUntil([&] { return network.converged(); }, minutes(1));
    network.run(seconds(10));
    double sum = 0;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        for (std::size_t reader = 0; reader < 3; ++reader)
            network.nodes[reader].membership->setConfiguration(version, {version, 1, 2});
        const auto heard = [&] {
            return network.allRunning([&](const Membership &m) { return m.head().version == version; });
        };
        const Duration took = network.runUntil(heard, seconds(10));
        sum += std::chrono::duration<double>(took).count();
        network.run(seconds(5));
    }
    cr_assert(sum / 20 <= 0.6, "%f s on average", sum / 20);
}

// All other hosts are gone when a node starts, and its seeds answer nobody. Its callers need it all the more;
// it must not wait for peers for ever, but also not take the first silence for being alone.
Test(membership, aNodeWhoseSeedsAreAllDeadGoesOnAlone)
{
    FakeNetwork network({3, 1, 1, 47, 0});
    network.nodes[1].running = false;
    network.nodes[2].running = false;
    network.run(seconds(3));
    cr_assert(!network.nodes[0].membership->hasView());
    network.run(seconds(30));
    cr_assert(network.nodes[0].membership->hasView());
}
