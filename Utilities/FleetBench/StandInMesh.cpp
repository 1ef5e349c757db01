// Stand-ins that answer pings.
#include "StandInMesh.h"

namespace Sagecrank {

namespace {

constexpr std::size_t firstPort = 10000;

std::string ipOf(std::size_t index)
{
    return "10." + std::to_string(100 + index / 60000) + "." + std::to_string(100 + index / 250) + "."
           + std::to_string(index % 250);
}

std::size_t indexOf(const std::string &address)
{
    return std::stoul(address.substr(address.rfind(':') + 1)) - firstPort;
}

} // namespace

// The port carries the index, so that an address leads back to its member.
std::string addressOfMember(std::size_t index)
{
    return ipOf(index) + ":" + std::to_string(firstPort + index);
}

Member makeMember(const MeshShape &shape, std::size_t index, std::uint64_t incarnation)
{
    Member member;
    member.id = "node-" + std::to_string(index);
    member.incarnation = incarnation;
    member.zone = "zone-" + std::to_string(index % shape.zones);
    member.region = "region-" + std::to_string(index % shape.zones % shape.regions);
    member.site = member.zone;
    member.gossipAddress = addressOfMember(index);
    member.peerAddress = ipOf(index) + ":8101";
    member.controlAddress = ipOf(index) + ":8301";
    member.cluster = "service-" + std::to_string(index % shape.services);
    member.upstream = UpstreamState::Ready;
    member.slots = 6;
    return member;
}

std::unique_ptr<Membership> StandInMesh::make(std::size_t index, MembershipSettings settings,
                                              std::uint64_t incarnation, std::uint64_t seed)
{
    MembershipHooks hooks;
    hooks.send = [this, index](const std::string &address, const std::string &bytes) {
        const std::size_t to = indexOf(address);
        if (!this->cut || !this->cut(index, to))
            this->packets.push_back({index, to, bytes});
    };
    return std::make_unique<Membership>(std::move(settings), makeMember(this->shape, index, incarnation),
                                        std::move(hooks), seed);
}

Membership &StandInMesh::add(MembershipSettings settings, std::uint64_t seed)
{
    this->machines.push_back(this->make(this->machines.size(), std::move(settings), 1, seed));
    return *this->machines.back();
}

void StandInMesh::restart(std::size_t index, MembershipSettings settings, std::uint64_t incarnation)
{
    this->machines[index] = this->make(index, std::move(settings), incarnation, incarnation + index);
}

void StandInMesh::fill(Membership &machine)
{
    Datagram datagram;
    datagram.kind = DatagramKind::Gossip;
    datagram.sequence = 1; // An answer, so the machine does not spread it.
    for (std::size_t i = 0; i < this->shape.members; ++i) {
        Member member = makeMember(this->shape, i, 1);
        if (member.id == machine.self().id)
            continue;
        datagram.sender = member.id;
        datagram.senderIncarnation = 1;
        datagram.members = {std::move(member)};
        machine.receive(this->now, addressOfMember(i), encodeDatagram(datagram));
    }
}

void StandInMesh::deliver(std::size_t to, const Datagram &datagram)
{
    const std::size_t from = std::stoul(datagram.sender.substr(datagram.sender.rfind('-') + 1));
    this->machines[to]->receive(this->now, addressOfMember(from), encodeDatagram(datagram));
}

void StandInMesh::advance(Duration step)
{
    this->now += step;
    std::deque<Packet> due;
    due.swap(this->packets);
    for (const Packet &packet : due)
        this->answer(packet);
    for (const auto &machine : this->machines) {
        if (machine)
            machine->tick(this->now);
    }
}

void StandInMesh::run(Duration time)
{
    for (const Instant end = this->now + time; this->now < end;)
        this->advance(Milliseconds(100));
}

void StandInMesh::answer(const Packet &packet)
{
    if (packet.to < this->machines.size()) {
        if (this->machines[packet.to])
            this->machines[packet.to]->receive(this->now, addressOfMember(packet.from), packet.bytes);
        return;
    }
    const Result<Datagram> decoded = decodeDatagram(packet.bytes, "");
    if (!decoded)
        return;
    // A stand-in's table is as good as a machine's: some machine answers in its place, from its own budget.
    if (decoded.value().kind != DatagramKind::Ping) {
        const std::size_t machine = packet.to % this->machines.size();
        if (machine != packet.from)
            this->machines[machine]->receive(this->now, addressOfMember(packet.from), packet.bytes);
        return;
    }
    Datagram ack;
    ack.kind = DatagramKind::Ack;
    ack.sequence = decoded.value().sequence;
    ack.sender = decoded.value().target;
    ack.senderIncarnation = 1;
    this->deliver(packet.from, ack);
}

} // namespace Sagecrank
