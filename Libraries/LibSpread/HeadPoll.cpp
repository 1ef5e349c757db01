// Intervals of head reads.
#include <LibSpread/HeadPoll.h>

#include <algorithm>

namespace Sagecrank {

HeadPoll::HeadPoll(HeadPollSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

Duration HeadPoll::firstDelay(bool hasView)
{
    const Duration spread = hasView ? this->settings.firstSpread : this->settings.blindSpread;
    return this->jittered(spread / 2, 1.0);
}

// A table that is down is asked ever less often, up to the longest backoff: an answer to nobody costs it as
// much as an answer to somebody, and once it is back the head is still read within the seven seconds of most
// changes.
Duration HeadPoll::nextDelay(std::uint32_t rank)
{
    if (!this->isFast(rank))
        return this->jittered(this->settings.slowInterval, 0.5);
    constexpr std::uint32_t largestShift = 6;
    const auto factor = std::int64_t{1} << std::min(this->failures, largestShift);
    const Duration interval = std::min(this->settings.longestBackoff, this->settings.fastInterval * factor);
    return this->jittered(interval, this->failures == 0 ? 0.1 : 0.5);
}

Duration HeadPoll::jittered(Duration interval, double spread)
{
    std::uniform_real_distribution<double> share(1.0 - spread, 1.0 + spread);
    return std::chrono::duration_cast<Duration>(interval * share(this->random));
}

} // namespace Sagecrank
