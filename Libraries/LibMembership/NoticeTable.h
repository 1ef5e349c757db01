// Notices: short-lived facts, not about members, that are broadcast to every node on gossip datagrams.
// Merging is idempotent and commutative until an entry expires, so datagrams may be lost, repeated or
// reordered.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Datagram.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Sagecrank {

// When the table is full, a new notice evicts the one that expires first, provided that it expires later
// itself. A flood thus costs a node about 100 KB at most and does not block later notices.
inline constexpr std::size_t maximumNotices = 1024;

class NoticeTable
{
public:
    // Commands.

    // Returns whether the notice was new or raised the state of a known one; it is then gossiped further.
    bool merge(Instant now, const Notice &notice);
    // Adds the notices with the fewest transmissions to the datagram, up to `maximumBytes`, and each at most
    // `transmissionLimit` times in total.
    void fill(Instant now, Datagram &datagram, std::size_t maximumBytes, std::uint32_t transmissionLimit);
    // Removes expired notices. Returns whether there were any.
    bool expire(Instant now);

    // Queries.

    bool hasPending(std::uint32_t transmissionLimit) const;
    bool empty() const { return this->entries.empty(); }
    std::vector<Notice> list(Instant now) const; // With the remaining time to live.

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; // Subject and source.

    struct Entry
    {
        std::uint8_t state = 0; // Never decreases.
        // Set when the notice is first received and never changed. The time to live travels in whole seconds,
        // rounded down: adopting a longer value would let nodes keep a notice alive for each other, and
        // adopting a shorter one would wear it away by a fraction of a second per hop.
        Instant expiresAt;
        std::uint32_t transmissions = 0; // Since the state last changed.
    };

    bool makeRoom(Instant expiresAt); // For a notice that expires then; false if no entry expires earlier.
    static Notice makeNotice(const Key &key, const Entry &entry, Instant now);

    std::map<Key, Entry> entries;
};

} // namespace Sagecrank
