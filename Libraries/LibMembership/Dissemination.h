// Which changes a node still tells others about, and which of them go into the next datagram.
//
// Load: a zone of 260 nodes is lost or comes back at once at 6,500 members. Harm: 260 whole records, told
// sixteen times each, are 290 KB a node. Limits: changes travel in the short form (24 bytes); with a backlog
// each is told four times only, since the comparison of tables finds what was missed; and what stops new
// work at an upstream (a drain, a leave, a death) goes before what adds an upstream.
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
    void add(std::uint64_t idHash, bool urgent, bool whole);
    // Fills the datagram up to `room` bytes and counts each chosen change as told once. Returns the bytes
    // used.
    std::size_t fill(Datagram &datagram, std::size_t room, const MemberTable &table);

    // Queries.
    std::size_t backlog() const { return this->changes.size(); }
    bool empty() const { return this->changes.empty(); }

private:
    struct Change
    {
        std::uint32_t told = 0;
        bool urgent = false;
        bool whole = false; // The receivers probably do not know the member: send its record, not a brief.
    };

    std::uint32_t tellLimit(const MemberTable &table) const;

    std::unordered_map<std::uint64_t, Change> changes; // By hash of the member's id.
};

} // namespace Sagecrank
