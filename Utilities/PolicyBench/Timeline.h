// The event queue of a simulation, ordered by time. Simulated time advances to the time of the next event.
#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace Sagecrank {

class Timeline
{
public:
    // Events at the same time run in the order in which they were added.
    void at(Instant when, std::function<void()> callback)
    {
        this->events.push_back(Event{std::max(when, this->current), this->nextOrder++, std::move(callback)});
        std::push_heap(this->events.begin(), this->events.end(), later);
    }

    void after(Duration delay, std::function<void()> callback)
    {
        this->at(this->current + delay, std::move(callback));
    }

    // Runs until no events are left.
    void run()
    {
        while (!this->events.empty()) {
            std::pop_heap(this->events.begin(), this->events.end(), later);
            Event event = std::move(this->events.back());
            this->events.pop_back();
            this->current = event.when;
            event.callback();
        }
    }

    Instant now() const { return this->current; }

private:
    struct Event
    {
        Instant when;
        std::uint64_t order;
        std::function<void()> callback;
    };

    static bool later(const Event &left, const Event &right)
    {
        return std::pair(left.when, left.order) > std::pair(right.when, right.order);
    }

    std::vector<Event> events; // A heap with the earliest event on top.
    Instant current{};
    std::uint64_t nextOrder = 0;
};

} // namespace Sagecrank
