// Exchanges of whole member tables: how soon the views of a large fleet are complete, what that costs, and
// what a stream refuses.
#include "IntroducerFleet.h"

#include <Support/TableTest.h>

#include <algorithm>

using namespace Sagecrank;
using namespace Sagecrank::Testing;

namespace {

// The smallest share of all running nodes that a running node counts as present.
double worstView(const FakeNetwork &network)
{
    std::size_t running = 0;
    std::size_t least = network.nodes.size();
    for (const FakeNode &node : network.nodes) {
        if (!node.running)
            continue;
        ++running;
        least = std::min(least, node.membership->members().presentCount());
    }
    return static_cast<double>(least) / static_cast<double>(running);
}

FakeNetwork::Shape fleetShape(std::size_t nodes, std::size_t zones, double loss)
{
    FakeNetwork::Shape shape;
    shape.seeded = false;
    shape.nodes = nodes;
    shape.zones = zones;
    shape.loss = loss;
    shape.tableExchange = true;
    return shape;
}

double meanView(const FakeNetwork &network)
{
    double sum = 0;
    for (const FakeNode &node : network.nodes)
        sum += static_cast<double>(node.membership->members().presentCount());
    return sum / static_cast<double>(network.nodes.size()) / static_cast<double>(network.nodes.size());
}

struct FleetRow
{
    std::size_t nodes;
    std::size_t zones;
    double loss; // Of datagrams.
};

const FleetRow fleetRows[] = {{300, 5, 0}, {984, 5, 0}, {984, 5, 0.1}};

} // namespace

// Guards against views that stay partial for as long as datagrams need to carry a large table: calls go to
// the known upstreams only, and the least known ones get none. The cost of a start must not grow with the
// fleet either: rows are found with one read and a part of another, and few bytes cross zones.
TABLE_TEST(tableExchange, startingFleetHasWholeViews, fleetRows)
{
    constexpr double maximumCallsPerNode = 1.5;
    constexpr double crossZoneBytesPerPair = 100e3; // Of zones; five tables of 200 members.
    IntroducerFleet fleet(fleetShape(row.nodes, row.zones, row.loss));
    const Instant begin = fleet.network.now;
    startAll(fleet, Milliseconds(300), 1);
    fleet.run(begin + std::chrono::seconds(3) - fleet.network.now);
    cr_assert(meanView(fleet.network) >= 0.99, "%.3f known after 3 s", meanView(fleet.network));
    fleet.run(std::chrono::seconds(3));
    cr_assert(worstView(fleet.network) >= 0.99, "%.3f known after 6 s", worstView(fleet.network));
    const auto nodes = static_cast<double>(row.nodes);
    cr_assert(static_cast<double>(fleet.tableCalls) <= maximumCallsPerNode * nodes, "%zu calls",
              static_cast<std::size_t>(fleet.tableCalls));
    const auto pairs = static_cast<double>(row.zones * (row.zones - 1));
    cr_assert(static_cast<double>(fleet.network.crossZoneExchangedBytes) <= crossZoneBytesPerPair * pairs,
              "%zu bytes between zones", static_cast<std::size_t>(fleet.network.crossZoneExchangedBytes));
}

// Guards against a restarted node that waits for datagrams to bring it the table, and against a restart that
// costs bytes between zones.
Test(tableExchange, restartedNodeGetsTheTableFromItsZone)
{
    IntroducerFleet fleet(fleetShape(984, 5, 0));
    startAll(fleet, Milliseconds(300), 1);
    fleet.run(std::chrono::seconds(6));
    const std::uint64_t bytesBefore = fleet.network.crossZoneExchangedBytes;
    fleet.stop(17);
    fleet.start(17, 2);
    fleet.run(Milliseconds(500));
    const std::size_t known = fleet.network.nodes[17].membership->members().presentCount();
    cr_assert(known >= 975, "%zu members known", known);
    cr_assert(fleet.network.crossZoneExchangedBytes == bytesBefore);
}

// Guards against departures that are queued behind the records of joining nodes: in a fleet whose budget was
// spent on joins, four of eleven departures were heard by a part of the nodes only.
Test(tableExchange, departureReachesTheFleetWithinTwoSeconds)
{
    IntroducerFleet fleet(fleetShape(984, 5, 0));
    startAll(fleet, Milliseconds(300), 1);
    fleet.run(std::chrono::seconds(8));
    fleet.network.nodes[17].membership->leave(fleet.network.now);
    fleet.run(std::chrono::seconds(2));
    fleet.stop(17);
    std::size_t informed = 0;
    for (std::size_t viewer = 0; viewer < fleet.network.nodes.size(); ++viewer)
        informed += fleet.network.stateOf(viewer, 17) == MemberState::Left ? 1 : 0;
    cr_assert(informed >= 975, "%zu of 983 heard of it", informed);
}

// Guards against a node that knows of a version and of no peer to pull it from: the streams that it exchanges
// tables over name the version that the partner holds, like datagrams do.
Test(tableExchange, partnerIsKnownAsHolder)
{
    FakeNetwork network({2, 1, 1, 1, 0, true, false});
    network.run(std::chrono::seconds(1));
    Membership &holder = *network.nodes[0].membership;
    Membership &other = *network.nodes[1].membership;
    holder.setConfiguration(7, {7, 1, 2});
    TableStream stream(holder);
    TableStream serving(other);
    cr_assert(serving.receive(network.now, stream.open()).has_value());
    cr_assert(other.head().version == 7);
    cr_assert(other.members().find(FakeNetwork::idOf(0))->member.configurationVersion == 7);
}

namespace {

struct HostileRow
{
    const char *what;
    TableBatch batch;
};

std::string encodedPing()
{
    Datagram datagram;
    datagram.kind = DatagramKind::Ping;
    datagram.sender = "n1";
    return encodeDatagram(datagram);
}

std::string requestOf(const std::string &id)
{
    Datagram datagram;
    datagram.kind = DatagramKind::SyncRequest;
    datagram.sender = "n1";
    datagram.wanted.assign(100, hashId(id));
    return encodeDatagram(datagram);
}

std::string differingDigest()
{
    Datagram datagram;
    datagram.kind = DatagramKind::SyncDigest;
    datagram.sender = "n1";
    datagram.bucketHashes.assign(bucketCount, 1);
    return encodeDatagram(datagram);
}

const HostileRow hostileRows[] = {
    {"bytes that are no datagram", {{std::string(40, 'x')}, true, 0}},
    {"an empty datagram", {{std::string()}, true, 0}},
    {"a datagram that does not belong to a stream", {{encodedPing()}, true, 0}},
    {"a truncated datagram", {{requestOf("n0").substr(0, 60)}, true, 0}},
    {"repeated digests", {{differingDigest(), differingDigest()}, true, 0}},
    {"repeated requests for the same record", {{requestOf("n0"), requestOf("n0")}, true, 0}},
};

} // namespace

// Guards against a peer that crashes a node or makes it send without end by what it puts into a stream.
TABLE_TEST(tableExchange, streamRefusesWhatIsNotSync, hostileRows)
{
    FakeNetwork network({3, 1, 1, 1, 0, true, true});
    network.run(std::chrono::seconds(2));
    TableStream stream(*network.nodes[0].membership);
    cr_assert(!stream.receive(network.now, row.batch).has_value(), "%s", row.what);
}

// Guards against a decoder that accepts damaged streams or reads beyond them: truncated and altered batches
// of a real exchange are refused or merged, and never crash.
Test(tableExchange, damagedStreamsAreHandled)
{
    FakeNetwork network({30, 3, 1, 1, 0, true, true});
    network.run(std::chrono::seconds(3));
    std::mt19937_64 random(1);
    for (int round = 0; round < 500; ++round) {
        Member self;
        self.id = "n900";
        self.incarnation = 1;
        self.zone = "z0";
        Membership fresh({}, self, {}, 1);
        TableStream asking(fresh);
        TableStream serving(*network.nodes[0].membership);
        const Result<std::vector<TableBatch>> answer = serving.receive(network.now, asking.open());
        for (TableBatch part : answer.value()) {
            for (std::string &datagram : part.datagrams) {
                datagram.resize(random() % 2 == 0 ? datagram.size() : random() % (datagram.size() + 1));
                if (!datagram.empty())
                    datagram[random() % datagram.size()] = static_cast<char>(random());
            }
            static_cast<void>(asking.receive(network.now, part));
        }
        cr_assert(fresh.members().size() <= 300);
    }
}
