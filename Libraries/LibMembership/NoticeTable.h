// Short-lived facts that are about no member and that every node should hold soon. They travel on the
// datagrams of the gossip protocol. A board is a set that only grows until its entries expire: merging is
// idempotent, and the order in which datagrams arrive does not matter.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Datagram.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Sagecrank {

// Beyond this a board drops the one that would end first for one that lives longer, so that a flood of them
// costs a node some 100 KB at most and does not shut out what is told later.
inline constexpr std::size_t maximumNotices = 1024;

class NoticeTable
{
public:
    // Commands.

    // Whether it said something new; then it is told on.
    bool merge(Instant now, const Notice &notice);
    // Puts those on the datagram that were told least often, up to `room` bytes, each at most `tellLimit`
    // times.
    void fill(Instant now, Datagram &datagram, std::size_t room, std::uint32_t tellLimit);
    // Drops those whose life is over; whether there were any.
    bool expire(Instant now);

    // Queries.

    bool hasNews(std::uint32_t tellLimit) const;
    bool empty() const { return this->entries.empty(); }
    std::vector<Notice> list(Instant now) const; // With the life that is left.

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; // Subject and source.

    struct Entry
    {
        std::uint8_t state = 0; // Only ever rises.
        // As first heard. Lives travel in whole seconds, rounded down: a node that hears of it late cannot
        // keep the others' alive, and the shorter of two would fall by a part of a second at each telling.
        Instant expiresAt;
        std::uint32_t told = 0; // Datagrams since it last changed.
    };

    bool makeRoom(Instant expiresAt); // For one that ends then; false when all live as long.
    static Notice noticeOf(const Key &key, const Entry &entry, Instant now);

    std::map<Key, Entry> entries;
};

} // namespace Sagecrank
