// Counting the bytes that are under way, and the line of those that wait.
#include <LibDecide/BodyGrants.h>

#include <algorithm>

namespace Sagecrank {

BodyGrantResult BodyGrants::request(Instant now, BodyId name, std::uint64_t bytes, std::uint32_t priority)
{
    if (!this->isLimited())
        return BodyGrantResult::Granted;
    const Body body{name, bytes, priority, now};
    if (this->line.empty() && this->fits(bytes)) {
        this->grant(now, body);
        return BodyGrantResult::Granted;
    }
    if (this->line.size() >= this->settings.maximumQueued)
        return BodyGrantResult::QueueFull;
    const auto place = std::ranges::upper_bound(this->line, priority, {}, &Body::priority);
    this->line.insert(place, body);
    return BodyGrantResult::Queued;
}

void BodyGrants::release(BodyId name)
{
    std::erase_if(this->line, [name](const Body &body) { return body.name == name; });
    const auto found = std::ranges::find(this->granted, name, &Body::name);
    if (found == this->granted.end())
        return;
    this->grantedBytes -= found->bytes;
    this->granted.erase(found);
}

std::vector<BodyGrants::BodyId> BodyGrants::advance(Instant now)
{
    while (!this->granted.empty() && this->granted.front().expires <= now)
        this->release(this->granted.front().name);
    std::vector<BodyId> turns;
    while (!this->line.empty() && this->fits(this->line.front().bytes)) {
        turns.push_back(this->line.front().name);
        this->grant(now, this->line.front());
        this->line.erase(this->line.begin());
    }
    return turns;
}

Duration BodyGrants::transferTime(std::uint64_t bytes) const
{
    if (!this->isLimited())
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / this->settings.bytesPerSecond));
}

Duration BodyGrants::expectedDelay(std::uint64_t bytes, std::uint32_t priority) const
{
    std::uint64_t before = this->grantedBytes + bytes;
    for (const Body &body : this->line) {
        if (body.priority <= priority)
            before += body.bytes;
    }
    return this->transferTime(before);
}

std::optional<Instant> BodyGrants::nextExpiry() const
{
    if (this->granted.empty())
        return std::nullopt;
    return this->granted.front().expires;
}

// One body always fits: it may be larger than what the link carries ahead.
bool BodyGrants::fits(std::uint64_t bytes) const
{
    return this->granted.empty()
           || this->transferTime(this->grantedBytes + bytes) <= this->settings.inFlightTime;
}

void BodyGrants::grant(Instant now, Body body)
{
    body.expires = now + this->settings.grantLifetime + this->transferTime(body.bytes);
    const auto place = std::ranges::upper_bound(this->granted, body.expires, {}, &Body::expires);
    this->granted.insert(place, body);
    this->grantedBytes += body.bytes;
}

} // namespace Sagecrank
