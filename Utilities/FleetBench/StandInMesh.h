// The rest of a mesh, for one or a few real state machines: every other member answers pings and holds its
// state, so that a full-size table can be run alone in one process and in fake time.
#pragma once

#include <LibMembership/Membership.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sagecrank {

struct MeshShape
{
    std::size_t members = 6500;
    std::size_t zones = 25;
    std::size_t regions = 7;
    std::size_t services = 820;
};

Member makeMember(const MeshShape &shape, std::size_t index, std::uint64_t incarnation);

class StandInMesh
{
public:
    explicit StandInMesh(MeshShape shape)
        : shape(shape)
    {
    }

    // The members from 0 on are real machines; the others are stand-ins.
    Membership &add(MembershipSettings settings, std::uint64_t seed);
    void restart(std::size_t index, MembershipSettings settings, std::uint64_t incarnation);
    void fill(Membership &machine); // Tells it of all members, as a mesh that it has long been part of.

    void advance(Duration step);
    void run(Duration time);
    void deliver(std::size_t to, const Datagram &datagram); // From a stand-in.

    Instant now = Instant(std::chrono::hours(1));
    std::vector<std::unique_ptr<Membership>> machines;         // Null while a machine does not run.
    std::function<bool(std::size_t from, std::size_t to)> cut; // True when nothing passes.

private:
    struct Packet
    {
        std::size_t from;
        std::size_t to;
        std::string bytes;
    };

    std::unique_ptr<Membership> make(std::size_t index, MembershipSettings settings,
                                     std::uint64_t incarnation, std::uint64_t seed);
    void answer(const Packet &packet);

    MeshShape shape;
    std::deque<Packet> packets;
};

std::string addressOfMember(std::size_t index);

} // namespace Sagecrank
