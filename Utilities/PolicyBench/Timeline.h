// The events of a fake run in the order of their time. There is no clock: time is what the next event says.
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
    // Commands.

    // Events of the same moment run in the order in which they were added.
    void at(Instant when, std::function<void()> callback)
    {
        this->events.push_back(Event{std::max(when, this->current), this->nextOrder++, std::move(callback)});
        std::push_heap(this->events.begin(), this->events.end(), later);
    }

    void after(Duration delay, std::function<void()> callback)
    {
        this->at(this->current + delay, std::move(callback));
    }

    // Runs until nothing is left.
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

    // Queries.

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

    std::vector<Event> events; // A heap with the soonest on top.
    Instant current{};
    std::uint64_t nextOrder = 0;
};

} // namespace Sagecrank
