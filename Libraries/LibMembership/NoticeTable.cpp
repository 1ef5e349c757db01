// Merging, selection for gossip, and expiry of notices.
#include <LibMembership/NoticeTable.h>

#include <algorithm>
#include <limits>

namespace Sagecrank {

bool NoticeTable::merge(Instant now, const Notice &notice)
{
    const Instant expiresAt = now + std::chrono::seconds(notice.timeToLiveSeconds);
    const Key key{notice.subject, notice.source};
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        if (notice.timeToLiveSeconds == 0)
            return false;
        if (this->entries.size() >= maximumNotices && !this->makeRoom(expiresAt))
            return false;
        this->entries.emplace(key, Entry{notice.state, expiresAt, 0});
        return true;
    }
    Entry &entry = found->second;
    if (notice.state <= entry.state)
        return false;
    entry.state = notice.state;
    entry.transmissions = 0;
    return true;
}

bool NoticeTable::makeRoom(Instant expiresAt)
{
    // Expiry times of notices of the same age differ by rounding on the way; such notices must not evict each
    // other.
    constexpr Duration roundingTolerance = std::chrono::seconds(3);
    const auto expiryOf = [](const auto &entry) { return entry.second.expiresAt; };
    const auto earliest = std::ranges::min_element(this->entries, {}, expiryOf);
    if (earliest == this->entries.end() || expiresAt < earliest->second.expiresAt + roundingTolerance)
        return false;
    this->entries.erase(earliest);
    return true;
}

void NoticeTable::fill(Instant now, Datagram &datagram, std::size_t maximumBytes,
                       std::uint32_t transmissionLimit)
{
    std::vector<std::map<Key, Entry>::iterator> candidates;
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (entry->second.transmissions < transmissionLimit)
            candidates.push_back(entry);
    }
    std::ranges::stable_sort(candidates, [](const auto &a, const auto &b) {
        return a->second.transmissions < b->second.transmissions;
    });
    candidates.resize(std::min(candidates.size(), maximumBytes / encodedNoticeSize));
    for (const auto &entry : candidates) {
        ++entry->second.transmissions;
        datagram.notices.push_back(makeNotice(entry->first, entry->second, now));
    }
}

bool NoticeTable::expire(Instant now)
{
    return std::erase_if(this->entries, [now](const auto &entry) { return entry.second.expiresAt <= now; })
           > 0;
}

bool NoticeTable::hasPending(std::uint32_t transmissionLimit) const
{
    return std::ranges::any_of(this->entries, [transmissionLimit](const auto &entry) {
        return entry.second.transmissions < transmissionLimit;
    });
}

std::vector<Notice> NoticeTable::list(Instant now) const
{
    std::vector<Notice> notices;
    notices.reserve(this->entries.size());
    for (const auto &[key, entry] : this->entries)
        notices.push_back(makeNotice(key, entry, now));
    return notices;
}

Notice NoticeTable::makeNotice(const Key &key, const Entry &entry, Instant now)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::seconds>(entry.expiresAt - now).count();
    const auto timeToLive = std::clamp<std::int64_t>(remaining, 0, std::numeric_limits<std::uint16_t>::max());
    return {key.first, key.second, entry.state, static_cast<std::uint16_t>(timeToLive)};
}

} // namespace Sagecrank
