// The allowance of an account over all nodes, played with many granting and asking nodes on a simulated
// network: the bound holds under loss, kills, restarts and partitions, and what is allowed can be used.
#include <LibAccount/AllowanceClient.h>
#include <LibAccount/AllowanceGranter.h>
#include <LibAccount/AllowancePlacement.h>

#include <Support/TableTest.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1000s;
constexpr Duration step = 2ms;

struct FleetRow
{
    const char *what;
    std::uint32_t nodes;
    double rate;
    double burst;
    double demand; // Of the rate.
    double loss = 0;
    Duration killEvery = 0s;    // One node each time, back after 1 s.
    Duration restartEvery = 0s; // One node each time, which leaves first.
    bool partition = false;     // A third of the nodes from 10 s to 20 s.
    double usable = 0;          // Least part of what is allowed, or asked for, that must be granted.
};

const FleetRow fleets[] = {
    {"a small account below its allowance", 59, 10, 10, 0.7, 0, 0s, 0s, false, 0.97},
    {"a large account below its allowance", 59, 385, 385, 0.7, 0, 0s, 0s, false, 0.97},
    {"a small account at eight times its allowance", 59, 10, 10, 8, 0, 0s, 0s, false, 0.97},
    {"a large account at eight times its allowance", 59, 385, 385, 8, 0, 0s, 0s, false, 0.97},
    {"on 12 nodes", 12, 100, 50, 5, 0, 0s, 0s, false, 0.97},
    {"on 300 nodes", 300, 100, 100, 3, 0, 0s, 0s, false, 0.97},
    {"with a tenth of the datagrams lost", 59, 100, 100, 4, 0.1, 0s, 0s, false, 0.9},
    {"while nodes are killed", 59, 100, 100, 4, 0, 3s, 0s, false, 0.9},
    {"while nodes restart in turn", 59, 100, 100, 4, 0, 0s, 500ms, false, 0.9},
    {"while a third is cut off", 59, 100, 100, 4, 0, 0s, 0s, true, 0.9},
    {"a small account while a third is cut off", 59, 10, 10, 8, 0, 0s, 0s, true, 0.8},
};

// SAGECRANK_ALLOWANCE_SEEDS plays more of them.
std::uint32_t seedsPerFleet()
{
    const char *wanted = std::getenv("SAGECRANK_ALLOWANCE_SEEDS");
    return wanted == nullptr ? 20 : static_cast<std::uint32_t>(std::atoi(wanted));
}

constexpr Duration suspicionTime = 5s;
const AccountHash account = hashAccount("tours");
constexpr AllowanceBounds bounds{};

// Nodes that learn of each other at once, and of a killed one after a suspicion of 5 s.
class Fleet
{
public:
    Fleet(const FleetRow &row, std::uint32_t seed)
        : row(row)
        , random(seed)
    {
        for (std::uint32_t index = 0; index < row.nodes; ++index) {
            this->nodes.emplace_back();
            this->boot(index);
        }
        this->announce();
    }

    void run(Duration length)
    {
        const Instant end = start + length;
        for (this->now = start; this->now < end; this->now += step) {
            this->disturb();
            this->deliver();
            this->call();
            for (Node &node : this->nodes) {
                if (node.isUp)
                    this->decide(node, [&](auto &decided) { node.client->advance(this->now, decided); });
            }
        }
    }

    // The most calls that ran in any window, and all of them.
    std::uint64_t mostInWindow() const
    {
        std::uint64_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->runs.size(); ++last) {
            while (this->runs[last] - this->runs[first] > bounds.window)
                ++first;
            most = std::max<std::uint64_t>(most, last - first + 1);
        }
        return most;
    }
    std::uint64_t total() const { return this->runs.size(); }
    std::uint64_t asked = 0;
    std::uint64_t primaryKills = 0;

private:
    struct Node
    {
        std::unique_ptr<AllowancePlacement> placement;
        std::unique_ptr<AllowanceGranter> granter;
        std::unique_ptr<AllowanceClient> client;
        bool isUp = true;
        bool knownDead = false;
        bool hasLeft = false;
        Instant changedAt = start;
        Instant backAt{};
    };

    struct Datagram
    {
        Instant at;
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        AllowanceMessage message;
    };

    static std::string nameOf(std::uint32_t index) { return "n" + std::to_string(index); }

    void boot(std::uint32_t index)
    {
        Node &node = this->nodes[index];
        // The first processes started well before the load, as long as a zone takes to start.
        const Instant bootedAt = this->now == Instant{} ? start - 10s : this->now;
        node.placement = std::make_unique<AllowancePlacement>(nameOf(index), bootedAt);
        node.granter = std::make_unique<AllowanceGranter>(bounds, *node.placement);
        node.granter->setAccounts({{"tours", {}, 1, this->row.rate, this->row.burst}});
        node.client = std::make_unique<AllowanceClient>(AllowanceClientHooks{
            [this, index](const AllowanceRequest &request) { return this->ask(index, request); }});
        node.isUp = true;
        node.hasLeft = false;
        node.knownDead = false;
    }

    // A third of the nodes is on the other side.
    bool isCut(std::uint32_t one, std::uint32_t other) const
    {
        const bool active = this->row.partition && this->now >= start + 10s && this->now < start + 20s;
        return active && (one % 3 == 0) != (other % 3 == 0);
    }

    bool sees(std::uint32_t one, std::uint32_t other) const
    {
        const bool cutForLong =
            this->now >= start + 15s && this->now < start + 20s && this->isCut(one, other);
        return !this->nodes[other].knownDead && !this->nodes[other].hasLeft && !cutForLong;
    }

    void announce()
    {
        for (std::uint32_t index = 0; index < this->nodes.size(); ++index) {
            std::vector<PlacementMember> members;
            for (std::uint32_t other = 0; other < this->nodes.size(); ++other)
                members.push_back({nameOf(other), std::to_string(other), this->sees(index, other),
                                   this->nodes[other].hasLeft});
            this->nodes[index].placement->setMembers(this->now, members);
        }
    }

    void disturb()
    {
        bool changed = false;
        const auto isDue = [this](Duration every) {
            return every > 0s && (this->now - start) % every < step && this->now - start >= every;
        };
        if (isDue(this->row.killEvery) || isDue(this->row.restartEvery)) {
            Node &node = this->nodes[this->random() % this->nodes.size()];
            if (node.isUp) {
                node.isUp = false;
                node.hasLeft = this->row.restartEvery > 0s;
                const GranterNode *primary = node.placement->granter(account, GranterRole::Primary);
                this->primaryKills += !node.hasLeft && primary->isSelf ? 1 : 0;
                node.changedAt = this->now;
                node.backAt = this->now + (node.hasLeft ? 1s : 7s);
                changed = node.hasLeft;
            }
        }
        for (std::uint32_t index = 0; index < this->nodes.size(); ++index) {
            Node &node = this->nodes[index];
            if (!node.isUp && this->now >= node.backAt) {
                this->boot(index);
                changed = true;
            } else if (!node.isUp && !node.hasLeft && !node.knownDead
                       && this->now - node.changedAt > suspicionTime) {
                node.knownDead = true;
                changed = true;
            }
        }
        const Duration since = this->now - start;
        const bool partitionSeen = this->row.partition && (since - 15s < step && since >= 15s);
        const bool healed = this->row.partition && (since - 20s < step && since >= 20s);
        if (changed || partitionSeen || healed)
            this->announce();
    }

    void send(std::uint32_t from, std::uint32_t to, const AllowanceMessage &message)
    {
        const bool lost = std::uniform_real_distribution<>(0, 1)(this->random) < this->row.loss;
        if (!lost && !this->isCut(from, to))
            this->travelling.push_back({this->now + 1ms, from, to, message});
    }

    std::optional<AllowanceGrant> ask(std::uint32_t from, const AllowanceRequest &request)
    {
        const GranterNode *node = this->nodes[from].placement->granter(request.account, request.role);
        if (node == nullptr)
            return AllowanceGrant{request.requestId, GrantResult::NotResponsible, 0, 0};
        if (node->isSelf)
            return this->nodes[from].granter->grant(this->now, request);
        this->send(from, static_cast<std::uint32_t>(std::stoul(node->address)), request);
        return std::nullopt;
    }

    void deliver()
    {
        std::deque<Datagram> due;
        std::swap(due, this->travelling);
        for (const Datagram &datagram : due) {
            Node &node = this->nodes[datagram.to];
            if (datagram.at > this->now)
                this->travelling.push_back(datagram);
            else if (!node.isUp)
                continue;
            else if (const auto *request = std::get_if<AllowanceRequest>(&datagram.message))
                this->send(datagram.to, datagram.from, node.granter->grant(this->now, *request));
            else
                this->decide(node, [&](auto &decided) {
                    node.client->answered(this->now, std::get<AllowanceGrant>(datagram.message), decided);
                });
        }
    }

    template <typename Action>
    void decide(Node &, Action action)
    {
        AllowanceClient::Completions decided;
        action(decided);
        for (const AllowanceClient::Completion &completion : decided)
            completion.callback(completion.decision);
    }

    void call()
    {
        const double perStep =
            this->row.rate * this->row.demand * std::chrono::duration<double>(step).count();
        const int calls = std::poisson_distribution<int>(perStep)(this->random);
        for (int i = 0; i < calls; ++i) {
            Node &node = this->nodes[this->random() % this->nodes.size()];
            if (!node.isUp)
                continue;
            ++this->asked;
            this->decide(node, [&](auto &decided) {
                node.client->acquire(
                    this->now, account,
                    [this](const AllowanceDecision &decision) {
                        if (decision.verdict == AllowanceVerdict::Granted)
                            this->runs.push_back(this->now);
                    },
                    decided);
            });
        }
    }

    const FleetRow &row;
    std::mt19937 random;
    Instant now{};
    std::vector<Node> nodes;
    std::deque<Datagram> travelling;
    std::vector<Instant> runs;
};

constexpr Duration playTime = 30s;

} // namespace

// More calls of an account than its bound, or callers refused although the allowance is not spent.
TABLE_TEST(allowance, holdsItsBoundAndIsUsable, fleets)
{
    const double window = std::chrono::duration<double>(bounds.window).count();
    const double bound = (row.rate * window + row.burst) * (1 + bounds.overage) + bounds.slack;
    const double length = std::chrono::duration<double>(playTime).count();
    for (std::uint32_t seed = 1; seed <= seedsPerFleet(); ++seed) {
        Fleet fleet(row, seed);
        fleet.run(playTime);
        cr_assert_leq(static_cast<double>(fleet.mostInWindow()), bound,
                      "%s, seed %u: %lu in a window, %f allowed", row.what, seed,
                      static_cast<unsigned long>(fleet.mostInWindow()), bound);
        // While a killed primary is only suspected, no other node may grant what it may have granted.
        const double suspected =
            std::chrono::duration<double>(suspicionTime).count() * static_cast<double>(fleet.primaryKills);
        const double allowed =
            std::min(static_cast<double>(fleet.asked), row.rate * (length - suspected) + row.burst);
        cr_assert_geq(static_cast<double>(fleet.total()), row.usable * allowed, "%s, seed %u: %lu of %f ran",
                      row.what, seed, static_cast<unsigned long>(fleet.total()), allowed);
    }
}

namespace {

AllowanceGranter soleGranter(const AllowancePlacement &placement, double rate, double burst)
{
    AllowanceGranter granter(bounds, placement);
    granter.setAccounts({{"tours", {}, 1, rate, burst}});
    return granter;
}

AllowanceRequest wants(std::uint16_t tokens)
{
    return {1, account, GranterRole::Primary, tokens};
}

} // namespace

// Burst tokens that the last primary may have granted would be granted twice.
Test(allowance, aNewPrimaryStartsWithoutBurst)
{
    const AllowancePlacement placement("n1", start);
    AllowanceGranter granter = soleGranter(placement, 10, 100);
    cr_assert_eq(granter.grant(start, wants(50)).granted, 0);
    cr_assert_eq(granter.grant(start + 1s, wants(50)).granted, 10);
    cr_assert_eq(granter.grant(start + 100s, wants(500)).granted, 100);
}

Test(allowance, aLoweredRateBindsFromTheNextGrantOn)
{
    const AllowancePlacement placement("n1", start);
    AllowanceGranter granter = soleGranter(placement, 1000, 1000);
    granter.grant(start + 10s, wants(1));
    granter.setAccounts({{"tours", {}, 1, 10, 5}});
    cr_assert_eq(granter.grant(start + 20s, wants(500)).granted, 5);
}

// Callers that all return when one token is due are refused again.
Test(allowance, refusedCallersReturnOneAfterTheOther)
{
    const AllowancePlacement placement("n1", start);
    AllowanceGranter granter = soleGranter(placement, 10, 1);
    granter.grant(start + 10s, wants(1));
    const auto first = granter.grant(start + 10s, wants(1)).retryAfterMilliseconds;
    const auto second = granter.grant(start + 10s, wants(1)).retryAfterMilliseconds;
    cr_assert(first >= 90 && second >= first + 90, "%u and %u ms", first, second);
}

// The larger side of a partition grants the whole allowance, so the smaller one must grant nothing.
Test(allowance, theSmallerSideOfAPartitionGrantsNothing)
{
    AllowancePlacement placement("n0", start);
    std::vector<PlacementMember> members;
    for (int index = 0; index < 9; ++index)
        members.push_back({"n" + std::to_string(index), "a"});
    placement.setMembers(start, members);
    for (int index = 4; index < 9; ++index)
        members[static_cast<std::size_t>(index)].isPresent = false;
    placement.setMembers(start + 1s, members);
    cr_assert(!placement.seesMajority(start + 2s));
    for (int index = 4; index < 9; ++index)
        members[static_cast<std::size_t>(index)].isPresent = true;
    placement.setMembers(start + 3s, members);
    cr_assert(placement.seesMajority(start + 4s));
}

namespace {

struct DamageRow
{
    const char *what;
    std::string bytes;
};

const std::string goodRequest = encodeAllowanceMessage(AllowanceRequest{7, account, GranterRole::Backup, 3});
const std::string goodGrant = encodeAllowanceMessage(AllowanceGrant{7, GrantResult::Exhausted, 3, 250});

const DamageRow damage[] = {
    {"empty", ""},
    {"another protocol", "\x04" + goodRequest.substr(1)},
    {"another kind", goodRequest.substr(0, 1) + "\x09" + goodRequest.substr(2)},
    {"cut short", goodRequest.substr(0, goodRequest.size() - 1)},
    {"too long", goodGrant + "x"},
    {"a role that is none", goodRequest.substr(0, 18) + "\x07" + goodRequest.substr(19)},
    {"a result that is none", goodGrant.substr(0, 10) + "\x07" + goodGrant.substr(11)},
};

} // namespace

TABLE_TEST(allowanceMessages, damagedOnesAreRefused, damage)
{
    cr_assert(!decodeAllowanceMessage(row.bytes, "peer").has_value(), "%s", row.what);
}

Test(allowanceMessages, roundTripPreservesAllFields)
{
    const auto request = decodeAllowanceMessage(goodRequest, "peer");
    cr_assert(std::get<AllowanceRequest>(request.value())
              == (AllowanceRequest{7, account, GranterRole::Backup, 3}));
    const auto grant = decodeAllowanceMessage(goodGrant, "peer");
    cr_assert(std::get<AllowanceGrant>(grant.value()) == (AllowanceGrant{7, GrantResult::Exhausted, 3, 250}));
}
