// Implements LoadStatistics.h.
#include <Load/LoadStatistics.h>

namespace Sagecrank {

std::uint64_t KindStatistics::total() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : this->outcomes)
        sum += count;
    return sum;
}

void KindStatistics::merge(const KindStatistics &other)
{
    for (std::size_t at = 0; at < this->outcomes.size(); ++at)
        this->outcomes[at] += other.outcomes[at];
    for (const auto &[reason, count] : other.reasons)
        this->reasons[reason] += count;
    this->retries += other.retries;
    this->withinDeadline += other.withinDeadline;
    this->replayed += other.replayed;
    this->doneLatency.merge(other.doneLatency);
    this->refusedLatency.merge(other.refusedLatency);
}

KindStatistics LoadStatistics::mergedKinds(TrafficPath trafficPath) const
{
    KindStatistics sum;
    for (const KindStatistics &kind : this->byTrafficPath[static_cast<std::size_t>(trafficPath)])
        sum.merge(kind);
    return sum;
}

void LoadStatistics::merge(const LoadStatistics &other)
{
    for (std::size_t trafficPath = 0; trafficPath < this->byTrafficPath.size(); ++trafficPath) {
        for (std::size_t kind = 0; kind < this->byTrafficPath[trafficPath].size(); ++kind)
            this->byTrafficPath[trafficPath][kind].merge(other.byTrafficPath[trafficPath][kind]);
    }
    this->sendLag.merge(other.sendLag);
}

FinalOutcome classifyResponse(const Response &response)
{
    if (response.outcome == "not-run")
        return FinalOutcome::NotRun;
    if (response.outcome == "unknown" || (response.outcome.empty() && response.status == 504))
        return FinalOutcome::Unknown;
    return response.status >= 500 ? FinalOutcome::Failed : FinalOutcome::Done;
}

} // namespace Sagecrank
