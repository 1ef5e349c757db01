// Adding up and judging.
#include <Load/LoadStatistics.h>

namespace Sagecrank {

std::uint64_t KindTally::total() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : this->outcomes)
        sum += count;
    return sum;
}

void KindTally::merge(const KindTally &other)
{
    for (std::size_t at = 0; at < this->outcomes.size(); ++at)
        this->outcomes[at] += other.outcomes[at];
    for (const auto &[reason, count] : other.reasons)
        this->reasons[reason] += count;
    this->retries += other.retries;
    this->inTime += other.inTime;
    this->replayed += other.replayed;
    this->done.merge(other.done);
    this->refused.merge(other.refused);
}

KindTally Tally::whole(Way way) const
{
    KindTally sum;
    for (const KindTally &kind : this->ways[static_cast<std::size_t>(way)])
        sum.merge(kind);
    return sum;
}

void Tally::merge(const Tally &other)
{
    for (std::size_t way = 0; way < this->ways.size(); ++way) {
        for (std::size_t kind = 0; kind < this->ways[way].size(); ++kind)
            this->ways[way][kind].merge(other.ways[way][kind]);
    }
    this->sendLag.merge(other.sendLag);
}

FinalOutcome judgeAnswer(const Answer &answer)
{
    if (answer.outcome == "not-run")
        return FinalOutcome::NotRun;
    if (answer.outcome == "unknown" || (answer.outcome.empty() && answer.status == 504))
        return FinalOutcome::Unknown;
    return answer.status >= 500 ? FinalOutcome::Failed : FinalOutcome::Done;
}

} // namespace Sagecrank
