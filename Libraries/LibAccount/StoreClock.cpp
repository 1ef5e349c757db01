// Narrows the offset between both clocks with each answer of the store.
#include <LibAccount/StoreClock.h>

#include <algorithm>
#include <ctime>

namespace Sagecrank {

namespace {

// Two clocks drift by up to 0.1 ms a second, and an offset is widened by that over the time between answers.
// A store clock that is set back moves by far more.
constexpr BootTime driftTolerance = std::chrono::milliseconds(100);

} // namespace

BootTime bootTimeNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

bool StoreClock::observe(BootTime sent, BootTime received, StoreTime time)
{
    const BootTime lowest = sent - time;
    const BootTime highest = received - time;
    const bool isFirst = !this->lowestOffset;
    const bool jumped =
        !isFirst
        && (lowest > this->highestOffset + driftTolerance || highest + driftTolerance < *this->lowestOffset);
    // Drift moves the true offset out of an old interval; the newer answer is then the better one.
    const bool overlaps = !isFirst && lowest <= this->highestOffset && highest >= *this->lowestOffset;
    this->lowestOffset = overlaps ? std::max(*this->lowestOffset, lowest) : lowest;
    this->highestOffset = overlaps ? std::min(this->highestOffset, highest) : highest;
    return !jumped;
}

std::optional<BootTime> StoreClock::earliest(StoreTime time) const
{
    if (!this->lowestOffset)
        return std::nullopt;
    return time + *this->lowestOffset;
}

} // namespace Sagecrank
