// Retry safety, the retry budget and the hedging delay.
#include <LibDecide/Retry.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// Time constant with which first attempts lose their weight in the budget.
constexpr double budgetWindowSeconds = 10.0;

// A twentieth of the window.
constexpr Duration sliceLength = std::chrono::milliseconds(500);

// Buckets start at 10 microseconds and grow by 10%; 160 of them reach 40 seconds.
constexpr double firstBucketSeconds = 1e-5;
constexpr double bucketGrowth = 1.1;

constexpr double hedgeQuantile = 0.95;

// With fewer observations, the 95th percentile would be a single one.
constexpr float minimumObservations = 40;

// After this many observations, the weight of all earlier ones is halved.
constexpr std::uint32_t observationsPerDecay = 500;

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

void RetryBudget::recordFirstAttempt(Instant now, std::uint64_t kind)
{
    this->refill(now);
    this->recentFirstAttempts += 1;
    this->all.recordFirstAttempt(now);
    if (AttemptWindow *window = this->obtainKind(kind))
        window->recordFirstAttempt(now);
    this->tokens =
        std::min(this->tokens + this->share, this->reserve + this->share * this->recentFirstAttempts);
}

bool RetryBudget::tryAcquireRetry(Instant now, std::uint64_t kind)
{
    this->refill(now);
    AttemptWindow *window = this->obtainKind(kind);
    if (this->tokens < 1 || !this->all.allowsRetry(now, this->share, this->reserve))
        return false;
    if (window != nullptr && !window->allowsRetry(now, this->share, this->reserve))
        return false;
    this->tokens -= 1;
    this->all.recordRetry(now);
    if (window != nullptr)
        window->recordRetry(now);
    return true;
}

// Kinds beyond the limit are bounded by the service's window only.
AttemptWindow *RetryBudget::obtainKind(std::uint64_t kind)
{
    constexpr std::size_t maximumKinds = 64; // About 20 KB for a service.
    const auto found = this->kinds.find(kind);
    if (found != this->kinds.end())
        return &found->second;
    return this->kinds.size() < maximumKinds ? &this->kinds[kind] : nullptr;
}

AttemptWindow::Slice &AttemptWindow::sliceAt(Instant now)
{
    const std::int64_t number = now.time_since_epoch() / sliceLength;
    Slice &slice = this->slices[static_cast<std::size_t>(number) % sliceCount];
    if (slice.number != number)
        slice = Slice{number, 0, 0};
    return slice;
}

bool AttemptWindow::allowsRetry(Instant now, double share, double reserve) const
{
    const std::int64_t newest = now.time_since_epoch() / sliceLength;
    double firstAttempts = 0;
    double retries = 0;
    for (const Slice &slice : this->slices) {
        if (slice.number <= newest - static_cast<std::int64_t>(sliceCount))
            continue;
        firstAttempts += slice.firstAttempts;
        retries += slice.retries;
    }
    return retries + 1 <= reserve + share * firstAttempts;
}

// Unused tokens decay with the first attempts that earned them; the reserve is replenished once per window.
void RetryBudget::refill(Instant now)
{
    const Instant from = this->refilledAt.value_or(now);
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - from).count());
    this->refilledAt = now;
    this->recentFirstAttempts *= std::exp(-elapsed / budgetWindowSeconds);
    const double maximum = this->reserve + this->share * this->recentFirstAttempts;
    this->tokens = std::min(this->tokens + this->reserve * elapsed / budgetWindowSeconds, maximum);
}

void HedgeDelay::observe(Duration latency)
{
    const double seconds = std::max(firstBucketSeconds, std::chrono::duration<double>(latency).count());
    const double position = std::log(seconds / firstBucketSeconds) / std::log(bucketGrowth);
    const auto bucket = std::min(bucketCount - 1, static_cast<std::size_t>(position));
    this->counts[bucket] += 1;
    this->total += 1;
    if (++this->observationsSinceDecay < observationsPerDecay)
        return;
    this->observationsSinceDecay = 0;
    this->total /= 2;
    for (float &count : this->counts)
        count /= 2;
}

std::optional<Duration> HedgeDelay::delay() const
{
    if (this->total < minimumObservations)
        return std::nullopt;
    double below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount && below + this->counts[bucket] < hedgeQuantile * this->total)
        below += this->counts[bucket++];
    const double upperEdge = firstBucketSeconds * std::pow(bucketGrowth, static_cast<double>(bucket + 1));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upperEdge));
}

} // namespace Sagecrank
