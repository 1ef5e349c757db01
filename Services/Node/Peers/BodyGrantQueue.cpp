// Asking, ending, and telling turns to the threads that wait for them.
#include "BodyGrantQueue.h"

#include <boost/asio/post.hpp>

namespace Sagecrank {

BodyLine::Name BodyLine::nextName()
{
    const std::lock_guard guard(this->mutex);
    return ++this->lastName;
}

BodyGrantResult BodyLine::ask(boost::asio::io_context &context, Name name, std::uint64_t bytes,
                              std::uint32_t priority, TurnHook turn)
{
    const std::lock_guard guard(this->mutex);
    this->tellTurns();
    const BodyGrantResult answer = this->grants.request(SteadyClock::now(), name, bytes, priority);
    if (answer == BodyGrantResult::Queued)
        this->waiting.emplace(name, Waiting{&context, std::move(turn)});
    return answer;
}

void BodyLine::end(Name name)
{
    const std::lock_guard guard(this->mutex);
    this->grants.release(name);
    this->waiting.erase(name);
    this->tellTurns();
}

void BodyLine::advance()
{
    const std::lock_guard guard(this->mutex);
    this->tellTurns();
}

Duration BodyLine::expected(std::uint64_t bytes, std::uint32_t priority) const
{
    const std::lock_guard guard(this->mutex);
    return this->grants.expectedDelay(bytes, priority);
}

std::optional<Instant> BodyLine::nextExpiry() const
{
    const std::lock_guard guard(this->mutex);
    return this->grants.nextExpiry();
}

void BodyLine::tellTurns()
{
    for (const Name name : this->grants.advance(SteadyClock::now())) {
        const auto found = this->waiting.find(name);
        if (found == this->waiting.end())
            continue;
        boost::asio::post(*found->second.context, std::move(found->second.turn));
        this->waiting.erase(found);
    }
}

} // namespace Sagecrank
