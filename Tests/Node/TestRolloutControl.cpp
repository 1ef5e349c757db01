// Tests the part of nodes in a roll-out: several nodes in one process that exchange bulletins and reports
// through memory, with a store that may be away.
#include <Node/Rollout/RolloutControl.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <deque>

using namespace Sagecrank;

namespace {

constexpr const char *cluster = "booking";
constexpr std::uint64_t route = 11;

class FakeStore
{
public:
    Result<RolloutStage> record(const RolloutOrder &order, RolloutStage stage)
    {
        if (this->isAway)
            return makeError(ErrorKind::Timeout, "write row", "store", "no answer");
        if (order.sequence != this->sequence)
            return makeError(ErrorKind::Conflict, "write row", "store", "the order changed");
        ++this->writes;
        if (!this->end && isRecordedEnd(stage))
            this->end = stage;
        return this->end.value_or(RolloutStage::Probing);
    }

    bool isAway = false;
    std::uint64_t sequence = 0; // Of the order that stands.
    std::optional<RolloutStage> end;
    int writes = 0;
};

class FakeMesh;

class FakeNode
{
public:
    FakeNode(FakeMesh &mesh, std::string id, std::string version);

    RolloutHooks hooks();
    Member member() const;

    FakeMesh &mesh;
    const std::string id;
    UpstreamAnnouncement upstream;
    UpstreamUse use = UpstreamUse::Serving;
    bool idle = true;
    bool running = true;
    RolloutOrderListener orderListener;
    EventLog log;
    std::unique_ptr<RolloutControl> control;
};

class FakeMesh
{
public:
    FakeMesh(std::size_t established, std::size_t target)
    {
        for (std::size_t index = 0; index < established + target; ++index)
            this->nodes.push_back(std::make_unique<FakeNode>(*this, "host-" + std::to_string(index),
                                                             index < established ? "v1" : "v2"));
        this->now += std::chrono::seconds(3); // They do not judge right after their start.
        this->shareMembers();
    }

    void order(std::uint64_t sequence, const std::string &target = "v2")
    {
        this->store.sequence = sequence;
        this->store.end.reset();
        this->nodes.front()->orderListener(
            RolloutOrderChange{cluster, RolloutOrder{cluster, target, std::chrono::seconds(12), sequence}});
        this->deliver();
    }

    // Plays calls at all upstreams; those of the target fail as stated.
    void play(Duration duration, std::uint32_t targetFailuresOfTen)
    {
        for (const Instant end = this->now + duration; this->now < end; this->now += Milliseconds(100)) {
            for (const auto &node : this->nodes) {
                if (!node->running)
                    continue;
                for (std::uint32_t call = 0; call < 10; ++call)
                    node->control->recordOutcome(
                        {route, node->upstream.version == "v2" && call < targetFailuresOfTen,
                         Milliseconds(100)});
                node->control->advance(this->now);
            }
            this->deliver();
            this->shareMembers();
        }
    }

    void shareMembers()
    {
        std::vector<Member> members;
        for (const auto &node : this->nodes)
            members.push_back(node->member());
        for (const auto &node : this->nodes)
            node->control->membersChanged(members);
    }

    UpstreamTraffic trafficTo(const std::string &version, std::size_t asSeenBy = 0) const
    {
        UpstreamTraffic most = UpstreamTraffic::None;
        for (const auto &node : this->nodes) {
            if (node->upstream.version == version)
                most = std::max(most, this->nodes[asSeenBy]->control->trafficFor(node->member()));
        }
        return most;
    }

    FakeNode *judge(std::size_t rank) const
    {
        std::vector<std::string> ids;
        for (const auto &node : this->nodes) {
            if (node->running)
                ids.push_back(node->id);
        }
        const RolloutOrder order{cluster, "v2", std::chrono::seconds(12), this->store.sequence};
        const std::string id = selectForRole(order, RolloutRole::Judge, ids, judgesPerRollout)[rank];
        return std::ranges::find(this->nodes, id, [](const auto &node) { return node->id; })->get();
    }

    void deliver()
    {
        while (!this->messages.empty()) {
            const auto message = std::move(this->messages.front());
            this->messages.pop_front();
            message();
        }
    }

    FakeStore store;
    Instant now = Instant() + std::chrono::hours(1);
    std::deque<std::function<void()>> messages;
    std::vector<std::unique_ptr<FakeNode>> nodes;
};

FakeNode::FakeNode(FakeMesh &mesh, std::string id, std::string version)
    : mesh(mesh)
    , id(std::move(id))
    , log(this->id, {}, [](LogLevel, const std::string &) {})
{
    this->upstream.cluster = cluster;
    this->upstream.version = std::move(version);
    this->upstream.instance = "instance-of-" + this->id;
    this->upstream.condition = UpstreamCondition::Ready;
    RolloutPort port;
    port.setOrderListener = [this](RolloutOrderListener listener) {
        this->orderListener = std::move(listener);
    };
    port.record = [this](const RolloutOrder &order, RolloutStage stage,
                         const RolloutStageCallback &callback) {
        this->mesh.messages.push_back(
            [this, order, stage, callback] { callback(this->mesh.store.record(order, stage)); });
    };
    this->control =
        std::make_unique<RolloutControl>(RolloutSettings{this->id, 0.1}, port, this->hooks(), this->log);
    this->control->start();
}

RolloutHooks FakeNode::hooks()
{
    RolloutHooks made;
    made.now = [this] { return this->mesh.now; };
    made.announce = [this](const Bulletin &bulletin) {
        this->mesh.messages.push_back([this, bulletin] {
            for (const auto &node : this->mesh.nodes) {
                if (node.get() != this && node->running)
                    node->control->bulletinReceived(this->mesh.now, bulletin);
            }
        });
    };
    made.sendReport = [this](const std::string &receiver, const std::string &report) {
        this->mesh.messages.push_back([this, receiver, report] {
            for (const auto &node : this->mesh.nodes) {
                if (node->id == receiver && node->running)
                    node->control->reportReceived(this->mesh.now, this->id, report);
            }
        });
    };
    made.versionsChanged = [] {};
    made.useUpstream = [this](UpstreamUse next) { this->use = next; };
    made.upstream = [this] { return this->upstream; };
    made.upstreamIdle = [this] { return this->idle; };
    return made;
}

Member FakeNode::member() const
{
    Member member;
    member.id = this->id;
    member.state = this->running ? MemberState::Alive : MemberState::Dead;
    member.cluster = cluster;
    member.version = this->upstream.version;
    member.slots = 6;
    member.upstream = UpstreamState::Ready;
    if (this->use == UpstreamUse::Finishing)
        member.upstream = UpstreamState::Draining;
    if (this->use == UpstreamUse::Finished)
        member.upstream = UpstreamState::Gone;
    return member;
}

constexpr Duration wholeOrder = std::chrono::seconds(13);

} // namespace

Test(rolloutControl, targetGetsNothingBeforeItsOrderIsKnown)
{
    const FakeMesh mesh(6, 6);
    cr_assert(mesh.trafficTo("v1") == UpstreamTraffic::Full);
    cr_assert(mesh.trafficTo("v2") == UpstreamTraffic::None);
}

Test(rolloutControl, goodVersionIsCompletedInTime)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    cr_assert(mesh.trafficTo("v2", 3) == UpstreamTraffic::Trial);
    cr_assert(mesh.nodes[3]->control->trialShare(cluster) <= 0.1);
    mesh.play(std::chrono::seconds(12), 0);
    cr_assert(mesh.store.end == RolloutStage::Completed);
    cr_assert(mesh.trafficTo("v1", 3) == UpstreamTraffic::None);
    cr_assert(mesh.trafficTo("v2", 3) == UpstreamTraffic::Full);
}

Test(rolloutControl, badVersionIsRolledBackEverywhere)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    mesh.play(std::chrono::seconds(4), 5);
    cr_assert(mesh.store.end == RolloutStage::RolledBack);
    for (std::size_t index = 0; index < mesh.nodes.size(); ++index) {
        cr_assert(mesh.trafficTo("v1", index) == UpstreamTraffic::Full);
        cr_assert(mesh.trafficTo("v2", index) == UpstreamTraffic::None);
        const bool isTarget = mesh.nodes[index]->upstream.version == "v2";
        cr_assert(mesh.nodes[index]->use == (isTarget ? UpstreamUse::Finishing : UpstreamUse::Serving));
    }
}

// The platform stops the old upstreams at once when a roll-out is recorded as completed, so none of them may
// still run a call then.
Test(rolloutControl, completionWaitsForCallsOfTheOldVersion)
{
    FakeMesh mesh(6, 6);
    mesh.nodes[2]->idle = false;
    mesh.order(7);
    mesh.play(std::chrono::seconds(12), 0);
    cr_assert(mesh.nodes[2]->use == UpstreamUse::Finishing);
    cr_assert(!mesh.store.end);
    mesh.nodes[2]->idle = true;
    mesh.play(std::chrono::seconds(2), 0);
    cr_assert(mesh.store.end == RolloutStage::Completed);
}

// The store is away when the verdict is reached. The target must get no calls meanwhile, and the verdict must
// be recorded once the store answers.
Test(rolloutControl, verdictHoldsWhileTheStoreIsAway)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    mesh.store.isAway = true;
    mesh.play(std::chrono::seconds(6), 5);
    cr_assert(!mesh.store.end);
    cr_assert(mesh.trafficTo("v2", 4) == UpstreamTraffic::None);
    mesh.store.isAway = false;
    mesh.play(std::chrono::seconds(2), 0);
    cr_assert(mesh.store.end == RolloutStage::RolledBack);
}

// The judges that would act first die.
Test(rolloutControl, judgesThatDieAreReplaced)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    mesh.play(Milliseconds(500), 0);
    for (int dead = 0; dead < 3; ++dead) {
        mesh.judge(0)->running = false;
        mesh.play(Milliseconds(200), 5);
    }
    mesh.play(std::chrono::seconds(5), 5);
    cr_assert(mesh.store.end == RolloutStage::RolledBack);
}

// The operator replaces the order by one for another version while it runs.
Test(rolloutControl, newOrderReplacesARunningOne)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    mesh.play(std::chrono::seconds(2), 0);
    mesh.order(8, "v3");
    cr_assert(mesh.trafficTo("v1", 5) == UpstreamTraffic::Full);
    cr_assert(mesh.trafficTo("v2", 5) == UpstreamTraffic::None);
}

// Nobody announces the version that is asked for.
Test(rolloutControl, versionThatNobodyAnnouncesIsRolledBackAtTheDeadline)
{
    FakeMesh mesh(6, 0);
    mesh.order(7);
    mesh.play(std::chrono::seconds(11), 0);
    cr_assert(!mesh.store.end);
    mesh.play(std::chrono::seconds(3), 0);
    cr_assert(mesh.store.end == RolloutStage::RolledBack);
    cr_assert(mesh.trafficTo("v1") == UpstreamTraffic::Full);
}

Test(rolloutControl, withdrawnOrderIsRolledBack)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    mesh.play(std::chrono::seconds(3), 0);
    mesh.nodes[1]->orderListener(RolloutOrderChange{cluster, std::nullopt});
    mesh.deliver();
    cr_assert(mesh.trafficTo("v2", 5) == UpstreamTraffic::None);
}

// All nodes lose power after the verdict and read the order again. They learn from the store that it is over.
Test(rolloutControl, restartedNodesLearnOfTheRecordedEnd)
{
    FakeMesh mesh(6, 6);
    mesh.store.sequence = 7;
    mesh.store.end = RolloutStage::RolledBack;
    for (const auto &node : mesh.nodes)
        node->orderListener(
            RolloutOrderChange{cluster, RolloutOrder{cluster, "v2", std::chrono::seconds(12), 7}});
    mesh.play(Milliseconds(400), 0);
    for (std::size_t index = 0; index < mesh.nodes.size(); ++index)
        cr_assert(mesh.trafficTo("v2", index) == UpstreamTraffic::None);
}

// A host whose upstream was rolled back gets one of the established version. Its gate must not stay closed
// when the roll-out is forgotten, and the bad version must stay without calls.
Test(rolloutControl, gateOpensWhenTheRollOutIsForgotten)
{
    FakeMesh mesh(6, 6);
    mesh.order(7);
    mesh.play(std::chrono::seconds(4), 5);
    cr_assert(mesh.store.end == RolloutStage::RolledBack);
    mesh.nodes[11]->upstream.version = "v1";
    mesh.play(Milliseconds(200), 0);
    cr_assert(mesh.nodes[11]->use == UpstreamUse::Serving);
    mesh.play(std::chrono::seconds(61), 0);
    for (const auto &node : mesh.nodes)
        cr_assert(node->use == UpstreamUse::Serving);
    cr_assert(mesh.trafficTo("v2", 3) == UpstreamTraffic::None);
}

// An order that cannot be read changes nothing.
Test(rolloutControl, invalidOrderIsIgnored)
{
    FakeMesh mesh(6, 6);
    mesh.nodes[0]->orderListener(makeError(ErrorKind::InvalidInput, "read order", "booking", "garbage"));
    mesh.nodes[0]->control->bulletinReceived(mesh.now, {"rollout/booking", 9, 1, 60, "garbage"});
    mesh.nodes[0]->control->reportReceived(mesh.now, "host-1", "garbage");
    mesh.play(wholeOrder, 0);
    cr_assert(mesh.store.writes == 0);
    cr_assert(mesh.trafficTo("v1") == UpstreamTraffic::Full);
}
