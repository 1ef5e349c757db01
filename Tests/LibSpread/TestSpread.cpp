// Who polls the head, whom a node pulls from, and how much of it reaches the platform and the peers.
#include <LibSpread/HeadPoll.h>
#include <LibSpread/PullAdmission.h>
#include <LibSpread/PullPlan.h>
#include <LibSpread/Rendezvous.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Sagecrank;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// Nodes of several zones that want one version, in fake time: each pull takes a while at its source, peers
// serve a bounded number, and what was pulled is told to all after a delay, as gossip does.
class FakeFleet
{
public:
    struct Node
    {
        std::string id;
        std::size_t zone = 0;
        std::uint32_t rank = 0;
        std::unique_ptr<PullPlan> plan;
        std::unique_ptr<PullAdmission> admission;
        std::uint64_t held = 0;
        Instant toldAt{};   // When the others know what it holds.
        Instant pullEnds{}; // Of the pull under way.
        Node *server = nullptr;
        std::uint64_t pull = 0; // Its number.
        bool hears = false;     // Knows of the target.
        Instant hearsAt{};
    };

    FakeFleet(std::size_t zones, std::size_t perZone, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < zones * perZone; ++i) {
            Node node;
            node.id = "n" + std::to_string(i);
            node.zone = i % zones;
            node.plan = std::make_unique<PullPlan>(PullSettings{}, this->random());
            node.admission = std::make_unique<PullAdmission>(8, this->random());
            this->nodes.push_back(std::move(node));
        }
        for (Node &node : this->nodes) {
            std::vector<std::string_view> others;
            for (const Node &other : this->nodes) {
                if (other.zone == node.zone && &other != &node)
                    others.push_back(other.id);
            }
            node.rank = rendezvousRank("head", node.id, others);
        }
    }

    void announce(std::uint64_t version)
    {
        std::uniform_int_distribution<int> delay(0, 1500);
        this->version = version;
        for (Node &node : this->nodes)
            node.hearsAt = this->now + Milliseconds(delay(this->random));
    }

    std::size_t holding() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(),
                          [&](const Node &node) { return node.held >= this->version; }));
    }

    void advance()
    {
        this->now += Milliseconds(10);
        this->platformPullsNow = 0;
        for (Node &node : this->nodes)
            this->finish(node);
        for (Node &node : this->nodes) {
            if (this->now >= node.hearsAt)
                node.plan->setTarget({this->version, 1, 1}, this->now);
            this->begin(node);
            this->mostServed = std::max(this->mostServed, node.admission->activeCount());
        }
    }

    Duration runUntilAllHold(Duration limit)
    {
        const Instant begin = this->now;
        while (this->now - begin < limit && this->holding() < this->nodes.size())
            this->advance();
        return this->now - begin;
    }

    std::vector<Node> nodes;
    Instant now = Instant(std::chrono::hours(1));
    std::uint64_t version = 0;
    bool platformDown = false;
    bool contentInvalid = false;
    std::size_t platformPulls = 0;
    std::size_t platformPullsNow = 0;
    std::size_t peerPulls = 0;
    std::uint32_t mostServed = 0;

private:
    std::vector<Holder> holders(const Node &asker)
    {
        std::vector<Holder> list;
        for (const Node &node : this->nodes) {
            if (node.held >= this->version && this->now >= node.toldAt && &node != &asker)
                list.push_back({node.id, "", node.zone == asker.zone});
        }
        return list;
    }

    void begin(Node &node)
    {
        if (node.plan->hasOpenPulls() || node.held >= this->version || this->now < node.hearsAt)
            return;
        const PullStep step = node.plan->next(this->now, node.held, node.rank, this->holders(node));
        if (step.source == PullSource::None)
            return;
        node.pull = step.number;
        node.pullEnds = this->now + Milliseconds(30);
        node.server = nullptr;
        if (step.source == PullSource::Platform) {
            ++this->platformPulls;
            ++this->platformPullsNow;
            return;
        }
        ++this->peerPulls;
        Node &server = this->nodes[std::stoul(step.holder.id.substr(1))];
        if (server.admission->begin())
            node.server = &server;
        else
            node.plan->failed(this->now, node.pull, PullFailure::Busy, server.admission->retryAfter());
    }

    void finish(Node &node)
    {
        if (!node.plan->hasOpenPulls() || this->now < node.pullEnds)
            return;
        if (node.server != nullptr)
            node.server->admission->end();
        const bool fromPlatform = node.server == nullptr;
        if (fromPlatform && this->platformDown) {
            node.plan->failed(this->now, node.pull, PullFailure::Unreachable, {});
            return;
        }
        if (this->contentInvalid) {
            node.plan->failed(this->now, node.pull, PullFailure::Invalid, {});
            return;
        }
        node.plan->succeeded(node.pull);
        node.held = this->version;
        node.toldAt = this->now + Milliseconds(200);
    }

    std::mt19937_64 random;
};

struct FleetRow
{
    std::size_t zones;
    std::size_t perZone;
    std::uint64_t held;
};

const FleetRow fleetRows[] = {{3, 1, 4}, {3, 3, 4}, {4, 60, 4}, {2, 260, 4}, {4, 60, 0}, {2, 260, 0}};

struct AgreedRow
{
    std::vector<std::uint64_t> held;
    std::uint64_t agreed;
};

const AgreedRow agreedRows[] = {{{}, 0},        {{0, 0}, 0},    {{7}, 7},
                                {{9, 7, 7}, 7}, {{9, 9, 7}, 9}, {{9, 0, 0}, 9}};

} // namespace

TABLE_TEST(spread, aFreshNodeTakesWhatTwoPeersHold, agreedRows)
{
    cr_assert(corroboratedVersion(row.held) == row.agreed);
}

Test(spread, ranksAreAgreedAndMoveLittle)
{
    std::vector<std::string> ids;
    for (int i = 0; i < 50; ++i)
        ids.push_back("n" + std::to_string(i));
    std::set<std::uint32_t> ranks;
    std::size_t moved = 0;
    for (const std::string &id : ids) {
        std::vector<std::string_view> others;
        for (const std::string &other : ids) {
            if (other != id)
                others.push_back(other);
        }
        const std::uint32_t rank = rendezvousRank("head#z1", id, others);
        ranks.insert(rank);
        std::erase(others, std::string_view("n7"));
        moved += rank - rendezvousRank("head#z1", id, others);
    }
    cr_assert(ranks.size() == 50);
    cr_assert(moved < 50, "a leaving node moves only those that rank after it, by one");
}

struct ReaderRow
{
    const char *what;
    std::vector<std::uint32_t> links; // Of the nodes of one zone, in Mbit/s.
    std::size_t wideReaders;          // Among the first three ranks.
    std::size_t narrowReaders;
};

const ReaderRow readerRows[] = {
    {"all alike", {100, 100, 100, 100, 100}, 3, 0},
    {"nobody tells", {0, 0, 0, 0, 0}, 3, 0},
    {"nearly alike", {100, 60, 90, 55}, 3, 0},
    {"two wide ones", {5, 5, 100, 5, 100, 5}, 2, 0},
    {"one wide one and no second", {5, 5, 100, 5, 5}, 1, 2},
    {"four wide ones", {5, 100, 100, 100, 100}, 3, 0},
    {"one does not tell", {0, 100, 100, 100}, 3, 0},
};

// A caller's request to a host with a link of 5 Mbit/s waits 270 ms behind the versions that this host reads
// for its zone. They are read by hosts whose link is wide, as long as two of them live; otherwise by anybody,
// since a zone that reads nothing stays behind. All nodes come to the same ranking.
TABLE_TEST(spread, wideLinksReadThePlatform, readerRows)
{
    const std::uint32_t widest = *std::ranges::max_element(row.links);
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < row.links.size(); ++i)
        ids.push_back("n" + std::to_string(i));
    std::set<std::uint32_t> ranks;
    std::size_t wide = 0;
    std::size_t narrow = 0;
    for (std::size_t self = 0; self < ids.size(); ++self) {
        std::vector<PlatformReader> others;
        for (std::size_t other = 0; other < ids.size(); ++other) {
            if (other != self)
                others.push_back({ids[other], row.links[other]});
        }
        const std::uint32_t rank = platformReaderRank("head#z1", {ids[self], row.links[self]}, others, 3);
        ranks.insert(rank);
        if (rank < 3)
            ++(2 * row.links[self] >= widest ? wide : narrow);
    }
    cr_assert(ranks.size() == ids.size(), "%s", row.what);
    cr_assert(wide == row.wideReaders && narrow == row.narrowReaders, "%s", row.what);
}

// 6,500 nodes in 25 zones read the head. Counted over ten minutes of their drawn delays, the table must see
// a small part of its two thousand reads a second.
Test(spread, headReadsOfTheWholeFleetAreBounded)
{
    double reads = 0;
    for (std::uint32_t node = 0; node < 6500; ++node) {
        HeadPoll poll({}, node);
        const HeadPoller self{node / 25, true};
        const Instant begin(std::chrono::hours(1));
        poll.start(begin, true);
        while (poll.wakeAt() - begin < minutes(10)) {
            const Instant now = poll.wakeAt();
            poll.answered(now, self, poll.next(now, self).begin->number, false);
            ++reads;
        }
    }
    const double perSecond = reads / 600;
    cr_assert(perSecond > 100 && perSecond < 200, "%f reads a second", perSecond);
}

// A version reaches every node of a fleet, whether all hold its base or all are fresh. Callers wait for the
// change; the platform must not be asked by more than the zones' pollers, and no peer may serve more than
// its limit.
TABLE_TEST(spread, aVersionReachesAllWithoutAStorm, fleetRows)
{
    FakeFleet fleet(row.zones, row.perZone, 5);
    for (auto &node : fleet.nodes)
        node.held = row.held;
    fleet.announce(5);
    const Duration took = fleet.runUntilAllHold(minutes(1));
    cr_assert(took < seconds(7), "took longer than 7 s");
    cr_assert(fleet.platformPulls <= row.zones * 2, "%zu pulls from the platform", fleet.platformPulls);
    cr_assert(fleet.mostServed <= 8);
    cr_assert(fleet.peerPulls <= fleet.nodes.size() * 3, "%zu pulls from peers", fleet.peerPulls);
}

// A zone of 260 lost power and comes back at once with nothing, while the other zone holds the version. The
// platform must not be asked for 260 whole sites; the first nodes get it from the other zone, the rest from
// those.
Test(spread, aZoneThatReturnsDoesNotStormThePlatform)
{
    FakeFleet fleet(2, 260, 6);
    fleet.announce(5);
    for (auto &node : fleet.nodes) {
        if (node.zone == 0)
            node.held = 5;
    }
    cr_assert(fleet.runUntilAllHold(minutes(1)) < seconds(7));
    cr_assert(fleet.platformPulls == 0, "%zu pulls from the platform", fleet.platformPulls);
    cr_assert(fleet.mostServed <= 8);
}

// The platform is down while nobody holds the version. The nodes must go on with what they hold and ask ever
// less often; nobody hears of a storm when the platform is back, and then all get the version.
Test(spread, anOutageOfThePlatformIsWaitedOut)
{
    FakeFleet fleet(4, 60, 7);
    fleet.platformDown = true;
    fleet.announce(5);
    std::size_t most = 0;
    for (const Instant end = fleet.now + minutes(5); fleet.now < end;) {
        fleet.advance();
        most = std::max(most, fleet.platformPullsNow);
    }
    cr_assert(fleet.holding() == 0);
    cr_assert(most <= 8, "%zu pulls in ten milliseconds", most);
    fleet.platformDown = false;
    cr_assert(fleet.runUntilAllHold(minutes(2)) < seconds(30));
}

// A version was accepted whose content does not check at the nodes. Callers go on with the held version; no
// node may ask for the bad one again and again, neither at peers nor at the platform.
Test(spread, aBadVersionIsNotPulledAgainAndAgain)
{
    FakeFleet fleet(3, 20, 8);
    fleet.contentInvalid = true;
    fleet.announce(5);
    for (const Instant end = fleet.now + minutes(10); fleet.now < end;)
        fleet.advance();
    cr_assert(fleet.platformPulls <= fleet.nodes.size(), "%zu pulls", fleet.platformPulls);
    cr_assert(fleet.holding() == 0);
    fleet.contentInvalid = false;
    fleet.announce(6);
    cr_assert(fleet.runUntilAllHold(minutes(1)) < seconds(7), "the next good version was not taken");
}

// One peer's copy is damaged. The node must not call the version bad for everyone because of it: it asks the
// platform, whose copy decides.
Test(spread, aDamagedCopyOfAPeerIsNotTheVersionsFault)
{
    PullPlan plan({}, 9);
    Instant now(std::chrono::hours(1));
    plan.setTarget({5, 1, 1}, now);
    const std::vector<Holder> holders = {{"n1", "", true}};
    const PullStep fromPeer = plan.next(now, 4, 40, holders);
    cr_assert(fromPeer.source == PullSource::ZonePeer);
    plan.failed(now, fromPeer.number, PullFailure::Invalid, {});
    cr_assert(!plan.isRejected({5, 1, 1}));
    now += minutes(1);
    const PullStep fromPlatform = plan.next(now, 4, 40, holders);
    cr_assert(fromPlatform.source == PullSource::Platform);
    plan.failed(now, fromPlatform.number, PullFailure::Invalid, {});
    cr_assert(plan.isRejected({5, 1, 1}));
}

Test(spread, neverBack)
{
    PullPlan plan({}, 10);
    const Instant now(std::chrono::hours(1));
    plan.setTarget({5, 1, 1}, now);
    plan.setTarget({4, 2, 2}, now);
    cr_assert(plan.targetVersion().version == 5);
    cr_assert(plan.next(now, 5, 0, {}).source == PullSource::None);
}

// A host is replaced while the platform is out; the newest version was accepted but nobody could read it. The
// new node must serve with the version that its peers hold, and take the newest when it appears.
Test(spread, aFreshNodeSettlesForAnOlderVersionAndThenMovesOn)
{
    PullPlan plan({}, 11);
    const Instant now(std::chrono::hours(1));
    plan.setTarget({9, 1, 1}, now);
    plan.setInterimTarget({8, 0, 0}, now);
    cr_assert(plan.targetVersion().version == 8);
    const PullStep step = plan.next(now, 0, 40, {{"n1", "", true}});
    cr_assert(step.source == PullSource::ZonePeer);
    plan.setTarget({9, 1, 1}, now);
    cr_assert(plan.targetVersion().version == 8);
    cr_assert(plan.succeeded(step.number));
    cr_assert(plan.targetVersion().version == 9);
}
