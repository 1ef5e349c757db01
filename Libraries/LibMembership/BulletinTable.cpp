// Merging, selection for gossip, and expiry of bulletins.
#include <LibMembership/BulletinTable.h>

#include <algorithm>
#include <tuple>

namespace Sagecrank {

namespace {

bool isLater(const Bulletin &bulletin, const Bulletin &known)
{
    return std::tie(bulletin.sequence, bulletin.state) > std::tie(known.sequence, known.state);
}

} // namespace

bool BulletinTable::merge(Instant now, const Bulletin &bulletin)
{
    const auto found = this->entries.find(bulletin.topic);
    const bool known = found != this->entries.end();
    if (bulletin.timeToLiveSeconds == 0 || (known && !isLater(bulletin, found->second.bulletin))
        || (!known && this->entries.size() >= maximumBulletins))
        return false;
    this->entries[bulletin.topic] =
        Entry{bulletin, now + std::chrono::seconds(bulletin.timeToLiveSeconds), 0};
    return true;
}

std::size_t BulletinTable::fill(Instant now, Datagram &datagram, std::size_t maximumBytes,
                                std::uint32_t transmissionLimit)
{
    std::vector<Entry *> pending;
    for (auto &[topic, entry] : this->entries) {
        if (entry.transmissions < transmissionLimit)
            pending.push_back(&entry);
    }
    std::ranges::stable_sort(pending, {}, &Entry::transmissions);
    std::size_t used = 0;
    for (Entry *entry : pending) {
        const std::size_t size = encodedSize(entry->bulletin);
        if (used + size > maximumBytes)
            continue;
        used += size;
        ++entry->transmissions;
        datagram.bulletins.push_back(withRemainingTime(*entry, now));
    }
    return used;
}

void BulletinTable::expire(Instant now)
{
    std::erase_if(this->entries, [now](const auto &entry) { return entry.second.expiresAt <= now; });
}

bool BulletinTable::hasPending(std::uint32_t transmissionLimit) const
{
    return std::ranges::any_of(this->entries, [transmissionLimit](const auto &entry) {
        return entry.second.transmissions < transmissionLimit;
    });
}

std::vector<Bulletin> BulletinTable::list(Instant now) const
{
    std::vector<Bulletin> bulletins;
    for (const auto &[topic, entry] : this->entries) {
        if (entry.expiresAt > now)
            bulletins.push_back(withRemainingTime(entry, now));
    }
    return bulletins;
}

Bulletin BulletinTable::withRemainingTime(const Entry &entry, Instant now)
{
    Bulletin bulletin = entry.bulletin;
    const auto remaining = std::chrono::duration_cast<std::chrono::seconds>(entry.expiresAt - now).count();
    bulletin.timeToLiveSeconds =
        static_cast<std::uint16_t>(std::clamp<std::int64_t>(remaining, 0, bulletin.timeToLiveSeconds));
    return bulletin;
}

} // namespace Sagecrank
