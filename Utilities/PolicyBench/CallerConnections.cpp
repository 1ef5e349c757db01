// Handing out a host's connections.
#include <PolicyBench/CallerConnections.h>

#include <utility>

namespace Sagecrank {

namespace {

// As the users gave it for their networks.
constexpr Duration connectTime = std::chrono::milliseconds(1);

} // namespace

CallerConnections::CallerConnections(Timeline &timeline, std::uint32_t limit)
    : timeline(timeline)
    , limit(limit)
{
}

void CallerConnections::acquire(Instant until, std::function<void()> onAcquired,
                                std::function<void()> onTimeout)
{
    if (this->idle > 0) {
        this->idle -= 1;
        return onAcquired();
    }
    if (this->open < this->limit) {
        this->open += 1;
        return this->timeline.after(connectTime, std::move(onAcquired));
    }
    const auto caller = std::make_shared<Waiter>(Waiter{std::move(onAcquired), false});
    this->waiting.push_back(caller);
    this->timeline.at(until, [caller, onTimeout = std::move(onTimeout)] {
        if (caller->finished)
            return;
        caller->finished = true;
        onTimeout();
    });
}

void CallerConnections::release()
{
    while (!this->waiting.empty()) {
        const std::shared_ptr<Waiter> next = this->waiting.front();
        this->waiting.pop_front();
        if (next->finished)
            continue;
        next->finished = true;
        return next->onAcquired();
    }
    this->idle += 1;
}

} // namespace Sagecrank
