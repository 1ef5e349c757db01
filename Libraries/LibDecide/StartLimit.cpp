// Counts the tokens of a start limit.
#include <LibDecide/StartLimit.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Sagecrank {

namespace {

// An upstream that gets no calls gives no answers, so nothing would show that it takes calls again. Even one
// that names a limit of zero gets a call every two seconds.
constexpr double minimumCallsPerSecond = 0.5;

// Tolerance for rounding: a call may start at the time that timeUntil() gives.
constexpr double roundingTolerance = 1e-6;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

StartLimit::StartLimit(Duration burst)
    : burst(burst)
{
}

void StartLimit::setRate(Instant now, std::optional<double> callsPerSecond)
{
    this->tokens = this->rate ? this->tokensAt(now) : 0;
    this->countedAt = now;
    this->rate = callsPerSecond;
    if (this->rate)
        this->rate = std::max(*this->rate, minimumCallsPerSecond);
}

void StartLimit::recordStart(Instant now)
{
    if (!this->rate)
        return;
    this->tokens = this->tokensAt(now) - 1;
    this->countedAt = now;
}

std::uint32_t StartLimit::available(Instant now) const
{
    constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();
    if (!this->rate)
        return unlimited;
    const double whole = std::floor(this->tokensAt(now) + roundingTolerance);
    return static_cast<std::uint32_t>(std::clamp(whole, 0.0, static_cast<double>(unlimited)));
}

Duration StartLimit::interval() const
{
    if (!this->rate)
        return Duration::zero();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(1 / *this->rate));
}

Duration StartLimit::timeUntil(Instant now, std::uint32_t calls) const
{
    if (!this->rate)
        return Duration::zero();
    const double missing = std::max(0.0, calls - this->tokensAt(now));
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / *this->rate));
}

double StartLimit::capacity() const
{
    return std::max(1.0, *this->rate * toSeconds(this->burst));
}

double StartLimit::tokensAt(Instant now) const
{
    const double earned = toSeconds(now - this->countedAt) * *this->rate;
    return std::min(this->tokens + std::max(0.0, earned), this->capacity());
}

} // namespace Sagecrank
