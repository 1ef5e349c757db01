// Exponentially weighted means and deviations of run times.
#include <LibDecide/RunTimes.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// Run time in seconds assumed until a call of the class has ended. Small, so that a wrong guess admits rather
// than refuses.
constexpr double initialRunTimeSeconds = 0.002;

// Weight of one observation, so that about the last 60 calls count. A higher weight makes the estimate
// fluctuate, and the queue overfills whenever it happens to be low.
constexpr double minimumWeight = 0.03;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void RunTimes::observe(CallClass callClass, Duration took)
{
    Estimate &estimate = this->estimates[static_cast<std::size_t>(callClass)];
    const double seconds = std::chrono::duration<double>(took).count();
    if (estimate.observations == 0) {
        estimate = Estimate{seconds, seconds / 2, 1};
        return;
    }
    estimate.observations += 1;
    const double weight = std::max(minimumWeight, 1.0 / estimate.observations);
    const double distance = std::abs(seconds - estimate.mean);
    estimate.mean += weight * (seconds - estimate.mean);
    estimate.deviation += weight * (distance - estimate.deviation);
}

Duration RunTimes::mean(CallClass callClass) const
{
    return fromSeconds(this->of(callClass).observations > 0 ? this->of(callClass).mean
                                                            : initialRunTimeSeconds);
}

Duration RunTimes::optimistic(CallClass callClass) const
{
    const Estimate &estimate = this->of(callClass);
    if (estimate.observations == 0)
        return Duration::zero();
    return fromSeconds(std::max(0.0, estimate.mean - 2 * estimate.deviation));
}

const RunTimes::Estimate &RunTimes::of(CallClass callClass) const
{
    return this->estimates[static_cast<std::size_t>(callClass)];
}

} // namespace Sagecrank
