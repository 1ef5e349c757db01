// Distribution of versions in a fleet: poller ranks, choice of pull sources, and load on the platform and
// peers.
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

// Nodes of several zones that pull one version, in simulated time: each pull takes a while, peers limit their
// concurrent pulls, and a node's new version is known to all others after a delay, as with gossip.
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
        Instant holderKnownAt{}; // When the other nodes learn that it holds the version.
        Instant pullEnds{};      // Of the open pull.
        Node *server = nullptr;
        std::uint64_t pull = 0; // Number of the open pull.
        bool knowsTarget = false;
        Instant learnsTargetAt{};
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

    void publish(std::uint64_t version)
    {
        std::uniform_int_distribution<int> delay(0, 1500);
        this->version = version;
        for (Node &node : this->nodes)
            node.learnsTargetAt = this->now + Milliseconds(delay(this->random));
    }

    std::size_t holderCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(), this->nodes.end(),
                          [&](const Node &node) { return node.held >= this->version; }));
    }

    void advance()
    {
        this->now += Milliseconds(10);
        this->platformPullsInStep = 0;
        for (Node &node : this->nodes)
            this->finish(node);
        for (Node &node : this->nodes) {
            if (this->now >= node.learnsTargetAt)
                node.plan->setTarget({this->version, 1, 1}, this->now);
            this->begin(node);
            this->maximumServed = std::max(this->maximumServed, node.admission->activeCount());
        }
    }

    Duration runUntilAllHold(Duration limit)
    {
        const Instant begin = this->now;
        while (this->now - begin < limit && this->holderCount() < this->nodes.size())
            this->advance();
        return this->now - begin;
    }

    std::vector<Node> nodes;
    Instant now = Instant(std::chrono::hours(1));
    std::uint64_t version = 0;
    bool platformDown = false;
    bool contentInvalid = false;
    std::size_t platformPulls = 0;
    std::size_t platformPullsInStep = 0;
    std::size_t peerPulls = 0;
    std::uint32_t maximumServed = 0;

private:
    std::vector<Holder> holders(const Node &puller)
    {
        std::vector<Holder> list;
        for (const Node &node : this->nodes) {
            if (node.held >= this->version && this->now >= node.holderKnownAt && &node != &puller)
                list.push_back({node.id, "", node.zone == puller.zone});
        }
        return list;
    }

    void begin(Node &node)
    {
        if (node.plan->hasOpenPulls() || node.held >= this->version || this->now < node.learnsTargetAt)
            return;
        const PullStep step = node.plan->next(this->now, node.held, node.rank, this->holders(node));
        if (step.source == PullSource::None)
            return;
        node.pull = step.number;
        node.pullEnds = this->now + Milliseconds(30);
        node.server = nullptr;
        if (step.source == PullSource::Platform) {
            ++this->platformPulls;
            ++this->platformPullsInStep;
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
        node.holderKnownAt = this->now + Milliseconds(200);
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

struct CorroborationRow
{
    std::vector<std::uint64_t> held;
    std::uint64_t expected;
};

const CorroborationRow corroborationRows[] = {{{}, 0},        {{0, 0}, 0},    {{7}, 7},
                                              {{9, 7, 7}, 7}, {{9, 9, 7}, 9}, {{9, 0, 0}, 9}};

} // namespace

TABLE_TEST(spread, corroboratedVersionNeedsTwoHolders, corroborationRows)
{
    cr_assert(corroboratedVersion(row.held) == row.expected);
}

Test(spread, ranksAreUniqueAndStable)
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
    cr_assert(moved < 50, "a leaving node must move only those that rank after it, by one");
}

struct ReaderRow
{
    const char *what;
    std::vector<std::uint32_t> links; // Of a zone's nodes, in Mbit/s; 0: unknown.
    std::size_t fastReaders;          // Among the first three ranks.
    std::size_t slowReaders;
};

const ReaderRow readerRows[] = {
    {"equal links", {100, 100, 100, 100, 100}, 3, 0}, {"all links unknown", {0, 0, 0, 0, 0}, 3, 0},
    {"similar links", {100, 60, 90, 55}, 3, 0},       {"two fast links", {5, 5, 100, 5, 100, 5}, 2, 0},
    {"one fast link", {5, 5, 100, 5, 5}, 1, 2},       {"four fast links", {5, 100, 100, 100, 100}, 3, 0},
    {"one link unknown", {0, 100, 100, 100}, 3, 0},
};

// Guards against calls to a host with a 5 Mbit/s link that wait 270 ms behind the versions it reads for its
// zone. Hosts with fast links read them while two such hosts are present; otherwise any host does, since the
// zone would fall behind. All nodes must compute the same ranking.
TABLE_TEST(spread, fastLinksReadFromPlatform, readerRows)
{
    const std::uint32_t maximumMbps = *std::ranges::max_element(row.links);
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < row.links.size(); ++i)
        ids.push_back("n" + std::to_string(i));
    std::set<std::uint32_t> ranks;
    std::size_t fast = 0;
    std::size_t slow = 0;
    for (std::size_t self = 0; self < ids.size(); ++self) {
        std::vector<PlatformReader> others;
        for (std::size_t other = 0; other < ids.size(); ++other) {
            if (other != self)
                others.push_back({ids[other], row.links[other]});
        }
        const std::uint32_t rank = platformReaderRank("head#z1", {ids[self], row.links[self]}, others, 3);
        ranks.insert(rank);
        if (rank < 3)
            ++(2 * row.links[self] >= maximumMbps ? fast : slow);
    }
    cr_assert(ranks.size() == ids.size(), "%s", row.what);
    cr_assert(fast == row.fastReaders && slow == row.slowReaders, "%s", row.what);
}

// The head reads of 6,500 nodes in 25 zones, over ten minutes, must use only a small part of the two thousand
// reads per second that the table offers.
Test(spread, headReadRateOfFleetIsBounded)
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

// A version must reach every node quickly, whether all hold an older one or none, while only the pollers of
// each zone ask the platform and no peer exceeds its limit of concurrent pulls.
TABLE_TEST(spread, versionReachesAllNodesWithoutOverload, fleetRows)
{
    FakeFleet fleet(row.zones, row.perZone, 5);
    for (auto &node : fleet.nodes)
        node.held = row.held;
    fleet.publish(5);
    const Duration elapsed = fleet.runUntilAllHold(minutes(1));
    cr_assert(elapsed < seconds(7), "took longer than 7 s");
    cr_assert(fleet.platformPulls <= row.zones * 2, "%zu pulls from the platform", fleet.platformPulls);
    cr_assert(fleet.maximumServed <= 8);
    cr_assert(fleet.peerPulls <= fleet.nodes.size() * 3, "%zu pulls from peers", fleet.peerPulls);
}

// A zone of 260 nodes restarts without any version while the other zone holds it. The first nodes must pull
// from the other zone and the rest from them, instead of 260 full sites from the platform.
Test(spread, returningZoneDoesNotOverloadPlatform)
{
    FakeFleet fleet(2, 260, 6);
    fleet.publish(5);
    for (auto &node : fleet.nodes) {
        if (node.zone == 0)
            node.held = 5;
    }
    cr_assert(fleet.runUntilAllHold(minutes(1)) < seconds(7));
    cr_assert(fleet.platformPulls == 0, "%zu pulls from the platform", fleet.platformPulls);
    cr_assert(fleet.maximumServed <= 8);
}

// While the platform is down and no node holds the version, retries must back off. When the platform returns,
// all nodes must get the version.
Test(spread, platformOutageBacksOffAndRecovers)
{
    FakeFleet fleet(4, 60, 7);
    fleet.platformDown = true;
    fleet.publish(5);
    std::size_t maximumPulls = 0;
    for (const Instant end = fleet.now + minutes(5); fleet.now < end;) {
        fleet.advance();
        maximumPulls = std::max(maximumPulls, fleet.platformPullsInStep);
    }
    cr_assert(fleet.holderCount() == 0);
    cr_assert(maximumPulls <= 8, "%zu pulls in ten milliseconds", maximumPulls);
    fleet.platformDown = false;
    cr_assert(fleet.runUntilAllHold(minutes(2)) < seconds(30));
}

// An accepted version whose content fails validation at the nodes must not be pulled again and again, neither
// from peers nor from the platform. The next valid version must be pulled as usual.
Test(spread, invalidVersionIsNotPulledRepeatedly)
{
    FakeFleet fleet(3, 20, 8);
    fleet.contentInvalid = true;
    fleet.publish(5);
    for (const Instant end = fleet.now + minutes(10); fleet.now < end;)
        fleet.advance();
    cr_assert(fleet.platformPulls <= fleet.nodes.size(), "%zu pulls", fleet.platformPulls);
    cr_assert(fleet.holderCount() == 0);
    fleet.contentInvalid = false;
    fleet.publish(6);
    cr_assert(fleet.runUntilAllHold(minutes(1)) < seconds(7), "the next valid version was not pulled");
}

// A damaged copy of one peer must not mark the version as invalid: the node pulls it from the platform, whose
// copy decides.
Test(spread, damagedPeerCopyDoesNotRejectVersion)
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

Test(spread, targetNeverDecreases)
{
    PullPlan plan({}, 10);
    const Instant now(std::chrono::hours(1));
    plan.setTarget({5, 1, 1}, now);
    plan.setTarget({4, 2, 2}, now);
    cr_assert(plan.targetVersion().version == 5);
    cr_assert(plan.next(now, 5, 0, {}).source == PullSource::None);
}

// A host is replaced while the platform is down and no node holds the newest accepted version. The new node
// must serve with the version that its peers hold, and pull the newest once it is available.
Test(spread, newNodePullsInterimVersionFirst)
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
