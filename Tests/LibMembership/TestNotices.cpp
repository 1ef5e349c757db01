// Notices that every node is to hold: how they reach all of them, and how they end.
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
    double mostSeconds;
};

const SpreadRow spreadRows[] = {{2, 1, 0, 1}, {8, 3, 0.1, 2}, {92, 3, 0.05, 2}, {295, 5, 0.01, 3}};

bool holds(const Membership &member, std::uint64_t subject, std::uint8_t state)
{
    return std::ranges::any_of(member.notices(), [&](const Notice &notice) {
        return notice.subject == subject && notice.state == state;
    });
}

} // namespace

// One node's word must be held by all within the time in which a request may come back to any of them.
TABLE_TEST(notices, reachEveryNode, spreadRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 5, row.loss});
    network.run(seconds(15));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 600});
    const Duration took = network.runUntil(
        [&] { return network.allRunning([](const Membership &m) { return holds(m, 7, 0); }); }, seconds(20));
    cr_assert(std::chrono::duration<double>(took).count() <= row.mostSeconds, "%zu nodes", row.nodes);
    network.nodes[row.nodes - 1].membership->announce(network.now, {7, 1, 1, 600});
    network.run(seconds(3));
    cr_assert(network.allRunning([](const Membership &m) { return holds(m, 7, 1) && !holds(m, 7, 0); }));
}

// A node that starts again has forgotten all of them.
Test(notices, reachANodeThatStartsLater)
{
    FakeNetwork network({8, 3, 1, 5, 0});
    network.run(seconds(5));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 600});
    network.run(seconds(20));
    network.start(5, 2);
    const Duration took =
        network.runUntil([&] { return holds(*network.nodes[5].membership, 7, 0); }, seconds(20));
    cr_assert(took <= seconds(1));
}

// Nodes that hear of a notice late must not keep each other's alive.
Test(notices, endEverywhereWhenTheirLifeIsOver)
{
    FakeNetwork network({30, 3, 1, 5, 0.1});
    network.run(seconds(10));
    network.nodes[0].membership->announce(network.now, {7, 1, 0, 30});
    network.run(seconds(40));
    cr_assert(network.allRunning([](const Membership &m) { return m.notices().empty(); }));
    network.run(seconds(30));
    cr_assert(network.allRunning([](const Membership &m) { return m.notices().empty(); }));
}

// Nodes that tell each other of it all the time must not wear its life away.
TABLE_TEST(notices, liveAsLongAsTheySay, spreadRows)
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

// A flood of them must not fill a node's memory.
Test(noticeBoard, isBounded)
{
    NoticeTable board;
    for (std::uint64_t subject = 0; subject < 10 * maximumNotices; ++subject)
        board.merge(start, {subject, 1, 0, 600});
    cr_assert(board.list(start).size() == maximumNotices);
}

// After a mass crash the next request that crashes upstreams must still be told of.
Test(noticeBoard, aFloodDoesNotShutOutLaterNotices)
{
    NoticeTable board;
    for (std::uint64_t subject = 0; subject < 10 * maximumNotices; ++subject)
        board.merge(start, {subject, 1, 0, 600});
    const Instant later = start + seconds(10);
    const std::uint64_t last = 10 * maximumNotices;
    cr_assert(!board.merge(start + seconds(1), {last, 1, 0, 600}), "of the same moment");
    cr_assert(board.merge(later, {last, 1, 0, 600}));
    cr_assert(!board.merge(later, {last - 1, 1, 0, 590}), "a displaced one does not come back");
    const std::vector<Notice> held = board.list(later);
    cr_assert(held.size() == maximumNotices);
    cr_assert(std::ranges::find(held, Notice{last, 1, 0, 600}) != held.end());
}

// Datagrams arrive late, twice and in any order.
Test(noticeBoard, keepsTheHigherStateAndTheLifeFirstHeard)
{
    NoticeTable board;
    cr_assert(board.merge(start, {7, 1, 1, 60}));
    cr_assert(!board.merge(start, {7, 1, 0, 600}));
    cr_assert(!board.merge(start, {7, 1, 1, 30}));
    cr_assert(board.merge(start, {7, 1, 2, 600}));
    cr_assert(board.list(start) == std::vector<Notice>({{7, 1, 2, 60}}));
    cr_assert(!board.merge(start, {8, 1, 0, 0}), "its life is over");
    cr_assert(!board.expire(start + seconds(59)));
    cr_assert(board.expire(start + seconds(60)));
    cr_assert(board.empty());
}
