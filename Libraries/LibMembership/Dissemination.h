// Queue of member changes to gossip, and the choice of those that go into the next datagram.
//
// When a zone of 260 nodes fails or returns in a mesh of 6,500, sending 260 full records sixteen times each
// would cost 290 KB per node. Changes are therefore sent in compact form (24 bytes). Under a backlog each is
// sent only four times, since anti-entropy sync repairs what was missed. Changes that take an upstream out of
// service (drain, leave, death) are sent before changes that add one.
#pragma once

#include <LibMembership/MemberTable.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

class Dissemination
{
public:
    // Commands.
    void add(std::uint64_t idHash, bool urgent, bool fullRecord);
    // Adds changes to the datagram, up to `maximumBytes`, and counts one transmission of each. Returns the
    // bytes used.
    std::size_t fill(Datagram &datagram, std::size_t maximumBytes, const MemberTable &table);

    // Queries.
    std::size_t backlog() const { return this->changes.size(); }
    bool empty() const { return this->changes.empty(); }

private:
    struct Change
    {
        std::uint32_t transmissions = 0;
        bool urgent = false;
        bool fullRecord = false; // Receivers probably don't know the member: send its record, not an update.
    };

    std::uint32_t transmissionLimit(const MemberTable &table) const;

    std::unordered_map<std::uint64_t, Change> changes; // By the hash of the member's id.
};

} // namespace Sagecrank
