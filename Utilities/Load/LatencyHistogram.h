// A histogram of latencies in nanoseconds. Quantiles have a relative error of at most 0.4%.
#pragma once

#include <LibCore/Time.h>
#include <LibObserve/LogHistogram.h>

#include <cstdint>
#include <vector>

namespace Sagecrank {

class LatencyHistogram
{
public:
    LatencyHistogram()
        : counts(Buckets::count)
    {
    }

    void record(Duration latency);
    void merge(const LatencyHistogram &other);

    std::uint64_t count() const { return this->total; }
    // The smallest value that at least `share` of the recorded values do not exceed; zero if none was
    // recorded.
    Duration quantile(double share) const;

private:
    using Buckets = LogBuckets<7, 40>;

    std::vector<std::uint64_t> counts;
    std::uint64_t total = 0;
};

} // namespace Sagecrank
