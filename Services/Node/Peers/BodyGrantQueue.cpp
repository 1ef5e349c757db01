// Implements requesting and releasing grants, and notifying the waiting threads.
#include "BodyGrantQueue.h"

#include <boost/asio/post.hpp>

namespace Sagecrank {

BodyGrantQueue::Id BodyGrantQueue::nextId()
{
    const std::lock_guard guard(this->mutex);
    return ++this->lastId;
}

BodyGrantResult BodyGrantQueue::request(boost::asio::io_context &context, Id id, std::uint64_t bytes,
                                        std::uint32_t priority, GrantCallback onGranted)
{
    const std::lock_guard guard(this->mutex);
    this->notifyGranted();
    const BodyGrantResult answer = this->grants.request(SteadyClock::now(), id, bytes, priority);
    if (answer == BodyGrantResult::Queued)
        this->waiting.emplace(id, Waiting{&context, std::move(onGranted)});
    return answer;
}

void BodyGrantQueue::release(Id id)
{
    const std::lock_guard guard(this->mutex);
    this->grants.release(id);
    this->waiting.erase(id);
    this->notifyGranted();
}

void BodyGrantQueue::advance()
{
    const std::lock_guard guard(this->mutex);
    this->notifyGranted();
}

Duration BodyGrantQueue::expectedWait(std::uint64_t bytes, std::uint32_t priority) const
{
    const std::lock_guard guard(this->mutex);
    return this->grants.expectedDelay(bytes, priority);
}

std::optional<Instant> BodyGrantQueue::nextExpiry() const
{
    const std::lock_guard guard(this->mutex);
    return this->grants.nextExpiry();
}

void BodyGrantQueue::notifyGranted()
{
    for (const Id id : this->grants.advance(SteadyClock::now())) {
        const auto found = this->waiting.find(id);
        if (found == this->waiting.end())
            continue;
        boost::asio::post(*found->second.context, std::move(found->second.onGranted));
        this->waiting.erase(found);
    }
}

} // namespace Sagecrank
