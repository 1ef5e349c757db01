// Merging, telling and forgetting notices.
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
    entry.told = 0;
    return true;
}

bool NoticeTable::makeRoom(Instant expiresAt)
{
    // Notices of one moment differ by what rounding took on their ways, and must not displace each other.
    constexpr Duration sameMoment = std::chrono::seconds(3);
    const auto endOf = [](const auto &entry) { return entry.second.expiresAt; };
    const auto oldest = std::ranges::min_element(this->entries, {}, endOf);
    if (oldest == this->entries.end() || expiresAt < oldest->second.expiresAt + sameMoment)
        return false;
    this->entries.erase(oldest);
    return true;
}

void NoticeTable::fill(Instant now, Datagram &datagram, std::size_t room, std::uint32_t tellLimit)
{
    std::vector<std::map<Key, Entry>::iterator> candidates;
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
        if (entry->second.told < tellLimit)
            candidates.push_back(entry);
    }
    std::ranges::stable_sort(candidates,
                             [](const auto &a, const auto &b) { return a->second.told < b->second.told; });
    candidates.resize(std::min(candidates.size(), room / encodedNoticeSize));
    for (const auto &entry : candidates) {
        ++entry->second.told;
        datagram.notices.push_back(noticeOf(entry->first, entry->second, now));
    }
}

bool NoticeTable::expire(Instant now)
{
    return std::erase_if(this->entries, [now](const auto &entry) { return entry.second.expiresAt <= now; })
           > 0;
}

bool NoticeTable::hasNews(std::uint32_t tellLimit) const
{
    return std::ranges::any_of(this->entries,
                               [tellLimit](const auto &entry) { return entry.second.told < tellLimit; });
}

std::vector<Notice> NoticeTable::list(Instant now) const
{
    std::vector<Notice> notices;
    notices.reserve(this->entries.size());
    for (const auto &[key, entry] : this->entries)
        notices.push_back(noticeOf(key, entry, now));
    return notices;
}

Notice NoticeTable::noticeOf(const Key &key, const Entry &entry, Instant now)
{
    const auto left = std::chrono::duration_cast<std::chrono::seconds>(entry.expiresAt - now).count();
    const auto life = std::clamp<std::int64_t>(left, 0, std::numeric_limits<std::uint16_t>::max());
    return {key.first, key.second, entry.state, static_cast<std::uint16_t>(life)};
}

} // namespace Sagecrank
