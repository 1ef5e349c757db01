// An upstream's slots and the queue of calls that wait for one. Uses neither sockets nor clocks. Not
// thread-safe; the owner locks it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Sagecrank {

enum class SlotDecision { Start, Wait, Shed };

class SlotPool
{
public:
    SlotPool(std::size_t slots, std::size_t maximumWaiting)
        : slots(slots)
        , maximumWaiting(maximumWaiting)
    {
    }

    std::size_t running() const { return this->runningCalls; }
    std::size_t waiting() const { return this->queue.size(); }

    SlotDecision admit(std::uint64_t call);
    // Releases one slot. Returns the waiting call that takes it over, which must start now.
    std::optional<std::uint64_t> release();
    // Removes a call from the queue; returns false if it is not queued.
    bool removeWaiting(std::uint64_t call);

private:
    std::size_t slots;
    std::size_t maximumWaiting;
    std::size_t runningCalls = 0; // At most `slots`; the queue is empty unless all slots are taken.
    std::deque<std::uint64_t> queue;
};

} // namespace Sagecrank
