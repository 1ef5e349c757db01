// Tracks granted bytes in flight and the queue of waiting bodies.
#include <LibDecide/BodyGrants.h>

#include <algorithm>

namespace Sagecrank {

BodyGrantResult BodyGrants::request(Instant now, BodyId id, std::uint64_t bytes, std::uint32_t priority)
{
    if (!this->isLimited())
        return BodyGrantResult::Granted;
    const Body body{id, bytes, priority, now};
    if (this->queue.empty() && this->fits(bytes)) {
        this->grant(now, body);
        return BodyGrantResult::Granted;
    }
    if (this->queue.size() >= this->settings.maximumQueued)
        return BodyGrantResult::QueueFull;
    const auto position = std::ranges::upper_bound(this->queue, priority, {}, &Body::priority);
    this->queue.insert(position, body);
    return BodyGrantResult::Queued;
}

void BodyGrants::release(BodyId id)
{
    std::erase_if(this->queue, [id](const Body &body) { return body.id == id; });
    const auto found = std::ranges::find(this->granted, id, &Body::id);
    if (found == this->granted.end())
        return;
    this->grantedBytes -= found->bytes;
    this->granted.erase(found);
}

std::vector<BodyGrants::BodyId> BodyGrants::advance(Instant now)
{
    while (!this->granted.empty() && this->granted.front().expires <= now)
        this->release(this->granted.front().id);
    std::vector<BodyId> newlyGranted;
    while (!this->queue.empty() && this->fits(this->queue.front().bytes)) {
        newlyGranted.push_back(this->queue.front().id);
        this->grant(now, this->queue.front());
        this->queue.erase(this->queue.begin());
    }
    return newlyGranted;
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
    std::uint64_t bytesAhead = this->grantedBytes + bytes;
    for (const Body &body : this->queue) {
        if (body.priority <= priority)
            bytesAhead += body.bytes;
    }
    return this->transferTime(bytesAhead);
}

std::optional<Instant> BodyGrants::nextExpiry() const
{
    if (this->granted.empty())
        return std::nullopt;
    return this->granted.front().expires;
}

// A single body is always admitted, since it may be larger than the in-flight limit.
bool BodyGrants::fits(std::uint64_t bytes) const
{
    return this->granted.empty()
           || this->transferTime(this->grantedBytes + bytes) <= this->settings.inFlightTime;
}

void BodyGrants::grant(Instant now, Body body)
{
    body.expires = now + this->settings.grantLifetime + this->transferTime(body.bytes);
    const auto position = std::ranges::upper_bound(this->granted, body.expires, {}, &Body::expires);
    this->granted.insert(position, body);
    this->grantedBytes += body.bytes;
}

} // namespace Sagecrank
