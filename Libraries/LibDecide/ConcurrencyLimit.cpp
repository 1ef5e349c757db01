// Additive increase, multiplicative decrease within the announced slots.
#include <LibDecide/ConcurrencyLimit.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// A shed takes this share of the limit away. Load: an upstream that bears less than it announced. Harm: each
// call it sheds cost a transfer and a slot for nothing. A third less finds the level in a few steps and
// leaves most of the capacity in use when the shed was a passing one.
constexpr double decrease = 0.7;

// A round of successes adds a tenth of a slot. Load: an upstream that goes on bearing less than it announced.
// Harm of a whole slot: every other round sheds a call, which may have waited in vain.
constexpr double increase = 0.1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
    : announced(slots)
    , current(std::max(1U, slots))
{
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == this->announced)
        return;
    const bool wasFull = this->current >= this->announced;
    this->announced = slots;
    const double top = std::max(1U, slots);
    this->current = wasFull ? top : std::min(this->current, top);
}

void ConcurrencyLimit::recordSuccess(bool busy)
{
    if (!busy)
        return;
    const double top = std::max(1U, this->announced);
    this->current = std::min(top, this->current + increase / this->current);
}

void ConcurrencyLimit::recordShed(Instant now, Duration runTime)
{
    // The calls of one round shed together; they are one piece of news, not several.
    if (this->loweredAt != Instant::min() && now - this->loweredAt < runTime)
        return;
    this->loweredAt = now;
    this->current = std::max(1.0, this->current * decrease);
}

std::uint32_t ConcurrencyLimit::value() const
{
    return std::min(this->announced, static_cast<std::uint32_t>(this->current));
}

std::uint32_t ConcurrencyLimit::slots() const
{
    return this->announced;
}

} // namespace Sagecrank
