// A fleet on a fake network whose nodes find each other through introducer rows in an in-memory table.
#pragma once

#include "FakeNetwork.h"

#include <LibMembership/IntroducerSchedule.h>

#include <map>

namespace Sagecrank::Testing {

inline constexpr Duration tableReadTime = Milliseconds(4);

// A fleet with an in-memory introducer table, and the read and write rounds of each node.
class IntroducerFleet
{
public:
    IntroducerFleet(FakeNetwork::Shape shape)
        : network(shape)
        , random(shape.seed * 7919 + 1)
    {
        for (std::size_t node = 0; node < shape.nodes; ++node)
            this->rounds.emplace_back(timing, shape.seed * 31 + node);
        this->nextRound.resize(shape.nodes);
    }

    void start(std::size_t node, std::uint64_t incarnation)
    {
        this->network.start(node, incarnation);
        this->rounds[node] = IntroducerSchedule(timing, this->random());
        this->writtenAt.erase(node);
        const auto spread = std::chrono::duration_cast<Duration>(timing.initialSpread);
        this->nextRound[node] =
            this->network.now + timing.initialDelay + spread * static_cast<int>(this->draw(100)) / 100;
    }

    void stop(std::size_t node) { this->network.nodes[node].running = false; }

    void run(Duration time)
    {
        const Instant end = this->network.now + time;
        while (this->network.now < end)
            this->advance();
    }

    Duration runUntilConverged(Duration limit)
    {
        const Instant begin = this->network.now;
        while (this->network.now - begin < limit && !this->network.converged())
            this->advance();
        return this->network.now - begin;
    }

    std::uint64_t draw(std::uint64_t below) { return this->random() % below; }

    FakeNetwork network;
    bool tableUnavailable = false;
    std::uint64_t tableCalls = 0;

private:
    // Those of a node on a store of rows.
    static constexpr IntroducerTiming timing{Milliseconds(10), Milliseconds(60), Milliseconds(1500),
                                             Milliseconds(300), Milliseconds(110)};

    // The table applies the writes of a partition one after another, 200 a second.
    static constexpr Duration tableWriteTime = Milliseconds(5);

    struct PendingWrite
    {
        Instant appliedAt;
        std::size_t node;
        std::uint64_t rank;
    };

    void advance()
    {
        this->network.run(FakeNetwork::step);
        std::vector<std::size_t> due;
        for (std::size_t node = 0; node < this->rounds.size(); ++node) {
            if (this->network.running(node) && this->nextRound[node] <= this->network.now)
                due.push_back(node);
        }
        std::sort(due.begin(), due.end(),
                  [this](std::size_t a, std::size_t b) { return this->nextRound[a] < this->nextRound[b]; });
        for (const std::size_t node : due)
            this->runRound(node, this->nextRound[node]);
    }

    void runRound(std::size_t node, Instant now)
    {
        this->applyWrites(now);
        const Membership &own = *this->network.nodes[node].membership;
        const IntroducerRound round =
            this->rounds[node].next(own.members().presentCount() > 1, this->rankOf(node));
        this->nextRound[node] = now + this->jittered(round.pause);
        if (this->tableUnavailable)
            return;
        if (round.write == IntroducerWrite::RankedRow)
            this->write(node, this->rankOf(node), now);
        if (round.read)
            this->read(node, round, now);
    }

    Duration jittered(Duration pause) { return pause * (70 + this->draw(60)) / 100; }

    void applyWrites(Instant now)
    {
        std::erase_if(this->pendingWrites, [&](const PendingWrite &write) {
            if (write.appliedAt > now)
                return false;
            this->rows[this->network.zones[write.node]][write.rank] = FakeNetwork::addressOf(write.node);
            return true;
        });
    }

    void write(std::size_t node, std::uint64_t rank, Instant now)
    {
        // A row is renewed after half of the renewal interval.
        if (this->writtenAt.contains(node) && now - this->writtenAt[node] < introducerRenewalInterval / 2)
            return;
        this->writtenAt[node] = now;
        ++this->tableCalls;
        this->tableBusyUntil = std::max(this->tableBusyUntil, now) + tableWriteTime;
        this->pendingWrites.push_back({this->tableBusyUntil, node, rank});
    }

    void read(std::size_t node, const IntroducerRound &round, Instant now)
    {
        ++this->tableCalls;
        std::vector<std::string> ownZone;
        std::vector<std::string> others;
        std::vector<std::uint64_t> free;
        for (std::uint64_t rank = 0; rank < introducersPerZone; ++rank) {
            if (!this->rows[this->network.zones[node]].contains(rank))
                free.push_back(rank);
        }
        for (const auto &[zone, ranks] : this->rows) {
            std::vector<std::string> addresses;
            for (const auto &[rank, address] : ranks) {
                if (address != FakeNetwork::addressOf(node))
                    addresses.push_back(address);
            }
            if (zone == this->network.zones[node])
                ownZone = addresses;
            else if (!addresses.empty())
                others.push_back(addresses[this->draw(addresses.size())]);
        }
        const bool mayWrite =
            round.write == IntroducerWrite::FreeRow || round.write == IntroducerWrite::AnyRow;
        if (mayWrite && !free.empty())
            this->write(node, free[this->draw(free.size())], now);
        else if (round.write == IntroducerWrite::AnyRow)
            this->write(node, this->draw(introducersPerZone), now);
        this->addSeeds(node, ownZone, true);
        if (round.contactOtherZones)
            this->addSeeds(node, others, false);
        const bool knowsOthers = this->network.nodes[node].membership->members().presentCount() > 1;
        const Duration pause = this->rounds[node].readAnswered(knowsOthers, !ownZone.empty());
        if (pause > Duration::zero())
            this->nextRound[node] = now + this->jittered(pause);
    }

    void addSeeds(std::size_t node, const std::vector<std::string> &addresses, bool ownZone)
    {
        this->network.nodes[node].membership->addSeeds(this->network.now + tableReadTime, addresses, ownZone);
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
    std::vector<PendingWrite> pendingWrites;
    Instant tableBusyUntil{};
    std::map<std::string, std::map<std::uint64_t, std::string>> rows; // By zone and rank.
    std::map<std::size_t, Instant> writtenAt;                         // By node.
    std::mt19937_64 random;
};

// Starts every node at a random time within the span.
inline void startAll(IntroducerFleet &fleet, Milliseconds span, std::uint64_t incarnation)
{
    const std::size_t count = fleet.network.nodes.size();
    std::vector<Instant> startAt;
    for (std::size_t node = 0; node < count; ++node)
        startAt.push_back(fleet.network.now
                          + Milliseconds(fleet.draw(static_cast<std::uint64_t>(span.count()) + 1)));
    for (std::size_t started = 0; started < count;) {
        for (std::size_t node = 0; node < count; ++node) {
            if (startAt[node] > fleet.network.now)
                continue;
            fleet.start(node, incarnation);
            startAt[node] = Instant::max();
            ++started;
        }
        fleet.run(FakeNetwork::step);
    }
}

} // namespace Sagecrank::Testing
