// Many Membership instances on an in-memory network with delay, loss, partitions and pauses, in simulated
// time. All randomness comes from one seed, so runs are reproducible.
#pragma once

#include <LibMembership/TableStream.h>

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank::Testing {

struct FakeNode
{
    std::unique_ptr<Membership> membership;
    std::string region;
    bool running = true;
    bool paused = false;
    std::size_t memberChanges = 0;    // Calls of its memberChanged hook.
    std::vector<std::string> reports; // Received.
};

class FakeNetwork
{
public:
    struct Shape
    {
        std::size_t nodes = 10;
        std::size_t zones = 1;
        std::size_t regions = 1;
        std::uint64_t seed = 1;
        double loss = 0;
        bool seeded = true;         // All nodes run from the start, and the first three are the seeds of all.
        bool tableExchange = false; // Nodes exchange tables over streams.
    };

    static constexpr Duration step = Milliseconds(50);

    explicit FakeNetwork(Shape shape, MembershipSettings settings = {})
        : settings(std::move(settings))
        , loss(shape.loss)
        , random(shape.seed)
        , tableExchange(shape.tableExchange)
    {
        if (shape.seeded)
            this->settings.seeds = {addressOf(0), addressOf(1), addressOf(2)};
        for (std::size_t i = 0; i < shape.nodes; ++i) {
            FakeNode node;
            node.region = "r" + std::to_string(i % shape.regions);
            this->nodes.push_back(std::move(node));
            this->zones.push_back("z" + std::to_string(i % shape.zones));
            if (shape.seeded)
                this->start(i, 1);
            else
                this->nodes[i].running = false;
        }
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        Member self;
        self.id = idOf(index);
        self.incarnation = incarnation;
        self.region = this->nodes[index].region;
        self.zone = this->zones[index];
        self.site = self.zone;
        self.gossipAddress = addressOf(index);
        self.peerAddress = "10.0.0.1:" + std::to_string(20000 + index);
        self.controlAddress = "10.0.0.1:" + std::to_string(30000 + index);
        MembershipHooks hooks;
        hooks.send = [this, index](const std::string &to, const std::string &bytes) {
            this->send(index, to, bytes);
        };
        hooks.memberChanged = [this, index](const Member &) { ++this->nodes[index].memberChanges; };
        hooks.reportReceived = [this, index](const std::string &, const std::string &report) {
            this->nodes[index].reports.push_back(report);
        };
        if (this->tableExchange) {
            hooks.exchangeTables = [this, index](const Member &partner) {
                const auto duration = std::chrono::duration_cast<Duration>(exchangeDuration);
                this->exchanges.push_back({this->now + duration, index, indexOf(partner.gossipAddress)});
            };
            hooks.zoneRank = [this, index] { return this->zoneRank(index); };
        }
        this->nodes[index].membership =
            std::make_unique<Membership>(this->settings, self, std::move(hooks), this->random());
        this->nodes[index].running = true;
    }

    void run(Duration time)
    {
        const Instant end = this->now + time;
        while (this->now < end)
            this->advance();
    }

    // Runs until the condition holds. Returns the time that took, or the limit.
    Duration runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const Instant begin = this->now;
        while (this->now - begin < limit && !condition())
            this->advance();
        return this->now - begin;
    }

    bool allRunning(const std::function<bool(const Membership &)> &condition) const
    {
        for (const FakeNode &node : this->nodes) {
            if (node.running && !node.paused && !condition(*node.membership))
                return false;
        }
        return true;
    }

    // The present members of every running node are exactly the running nodes.
    bool converged() const
    {
        std::size_t running = 0;
        for (const FakeNode &node : this->nodes)
            running += node.running ? 1 : 0;
        return this->allRunning([&](const Membership &m) { return m.members().presentCount() == running; });
    }

    bool running(std::size_t index) const { return this->nodes[index].running; }

    MemberState stateOf(std::size_t viewer, std::size_t member) const
    {
        const MemberRecord *record = this->nodes[viewer].membership->members().find(idOf(member));
        return record == nullptr ? MemberState::Left : record->member.state;
    }

    static std::string idOf(std::size_t index) { return "n" + std::to_string(index); }
    static std::string addressOf(std::size_t index) { return "10.0.0.1:" + std::to_string(10000 + index); }

    Instant now = Instant(std::chrono::hours(1));
    std::vector<FakeNode> nodes;
    std::vector<std::string> zones;
    MembershipSettings settings;
    double loss;
    // Whether all packets from the first node to the second are dropped.
    std::function<bool(std::size_t from, std::size_t to)> cut;
    std::mt19937_64 random;
    // Bytes of table exchanges, both ways.
    std::uint64_t exchangedBytes = 0;
    std::uint64_t crossZoneExchangedBytes = 0;
    std::uint64_t exchangeCount = 0;
    // Bytes sent between zones, by DatagramKind; includes IP and UDP headers.
    std::array<std::uint64_t, 8> crossZoneBytes{};

private:
    // Four batches, with the time that a table of 1,000 members takes on a link of 10 Mbit/s.
    static constexpr Duration exchangeDuration = Milliseconds(100);

    struct Exchange
    {
        Instant due;
        std::size_t from;
        std::size_t to;
    };

    struct Packet
    {
        Instant due;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::string bytes;

        bool operator>(const Packet &other) const
        {
            return std::tie(this->due, this->order) > std::tie(other.due, other.order);
        }
    };

    void send(std::size_t from, const std::string &address, const std::string &bytes)
    {
        const std::size_t to = indexOf(address);
        if (to < this->nodes.size() && this->zones[from] != this->zones[to])
            this->crossZoneBytes[static_cast<std::size_t>(decodeDatagram(bytes, "").value().kind)] +=
                bytes.size() + datagramOverheadBytes;
        std::uniform_real_distribution<double> share(0, 1);
        if (to >= this->nodes.size() || share(this->random) < this->loss)
            return;
        if (this->cut && this->cut(from, to))
            return;
        const auto delay =
            std::chrono::duration_cast<Duration>(Microseconds(500) * (1 + share(this->random)));
        this->packets.push({this->now + delay, ++this->order, from, to, bytes});
    }

    static std::size_t indexOf(const std::string &address)
    {
        return std::stoul(address.substr(address.rfind(':') + 1)) - 10000;
    }

    std::uint32_t zoneRank(std::size_t index) const
    {
        const Membership &own = *this->nodes[index].membership;
        std::uint32_t rank = 0;
        for (const std::uint64_t peer : own.members().zonePeers())
            rank += own.members().find(peer)->member.id < own.self().id ? 1 : 0;
        return rank;
    }

    void runExchange(const Exchange &exchange)
    {
        FakeNode &asking = this->nodes[exchange.from];
        FakeNode &serving = this->nodes[exchange.to];
        if (!asking.running || !asking.membership)
            return;
        const bool reachable = serving.running && !serving.paused && !asking.paused
                               && !(this->cut && this->cut(exchange.from, exchange.to));
        if (!reachable)
            return asking.membership->tableExchangeEnded(this->now, false, 0);
        TableStream client(*asking.membership);
        TableStream server(*serving.membership);
        std::vector<TableBatch> parts{client.open()};
        for (bool fromClient = true; !parts.empty() && !client.isComplete(); fromClient = !fromClient) {
            std::vector<TableBatch> answers;
            for (const TableBatch &part : parts) {
                this->countExchanged(exchange, part);
                const Result<std::vector<TableBatch>> received =
                    (fromClient ? server : client).receive(this->now, part);
                answers.insert(answers.end(), received.value().begin(), received.value().end());
            }
            parts = std::move(answers);
        }
        asking.membership->tableExchangeEnded(this->now, true, client.recordsExchanged());
    }

    void countExchanged(const Exchange &exchange, const TableBatch &part)
    {
        std::uint64_t bytes = 0;
        for (const std::string &datagram : part.datagrams)
            bytes += datagram.size();
        this->exchangedBytes += bytes;
        if (this->zones[exchange.from] != this->zones[exchange.to])
            this->crossZoneExchangedBytes += bytes;
    }

    void runDueExchanges()
    {
        std::vector<Exchange> due;
        std::erase_if(this->exchanges, [&](const Exchange &exchange) {
            if (exchange.due <= this->now)
                due.push_back(exchange);
            return exchange.due <= this->now;
        });
        this->exchangeCount += due.size();
        for (const Exchange &exchange : due)
            this->runExchange(exchange);
    }

    // Packets to a paused node wait, as in its socket buffer, until it resumes.
    void deliver(const Packet &packet)
    {
        FakeNode &node = this->nodes[packet.to];
        if (!node.running)
            return;
        if (node.paused) {
            if (this->buffered.size() < 256)
                this->buffered.push_back(packet);
            return;
        }
        node.membership->receive(packet.due, addressOf(packet.from), packet.bytes);
    }

    void advance()
    {
        const Instant end = this->now + step;
        std::vector<Packet> waiting;
        waiting.swap(this->buffered);
        for (const Packet &packet : waiting)
            this->deliver(packet);
        while (!this->packets.empty() && this->packets.top().due <= end) {
            const Packet packet = this->packets.top();
            this->packets.pop();
            this->now = std::max(this->now, packet.due);
            this->deliver(packet);
        }
        this->now = end;
        this->runDueExchanges();
        for (FakeNode &node : this->nodes) {
            if (node.running && !node.paused)
                node.membership->tick(this->now);
        }
    }

    std::uint64_t order = 0;
    std::priority_queue<Packet, std::vector<Packet>, std::greater<>> packets;
    std::vector<Packet> buffered;
    std::vector<Exchange> exchanges; // Not ended yet.
    bool tableExchange;
};

} // namespace Sagecrank::Testing
