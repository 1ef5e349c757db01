// Broadcast, replacement and expiry of bulletins, and reports to single members.
#include "FakeNetwork.h"

#include <Support/TableTest.h>

#include <algorithm>

using namespace Sagecrank;
using std::chrono::seconds;
using Testing::FakeNetwork;

namespace {

const Instant start = Instant() + std::chrono::hours(1);

Bulletin makeBulletin(std::uint64_t sequence, std::uint8_t state, const std::string &payload = "text")
{
    return {"rollout/booking", sequence, state, 600, payload};
}

bool holds(const Membership &member, const Bulletin &expected)
{
    return std::ranges::any_of(member.bulletins(), [&](const Bulletin &bulletin) {
        return bulletin.sequence == expected.sequence && bulletin.state == expected.state
               && bulletin.payload == expected.payload;
    });
}

struct SpreadRow
{
    std::size_t nodes;
    std::size_t zones;
    double loss;
    double maximumSeconds;
};

const SpreadRow spreadRows[] = {{2, 1, 0, 1}, {8, 3, 0.1, 2}, {92, 3, 0.05, 2}, {295, 5, 0.01, 3}};

struct MergeRow
{
    const char *what;
    Bulletin held;
    Bulletin received;
    bool replaces;
};

const MergeRow mergeRows[] = {
    {"the same", makeBulletin(4, 1), makeBulletin(4, 1), false},
    {"a later state", makeBulletin(4, 1), makeBulletin(4, 2), true},
    {"an earlier state", makeBulletin(4, 2), makeBulletin(4, 1), false},
    {"a later sequence at an earlier state", makeBulletin(4, 5), makeBulletin(5, 0), true},
    {"an earlier sequence at a later state", makeBulletin(5, 0), makeBulletin(4, 5), false},
    {"one without time to live", makeBulletin(4, 1), {"rollout/booking", 9, 1, 0, "text"}, false},
};

} // namespace

// A verdict must reach every node long before the users' bound on calls to a bad version.
TABLE_TEST(bulletins, reachEveryNode, spreadRows)
{
    FakeNetwork network({row.nodes, row.zones, 1, 5, row.loss});
    network.run(seconds(15));
    const Bulletin bulletin = makeBulletin(4, 1);
    network.nodes[0].membership->announce(network.now, bulletin);
    const Duration elapsed = network.runUntil(
        [&] { return network.allRunning([&](const Membership &m) { return holds(m, bulletin); }); },
        seconds(20));
    cr_assert(std::chrono::duration<double>(elapsed).count() <= row.maximumSeconds, "%zu nodes: %f s",
              row.nodes, std::chrono::duration<double>(elapsed).count());
}

// A node that starts in the middle of a roll-out must learn of it with the members.
Test(bulletins, reachARestartedNode)
{
    FakeNetwork network({8, 3, 1, 5, 0});
    network.run(seconds(5));
    const Bulletin bulletin = makeBulletin(4, 1);
    network.nodes[0].membership->announce(network.now, bulletin);
    network.run(seconds(20));
    network.start(5, 2);
    const Duration elapsed =
        network.runUntil([&] { return holds(*network.nodes[5].membership, bulletin); }, seconds(20));
    cr_assert(elapsed <= seconds(1));
}

// Datagrams are repeated and reordered.
TABLE_TEST(bulletinTable, laterBulletinOfATopicWins, mergeRows)
{
    BulletinTable table;
    cr_assert(table.merge(start, row.held));
    cr_assert(table.merge(start, row.received) == row.replaces, "%s", row.what);
    cr_assert(table.list(start).size() == 1);
    cr_assert(table.list(start)[0].sequence == (row.replaces ? row.received.sequence : row.held.sequence));
}

// A flood of topics must not exhaust a node's memory.
Test(bulletinTable, sizeIsBounded)
{
    BulletinTable table;
    for (std::size_t topic = 0; topic < 10 * maximumBulletins; ++topic)
        table.merge(start, {std::to_string(topic), 1, 0, 600, std::string(maximumBulletinBytes, 'x')});
    cr_assert(table.list(start).size() == maximumBulletins);
    table.expire(start + seconds(601));
    cr_assert(table.list(start).empty());
}

Test(bulletins, datagramsCarryThemWithVersionsAndReports)
{
    Datagram datagram;
    datagram.sender = "host-1";
    datagram.bulletins = {makeBulletin(4, 1), makeBulletin(5, 0, std::string(maximumBulletinBytes, 'x'))};
    datagram.report = std::string(500, 'r');
    Member member;
    member.id = "host-2";
    member.version = "v2";
    member.state = MemberState::Suspect;
    datagram.members = {member};
    const Result<Datagram> decoded = decodeDatagram(encodeDatagram(datagram), "peer");
    cr_assert(decoded.has_value());
    cr_assert(decoded.value().bulletins == datagram.bulletins);
    cr_assert(decoded.value().report == datagram.report);
    cr_assert(decoded.value().members == datagram.members);
}

// A report goes to one member, and reaches it once or not at all.
Test(reports, reachOneMember)
{
    FakeNetwork network({8, 3, 1, 5, 0});
    network.run(seconds(5));
    network.nodes[0].membership->sendReport(network.nodes[3].membership->self().id, "figures");
    network.nodes[0].membership->sendReport("unknown", "figures");
    network.run(seconds(1));
    for (std::size_t node = 0; node < network.nodes.size(); ++node)
        cr_assert(network.nodes[node].reports
                  == (node == 3 ? std::vector<std::string>{"figures"} : std::vector<std::string>{}));
}
