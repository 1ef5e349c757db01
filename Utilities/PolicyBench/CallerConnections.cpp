// Implements CallerConnections.h.
#include <PolicyBench/CallerConnections.h>

#include <utility>

namespace Sagecrank {

namespace {

// Stated by the users for their networks.
constexpr Duration connectTime = std::chrono::milliseconds(1);

} // namespace

CallerConnections::CallerConnections(Timeline &timeline, std::uint32_t limit)
    : timeline(timeline)
    , limit(limit)
{
}

void CallerConnections::acquire(Instant deadline, std::function<void()> onAcquired,
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
    const auto waiter = std::make_shared<Waiter>(Waiter{std::move(onAcquired), false});
    this->waiting.push_back(waiter);
    this->timeline.at(deadline, [waiter, onTimeout = std::move(onTimeout)] {
        if (waiter->finished)
            return;
        waiter->finished = true;
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
