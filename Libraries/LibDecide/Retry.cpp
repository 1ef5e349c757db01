// Retry budget, hedging delay and the rule for sending again.
#include <LibDecide/Retry.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// First tries count towards the budget for about this long.
constexpr double budgetWindow = 10.0;

// A twentieth of the window.
constexpr Duration sliceLength = std::chrono::milliseconds(500);

// Latency buckets grow by a tenth from 10 microseconds; 160 of them reach 40 seconds.
constexpr double firstBucket = 1e-5;
constexpr double bucketGrowth = 1.1;

constexpr double hedgeQuantile = 0.95;

// Below this many answers the 95th percentile is a single observation.
constexpr float fewestObservations = 40;

// Every so many answers the older ones lose half of their weight.
constexpr std::uint32_t observationsPerFade = 500;

} // namespace

bool isRetrySafe(CallPhase phase, bool idempotent, bool refusedNotRun)
{
    if (phase == CallPhase::NotSent || refusedNotRun)
        return true;
    return idempotent;
}

RetryBudget::RetryBudget(double share, double reserve)
    : share(share)
    , reserve(reserve)
    , tokens(reserve)
{
}

void RetryBudget::recordFirstAttempt(Instant now)
{
    this->refill(now);
    this->recentTries += 1;
    this->sliceAt(now).firstTries += 1;
    this->tokens = std::min(this->tokens + this->share, this->reserve + this->share * this->recentTries);
}

bool RetryBudget::tryAcquireRetry(Instant now)
{
    this->refill(now);
    if (this->tokens < 1 || !this->windowAllows(now))
        return false;
    this->tokens -= 1;
    this->sliceAt(now).retries += 1;
    return true;
}

RetryBudget::Slice &RetryBudget::sliceAt(Instant now)
{
    const std::int64_t number = now.time_since_epoch() / sliceLength;
    Slice &slice = this->slices[static_cast<std::size_t>(number) % sliceCount];
    if (slice.number != number)
        slice = Slice{number, 0, 0};
    return slice;
}

bool RetryBudget::windowAllows(Instant now)
{
    const std::int64_t newest = now.time_since_epoch() / sliceLength;
    double firstTries = 0;
    double retries = 0;
    for (const Slice &slice : this->slices) {
        if (slice.number <= newest - static_cast<std::int64_t>(sliceCount))
            continue;
        firstTries += slice.firstTries;
        retries += slice.retries;
    }
    return retries + 1 <= this->reserve + this->share * firstTries;
}

// Unused budget fades with the first tries that earned it; the reserve comes back once a window.
void RetryBudget::refill(Instant now)
{
    const Instant from = this->refilledAt.value_or(now);
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - from).count());
    this->refilledAt = now;
    this->recentTries *= std::exp(-elapsed / budgetWindow);
    const double top = this->reserve + this->share * this->recentTries;
    this->tokens = std::min(this->tokens + this->reserve * elapsed / budgetWindow, top);
}

void HedgeDelay::observe(Duration took)
{
    const double seconds = std::max(firstBucket, std::chrono::duration<double>(took).count());
    const double position = std::log(seconds / firstBucket) / std::log(bucketGrowth);
    const auto bucket = std::min(bucketCount - 1, static_cast<std::size_t>(position));
    this->counts[bucket] += 1;
    this->total += 1;
    if (++this->sinceFade < observationsPerFade)
        return;
    this->sinceFade = 0;
    this->total /= 2;
    for (float &count : this->counts)
        count /= 2;
}

std::optional<Duration> HedgeDelay::delay() const
{
    if (this->total < fewestObservations)
        return std::nullopt;
    double below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount && below + this->counts[bucket] < hedgeQuantile * this->total)
        below += this->counts[bucket++];
    const double upperEdge = firstBucket * std::pow(bucketGrowth, static_cast<double>(bucket + 1));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upperEdge));
}

} // namespace Sagecrank
