// Nodes without seeds meet over rows of a shared table, whatever the order and the faults of their start.
#include "FakeNetwork.h"

#include <LibMembership/IntroducerSchedule.h>

#include <Support/TableTest.h>

#include <map>

using namespace Sagecrank;
using namespace Sagecrank::Testing;

namespace {

constexpr Duration tableTakes = Milliseconds(4);

// The rows of all zones, and each node's rounds of writing and reading them.
class MeetingFleet
{
public:
    MeetingFleet(FakeNetwork::Shape shape)
        : network(shape)
        , random(shape.seed * 7919 + 1)
    {
        for (std::size_t node = 0; node < shape.nodes; ++node)
            this->rounds.emplace_back(pace);
        this->nextRound.resize(shape.nodes);
    }

    void start(std::size_t node, std::uint64_t incarnation)
    {
        this->network.start(node, incarnation);
        this->rounds[node] = IntroducerSchedule(pace);
        this->writtenAt.erase(node);
        this->nextRound[node] = this->network.now + pace.initialDelay;
    }

    void stop(std::size_t node) { this->network.nodes[node].running = false; }

    void run(Duration time)
    {
        const Instant end = this->network.now + time;
        while (this->network.now < end)
            this->advance();
    }

    Duration untilMet(Duration limit)
    {
        const Instant begin = this->network.now;
        while (this->network.now - begin < limit && !this->network.converged())
            this->advance();
        return this->network.now - begin;
    }

    std::uint64_t draw(std::uint64_t below) { return this->random() % below; }

    FakeNetwork network;
    bool tableAway = false;
    std::uint64_t calls = 0; // Of the table.

private:
    static constexpr IntroducerTiming pace{Milliseconds(10), Milliseconds(60), Milliseconds(1500)};

    void advance()
    {
        this->network.run(FakeNetwork::step);
        for (std::size_t node = 0; node < this->rounds.size(); ++node) {
            if (this->network.running(node) && this->nextRound[node] <= this->network.now)
                this->playRound(node);
        }
    }

    void playRound(std::size_t node)
    {
        const Membership &own = *this->network.nodes[node].membership;
        const IntroducerRound round =
            this->rounds[node].next(own.members().presentCount() > 1, this->rankOf(node));
        this->nextRound[node] = this->network.now + round.pause * (70 + this->draw(60)) / 100;
        if (this->tableAway)
            return;
        if (round.write == IntroducerWrite::RankedRow)
            this->write(node, this->rankOf(node));
        if (round.read)
            this->read(node, round);
    }

    void write(std::size_t node, std::uint64_t place)
    {
        // A row is renewed once in half of its life.
        if (this->writtenAt.contains(node)
            && this->network.now - this->writtenAt[node] < introducerRenewalInterval / 2)
            return;
        this->writtenAt[node] = this->network.now;
        ++this->calls;
        this->rows[this->network.zones[node]][place] = FakeNetwork::addressOf(node);
    }

    void read(std::size_t node, const IntroducerRound &round)
    {
        ++this->calls;
        std::vector<std::string> ownZone;
        std::vector<std::string> others;
        std::vector<std::uint64_t> free;
        for (std::uint64_t place = 0; place < introducersPerZone; ++place) {
            if (!this->rows[this->network.zones[node]].contains(place))
                free.push_back(place);
        }
        for (const auto &[zone, places] : this->rows) {
            std::vector<std::string> addresses;
            for (const auto &[place, address] : places)
                addresses.push_back(address);
            if (zone == this->network.zones[node])
                ownZone = addresses;
            else if (!addresses.empty())
                others.push_back(addresses[this->draw(addresses.size())]);
        }
        const bool mayWrite =
            round.write == IntroducerWrite::FreeRow || round.write == IntroducerWrite::AnyRow;
        if (mayWrite && !free.empty())
            this->write(node, free[this->draw(free.size())]);
        else if (round.write == IntroducerWrite::AnyRow)
            this->write(node, this->draw(introducersPerZone));
        this->found(node, ownZone, true);
        if (round.contactOtherZones)
            this->found(node, others, false);
    }

    void found(std::size_t node, const std::vector<std::string> &addresses, bool ownZone)
    {
        this->network.nodes[node].membership->addSeeds(this->network.now + tableTakes, addresses, ownZone);
    }

    std::uint32_t rankOf(std::size_t node) const
    {
        const Membership &own = *this->network.nodes[node].membership;
        std::uint32_t rank = 0;
        for (const std::uint64_t peer : own.members().zonePeers())
            rank += own.members().find(peer)->member.id < own.self().id ? 1 : 0;
        return rank;
    }

    std::vector<IntroducerSchedule> rounds;
    std::vector<Instant> nextRound;
    std::map<std::string, std::map<std::uint64_t, std::string>> rows; // By zone and place.
    std::map<std::size_t, Instant> writtenAt;                         // Of each node's row.
    std::mt19937_64 random;
};

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

// Each node starts within the span after the others.
void startAll(MeetingFleet &fleet, Milliseconds span, std::uint64_t incarnation)
{
    const std::size_t count = fleet.network.nodes.size();
    std::vector<Instant> at;
    for (std::size_t node = 0; node < count; ++node)
        at.push_back(fleet.network.now
                     + Milliseconds(fleet.draw(static_cast<std::uint64_t>(span.count()) + 1)));
    for (std::size_t started = 0; started < count;) {
        for (std::size_t node = 0; node < count; ++node) {
            if (at[node] > fleet.network.now)
                continue;
            fleet.start(node, incarnation);
            at[node] = Instant::max();
            ++started;
        }
        fleet.run(FakeNetwork::step);
    }
}

enum class Trouble : std::uint8_t { None, Cut, TableAway, Restarts, Apart };

struct MeetingRow
{
    const char *what;
    Trouble trouble;
    Duration limit; // From the end of the trouble until every node counts exactly those that run.
};

// Two seconds, and after a cut what a suspicion that began in it may still last.
const MeetingRow meetingRows[] = {
    {"a start", Trouble::None, Milliseconds(2000)},
    {"a cut through the start", Trouble::Cut, Milliseconds(2500)},
    {"the table away at the start", Trouble::TableAway, Milliseconds(2500)},
    {"all restart", Trouble::Restarts, Milliseconds(2000)},
    {"two groups that started apart", Trouble::Apart, Milliseconds(2500)},
};

void playTrouble(MeetingFleet &fleet, Trouble trouble)
{
    const Milliseconds span(fleet.draw(400));
    const std::uint64_t side = fleet.draw(UINT64_MAX);
    const auto apart = [side](std::size_t from, std::size_t to) {
        return ((side >> (from % 64)) & 1U) != ((side >> (to % 64)) & 1U);
    };
    if (trouble == Trouble::Cut || trouble == Trouble::Apart)
        fleet.network.cut = apart;
    fleet.tableAway = trouble == Trouble::TableAway;
    startAll(fleet, span, 1);
    if (trouble == Trouble::TableAway || trouble == Trouble::Cut)
        fleet.run(Milliseconds(fleet.draw(2000)));
    if (trouble == Trouble::Apart)
        fleet.run(Milliseconds(8000));
    fleet.network.cut = nullptr;
    fleet.tableAway = false;
    if (trouble != Trouble::Restarts)
        return;
    fleet.run(std::chrono::seconds(2));
    for (std::size_t node = 0; node < fleet.network.nodes.size(); ++node)
        fleet.stop(node);
    fleet.run(std::chrono::seconds(1));
    startAll(fleet, span, 2);
}

} // namespace

// Nodes start in some order, lose datagrams, are cut off from each other or from the table, or all restart.
// A group that has met is content with itself, and its callers find only its own upstreams, for a minute or
// for the rest of the day, with no fault about. Groups that can reach each other must become one and stay so.
TABLE_TEST(meeting, groupsThatCanReachEachOtherBecomeOne, meetingRows)
{
    Duration longest{};
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        MeetingFleet fleet(unseeded(seed));
        playTrouble(fleet, row.trouble);
        const Duration took = fleet.untilMet(std::chrono::seconds(20));
        longest = std::max(longest, took);
        if (took > row.limit) {
            ++late;
            cr_log_warn("%s: seed %d took %d ms", row.what, static_cast<int>(seed),
                        static_cast<int>(std::chrono::duration_cast<Milliseconds>(took).count()));
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

// Of the nodes that run, and of those of each node's own zone: the share that a node counts, on the average.
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

// A fleet that starts at once knows its own zone and then the others too late, and calls go to the few
// upstreams that are known; or its nodes ask the table so often that it turns them away.
TABLE_TEST(meeting, aFleetThatStartsKnowsItselfSoon, largeStartRows)
{
    constexpr double nearlyAll = 0.95;
    constexpr std::uint64_t callsANode = 4;
    FakeNetwork::Shape shape;
    shape.seeded = false;
    shape.seed = 1;
    shape.nodes = row.nodes;
    shape.zones = row.zones;
    MeetingFleet fleet(shape);
    startAll(fleet, Milliseconds(300), 1);
    fleet.run(Milliseconds(1000));
    cr_assert(knownShares(fleet.network, row).zone >= nearlyAll, "%d nodes", static_cast<int>(row.nodes));
    fleet.run(Milliseconds(1500));
    cr_assert(knownShares(fleet.network, row).all >= nearlyAll, "%d nodes", static_cast<int>(row.nodes));
    cr_assert(fleet.calls <= callsANode * row.nodes, "%d calls", static_cast<int>(fleet.calls));
}
