// Broadcast and expiry of notices.
#include "FakeNetwork.h"

#include <Support/TableTest.h>

#include <algorithm>

using namespace Sagecrank;
using std::chrono::seconds;
using Testing::FakeNetwork;

namespace {

const Instant start = Instant() + std::chrono::hours(1);

struct SpreadRow
{
    std::size_t nodes;
    std::size_t zones;
    double loss;
    double maximumSeconds;
};

const SpreadRow spreadRows[] = {{2, 1, 0, 1}, {8, 3, 0.1, 2}, {92, 3, 0.05, 2}, {295, 5, 0.01, 3}};

bool holds(const Membership &member, std::uint64_t subject, std::uint8_t state)
{
    return std::ranges::any_of(member.notices(), [&](const Notice &notice) {
        return notice.subject == subject && notice.state == state;
    });
}

} // namespace

// A notice must reach every node before a retried request can.
TABLE_TEST(notices, reachEveryNode, spreadRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 5, row.loss});
    network.run(seconds(15));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 600});
    const Duration elapsed = network.runUntil(
        [&] { return network.allRunning([](const Membership &m) { return holds(m, 7, 0); }); }, seconds(20));
    cr_assert(std::chrono::duration<double>(elapsed).count() <= row.maximumSeconds, "%zu nodes", row.nodes);
    network.nodes[row.nodes - 1].membership->announce(network.now, {7, 1, 1, 600});
    network.run(seconds(3));
    cr_assert(network.allRunning([](const Membership &m) { return holds(m, 7, 1) && !holds(m, 7, 0); }));
}

// A restarted node has lost all notices and must get them from its peers.
Test(notices, reachARestartedNode)
{
    FakeNetwork network({8, 3, 1, 5, 0});
    network.run(seconds(5));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 600});
    network.run(seconds(20));
    network.start(5, 2);
    const Duration elapsed =
        network.runUntil([&] { return holds(*network.nodes[5].membership, 7, 0); }, seconds(20));
    cr_assert(elapsed <= seconds(1));
}

// Nodes that receive a notice late must not prolong it for each other.
Test(notices, expireOnAllNodes)
{
    FakeNetwork network({30, 3, 1, 5, 0.1});
    network.run(seconds(10));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 30});
    network.run(seconds(40));
    cr_assert(network.allRunning([](const Membership &m) { return m.notices().empty(); }));
    network.run(seconds(30));
    cr_assert(network.allRunning([](const Membership &m) { return m.notices().empty(); }));
}

// Repeated gossip of a notice must not shorten its time to live by rounding.
TABLE_TEST(notices, keepTheirTimeToLive, spreadRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 5, row.loss});
    network.run(seconds(15));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 600});
    network.run(seconds(60));
    std::uint16_t shortest = 600;
    for (auto &node : network.nodes) {
        for (const Notice &notice : node.membership->notices())
            shortest = std::min(shortest, notice.timeToLiveSeconds);
    }
    cr_assert(shortest >= 530, "%zu nodes: %u s of 540 are left", row.nodes, unsigned{shortest});
}

// A flood of notices must not exhaust a node's memory.
Test(noticeTable, sizeIsBounded)
{
    NoticeTable table;
    for (std::uint64_t subject = 0; subject < 10 * maximumNotices; ++subject)
        table.merge(start, {subject, 1, 0, 600});
    cr_assert(table.list(start).size() == maximumNotices);
}

// After many requests have crashed upstreams, the notice about a further one must still be stored.
Test(noticeTable, floodDoesNotBlockLaterNotices)
{
    NoticeTable table;
    for (std::uint64_t subject = 0; subject < 10 * maximumNotices; ++subject)
        table.merge(start, {subject, 1, 0, 600});
    const Instant later = start + seconds(10);
    const std::uint64_t lastSubject = 10 * maximumNotices;
    cr_assert(!table.merge(start + seconds(1), {lastSubject, 1, 0, 600}),
              "a notice of the same age evicted another");
    cr_assert(table.merge(later, {lastSubject, 1, 0, 600}));
    cr_assert(!table.merge(later, {lastSubject - 1, 1, 0, 590}), "an evicted notice was stored again");
    const std::vector<Notice> held = table.list(later);
    cr_assert(held.size() == maximumNotices);
    cr_assert(std::ranges::find(held, Notice{lastSubject, 1, 0, 600}) != held.end());
}

// Datagrams may arrive late, repeated and reordered.
Test(noticeTable, mergeKeepsHighestStateAndFirstExpiry)
{
    NoticeTable table;
    cr_assert(table.merge(start, {7, 1, 1, 60}));
    cr_assert(!table.merge(start, {7, 1, 0, 600}));
    cr_assert(!table.merge(start, {7, 1, 1, 30}));
    cr_assert(table.merge(start, {7, 1, 2, 600}));
    cr_assert(table.list(start) == std::vector<Notice>({{7, 1, 2, 60}}));
    cr_assert(!table.merge(start, {8, 1, 0, 0}), "an expired notice was stored");
    cr_assert(!table.expire(start + seconds(59)));
    cr_assert(table.expire(start + seconds(60)));
    cr_assert(table.empty());
}
