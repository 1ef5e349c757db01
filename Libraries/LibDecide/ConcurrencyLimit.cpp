// Additive increase, multiplicative decrease within the announced slots.
#include <LibDecide/ConcurrencyLimit.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// Factor applied to the limit after a shed call. Each call shed by an upstream that bears less than it
// announced costs a transfer and a slot for nothing. A decrease by a third finds the right level in a few
// steps and leaves most of the capacity in use if the overload was transient.
constexpr double decreaseFactor = 0.7;

// Slots added per round of successes. With a whole slot, an upstream that stays below its announced slots
// would shed a call, which may have waited, in every other round.
constexpr double increasePerRound = 0.1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
    : announcedSlots(slots)
    , currentLimit(std::max(1U, slots))
{
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == this->announcedSlots)
        return;
    const bool wasFull = this->currentLimit >= this->announcedSlots;
    this->announcedSlots = slots;
    const double maximum = std::max(1U, slots);
    this->currentLimit = wasFull ? maximum : std::min(this->currentLimit, maximum);
}

void ConcurrencyLimit::recordSuccess(bool atLimit)
{
    if (!atLimit)
        return;
    const double maximum = std::max(1U, this->announcedSlots);
    this->currentLimit = std::min(maximum, this->currentLimit + increasePerRound / this->currentLimit);
}

void ConcurrencyLimit::recordShed(Instant now, Duration runTime)
{
    // Calls that ran at the same time are shed together, so they count as one overload signal.
    if (this->lastDecreaseAt != Instant::min() && now - this->lastDecreaseAt < runTime)
        return;
    this->lastDecreaseAt = now;
    this->currentLimit = std::max(1.0, this->currentLimit * decreaseFactor);
}

std::uint32_t ConcurrencyLimit::value() const
{
    return std::min(this->announcedSlots, static_cast<std::uint32_t>(this->currentLimit));
}

std::uint32_t ConcurrencyLimit::slots() const
{
    return this->announcedSlots;
}

} // namespace Sagecrank
