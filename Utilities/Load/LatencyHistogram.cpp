// Implements LatencyHistogram.h.
#include <Load/LatencyHistogram.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

void LatencyHistogram::record(Duration latency)
{
    const auto nanoseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    ++this->counts[Buckets::index(nanoseconds)];
    ++this->total;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    for (std::size_t bucket = 0; bucket < this->counts.size(); ++bucket)
        this->counts[bucket] += other.counts[bucket];
    this->total += other.total;
}

Duration LatencyHistogram::quantile(double share) const
{
    if (this->total == 0)
        return Duration::zero();
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(this->total))));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t bucket = 0; bucket < this->counts.size(); ++bucket) {
        cumulativeCount += this->counts[bucket];
        if (cumulativeCount >= rank)
            return Duration(static_cast<Duration::rep>(Buckets::value(bucket)));
    }
    return Duration::zero();
}

} // namespace Sagecrank
