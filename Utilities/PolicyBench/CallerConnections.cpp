// Handing out a host's connections.
#include <PolicyBench/CallerConnections.h>

#include <utility>

namespace Sagecrank {

namespace {

// As the users gave it for their networks.
constexpr Duration openingTakes = std::chrono::milliseconds(1);

} // namespace

CallerConnections::CallerConnections(Timeline &timeline, std::uint32_t limit)
    : timeline(timeline)
    , limit(limit)
{
}

void CallerConnections::obtain(Instant until, std::function<void()> use, std::function<void()> without)
{
    if (this->idle > 0) {
        this->idle -= 1;
        return use();
    }
    if (this->open < this->limit) {
        this->open += 1;
        return this->timeline.after(openingTakes, std::move(use));
    }
    const auto caller = std::make_shared<Waiting>(Waiting{std::move(use), false});
    this->waiting.push_back(caller);
    this->timeline.at(until, [caller, without = std::move(without)] {
        if (caller->over)
            return;
        caller->over = true;
        without();
    });
}

void CallerConnections::giveBack()
{
    while (!this->waiting.empty()) {
        const std::shared_ptr<Waiting> next = this->waiting.front();
        this->waiting.pop_front();
        if (next->over)
            continue;
        next->over = true;
        return next->use();
    }
    this->idle += 1;
}

} // namespace Sagecrank
