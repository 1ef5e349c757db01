// Implements Outcome.h.
#include <PolicyBench/Outcome.h>

#include <algorithm>

namespace Sagecrank {

void ClassOutcome::add(const ClassOutcome &other)
{
    this->callers += other.callers;
    this->inTime += other.inTime;
    this->served += other.served;
    this->refused += other.refused;
    this->failed += other.failed;
    this->timedOut += other.timedOut;
    this->servedLatencies.insert(this->servedLatencies.end(), other.servedLatencies.begin(),
                                 other.servedLatencies.end());
    this->refusalLatencies.insert(this->refusalLatencies.end(), other.refusalLatencies.begin(),
                                  other.refusalLatencies.end());
}

double ClassOutcome::share(std::uint64_t part) const
{
    return this->callers == 0 ? 0 : static_cast<double>(part) / static_cast<double>(this->callers);
}

void Outcome::add(const Outcome &other)
{
    for (std::size_t index = 0; index < this->classes.size(); ++index)
        this->classes[index].add(other.classes[index]);
    this->busySeconds += other.busySeconds;
    this->wastedSeconds += other.wastedSeconds;
    this->ranAfterRefusal += other.ranAfterRefusal;
    this->ranTwice += other.ranTwice;
    this->overSlots += other.overSlots;
    this->overNamedLimit += other.overNamedLimit;
    this->unanswered += other.unanswered;
    this->interruptedByDrain += other.interruptedByDrain;
    this->sentToDraining += other.sentToDraining;
    this->refusedWithoutRetryAfter += other.refusedWithoutRetryAfter;
}

std::uint64_t Outcome::violations() const
{
    return this->ranAfterRefusal + this->ranTwice + this->overSlots + this->overNamedLimit + this->unanswered
           + this->interruptedByDrain + this->sentToDraining + this->refusedWithoutRetryAfter;
}

Duration quantile(std::vector<Duration> values, double share)
{
    if (values.empty())
        return Duration::zero();
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

} // namespace Sagecrank
