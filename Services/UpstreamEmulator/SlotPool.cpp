// First come, first served.
#include <UpstreamEmulator/SlotPool.h>

#include <algorithm>

namespace Sagecrank {

SlotVerdict SlotPool::arrive(std::uint64_t call)
{
    if (this->busy < this->slots) {
        ++this->busy;
        return SlotVerdict::Start;
    }
    if (this->line.size() >= this->maximumWaiting)
        return SlotVerdict::Shed;
    this->line.push_back(call);
    return SlotVerdict::Wait;
}

std::optional<std::uint64_t> SlotPool::finish()
{
    if (this->line.empty()) {
        --this->busy;
        return std::nullopt;
    }
    const std::uint64_t next = this->line.front();
    this->line.pop_front();
    return next;
}

bool SlotPool::leave(std::uint64_t call)
{
    const auto found = std::find(this->line.begin(), this->line.end(), call);
    if (found == this->line.end())
        return false;
    this->line.erase(found);
    return true;
}

} // namespace Sagecrank
