// Hands out slots in FIFO order.
#include <UpstreamEmulator/SlotPool.h>

#include <algorithm>

namespace Sagecrank {

SlotDecision SlotPool::admit(std::uint64_t call)
{
    if (this->runningCalls < this->slots) {
        ++this->runningCalls;
        return SlotDecision::Start;
    }
    if (this->queue.size() >= this->maximumWaiting)
        return SlotDecision::Shed;
    this->queue.push_back(call);
    return SlotDecision::Wait;
}

std::optional<std::uint64_t> SlotPool::release()
{
    if (this->queue.empty()) {
        --this->runningCalls;
        return std::nullopt;
    }
    const std::uint64_t next = this->queue.front();
    this->queue.pop_front();
    return next;
}

bool SlotPool::removeWaiting(std::uint64_t call)
{
    const auto found = std::find(this->queue.begin(), this->queue.end(), call);
    if (found == this->queue.end())
        return false;
    this->queue.erase(found);
    return true;
}

} // namespace Sagecrank
