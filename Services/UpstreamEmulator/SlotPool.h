// The slots of an upstream and the line of calls inside it that wait for one. No sockets, no clock; the
// owner guards it when several threads use it.
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
    // Frees one slot and names the call that takes it; that call starts now.
    std::optional<std::uint64_t> release();
    // Takes a call out of the line; false when it is not waiting there.
    bool removeWaiting(std::uint64_t call);

private:
    std::size_t slots;
    std::size_t maximumWaiting;
    std::size_t runningCalls = 0; // At most `slots`; the line is empty unless all are busy.
    std::deque<std::uint64_t> queue;
};

} // namespace Sagecrank
