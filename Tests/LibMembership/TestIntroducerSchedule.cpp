// Nodes without seeds find each other through introducer rows in a shared table, in any start order and with
// faults during the start.
#include "IntroducerFleet.h"

#include <Support/TableTest.h>

using namespace Sagecrank;
using namespace Sagecrank::Testing;

namespace {

FakeNetwork::Shape unseeded(std::uint64_t seed)
{
    FakeNetwork::Shape shape;
    shape.seeded = false;
    shape.seed = seed;
    shape.nodes = 4 + seed % 11;
    shape.zones = 1 + seed / 11 % 4;
    shape.loss = seed % 3 == 0 ? 0.05 : 0;
    return shape;
}

enum class Fault : std::uint8_t { None, PartitionDuringStart, TableUnavailable, Restarts, LongPartition };

struct FaultRow
{
    const char *what;
    Fault fault;
    Duration limit; // From the end of the fault until the network has converged.
};

// Two seconds, plus the rest of a suspicion that a partition may have caused.
const FaultRow faultRows[] = {
    {"a start", Fault::None, Milliseconds(2000)},
    {"a partition during the start", Fault::PartitionDuringStart, Milliseconds(2500)},
    {"the table unavailable during the start", Fault::TableUnavailable, Milliseconds(2500)},
    {"all nodes restart", Fault::Restarts, Milliseconds(2000)},
    {"two groups that started partitioned", Fault::LongPartition, Milliseconds(2500)},
};

void runFault(IntroducerFleet &fleet, Fault fault)
{
    const Milliseconds span(fleet.draw(400));
    const std::uint64_t side = fleet.draw(UINT64_MAX);
    const auto isCut = [side](std::size_t from, std::size_t to) {
        return ((side >> (from % 64)) & 1U) != ((side >> (to % 64)) & 1U);
    };
    if (fault == Fault::PartitionDuringStart || fault == Fault::LongPartition)
        fleet.network.cut = isCut;
    fleet.tableUnavailable = fault == Fault::TableUnavailable;
    startAll(fleet, span, 1);
    if (fault == Fault::TableUnavailable || fault == Fault::PartitionDuringStart)
        fleet.run(Milliseconds(fleet.draw(2000)));
    if (fault == Fault::LongPartition)
        fleet.run(Milliseconds(8000));
    fleet.network.cut = nullptr;
    fleet.tableUnavailable = false;
    if (fault != Fault::Restarts)
        return;
    fleet.run(std::chrono::seconds(2));
    for (std::size_t node = 0; node < fleet.network.nodes.size(); ++node)
        fleet.stop(node);
    fleet.run(std::chrono::seconds(1));
    startAll(fleet, span, 2);
}

} // namespace

// Guards against groups that stay apart after the fault that separated them has ended: the nodes of a group
// that has formed stop searching, and their callers find only the upstreams of that group. Nodes start in
// random order, lose datagrams, are cut off from each other or from the table, or all restart.
TABLE_TEST(introducerSchedule, reachableGroupsMerge, faultRows)
{
    Duration longest{};
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        IntroducerFleet fleet(unseeded(seed));
        runFault(fleet, row.fault);
        const Duration elapsed = fleet.runUntilConverged(std::chrono::seconds(20));
        longest = std::max(longest, elapsed);
        if (elapsed > row.limit) {
            ++late;
            cr_log_warn("%s: seed %d took %d ms", row.what, static_cast<int>(seed),
                        static_cast<int>(std::chrono::duration_cast<Milliseconds>(elapsed).count()));
        }
    }
    cr_assert(late == 0, "%s: %d of 400 runs took too long, the longest %d ms", row.what, late,
              static_cast<int>(std::chrono::duration_cast<Milliseconds>(longest).count()));
}

namespace {

struct LargeStartRow
{
    std::size_t nodes;
    std::size_t zones;
};

const LargeStartRow largeStartRows[] = {{12, 4}, {60, 3}, {120, 5}, {295, 5}};

// Average share of all nodes, and of the nodes of its own zone, that a node counts as present.
struct KnownShares
{
    double all = 0;
    double zone = 0;
};

KnownShares knownShares(const FakeNetwork &network, const LargeStartRow &row)
{
    const auto nodes = static_cast<double>(row.nodes);
    KnownShares shares;
    for (const FakeNode &node : network.nodes) {
        const MemberTable &members = node.membership->members();
        shares.all += static_cast<double>(members.presentCount()) / nodes / nodes;
        const double ownZone = static_cast<double>(members.zonePeers().size()) + 1;
        shares.zone += ownZone * static_cast<double>(row.zones) / nodes / nodes;
    }
    return shares;
}

} // namespace

// Guards against slow discovery when a whole fleet starts at once, which sends all calls to the few known
// upstreams, and against so many table calls that the table throttles them.
TABLE_TEST(introducerSchedule, startingFleetDiscoversItselfQuickly, largeStartRows)
{
    constexpr double minimumShare = 0.95;
    constexpr std::uint64_t maximumCallsPerNode = 4;
    FakeNetwork::Shape shape;
    shape.seeded = false;
    shape.seed = 1;
    shape.nodes = row.nodes;
    shape.zones = row.zones;
    IntroducerFleet fleet(shape);
    startAll(fleet, Milliseconds(300), 1);
    fleet.run(Milliseconds(1000));
    cr_assert(knownShares(fleet.network, row).zone >= minimumShare, "%d nodes", static_cast<int>(row.nodes));
    fleet.run(Milliseconds(1500));
    cr_assert(knownShares(fleet.network, row).all >= minimumShare, "%d nodes", static_cast<int>(row.nodes));
    cr_assert(fleet.tableCalls <= maximumCallsPerNode * row.nodes, "%d calls",
              static_cast<int>(fleet.tableCalls));
}
