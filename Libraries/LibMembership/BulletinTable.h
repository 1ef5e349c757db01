// Bulletins: small texts that are broadcast to every node on gossip datagrams. Each has a topic, and a later
// bulletin of a topic replaces an earlier one. Merging is idempotent and commutative until a bulletin
// expires, so datagrams may be lost, repeated or reordered.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Datagram.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Sagecrank {

// Above it new topics are dropped: 64 bulletins of the largest size take 25 KB.
inline constexpr std::size_t maximumBulletins = 64;

class BulletinTable
{
public:
    // Commands.

    // Returns whether the bulletin was new or later than the known one of its topic; it is then gossiped
    // further.
    bool merge(Instant now, const Bulletin &bulletin);
    // Adds the bulletins with the fewest transmissions to the datagram, up to `maximumBytes`, and each at
    // most `transmissionLimit` times in total. Returns the bytes that they take.
    std::size_t fill(Instant now, Datagram &datagram, std::size_t maximumBytes,
                     std::uint32_t transmissionLimit);
    void expire(Instant now);

    // Queries.
    bool hasPending(std::uint32_t transmissionLimit) const;
    std::vector<Bulletin> list(Instant now) const; // With the remaining time to live.

private:
    struct Entry
    {
        Bulletin bulletin;
        Instant expiresAt;
        std::uint32_t transmissions = 0;
    };

    static Bulletin withRemainingTime(const Entry &entry, Instant now);

    std::map<std::string, Entry> entries; // By topic.
};

} // namespace Sagecrank
