// Pace of head reads.
#include <LibSpread/HeadPoll.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// A read has a timeout of its own at the source, so few are open at once; more would be a source that never
// reports an end.
constexpr std::size_t maximumOpen = 16;

constexpr double slowSpread = 0.5;
constexpr double fastSpread = 0.1;
constexpr double retrySpread = 0.2;

} // namespace

HeadPoll::HeadPoll(HeadPollSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

void HeadPoll::start(Instant now, bool hasView)
{
    const Duration spread = hasView ? this->settings.initialSpread : this->settings.initialSpreadWithoutPeers;
    this->nextAt = now + this->jittered(spread / 2, 1.0);
}

HeadStep HeadPoll::next(Instant now, const HeadPoller &self)
{
    HeadStep step;
    if (now < this->nextAt)
        return step;
    this->wasFast = this->isFast(self);
    step.overdue = this->markOverdue(now);
    step.begin = this->makeRead(self);
    const Instant dueAt = now + step.begin->hold + this->settings.responseTimeout;
    if (this->open.size() >= maximumOpen)
        this->open.erase(this->open.begin());
    this->open.push_back({step.begin->number, now, dueAt, false});
    this->lastBegun = now;
    if (!this->isFast(self))
        this->nextAt = now + this->jittered(this->settings.slowInterval, slowSpread);
    else
        this->nextAt = step.begin->isRetry ? now + this->retryPause(self) : dueAt;
    return step;
}

// Failure: those that polled for a zone are gone, and the next in rank sleeps until its slow poll. Symptom:
// no change is in force for up to a minute and a half, though the source answers. A new rank ends the sleep.
void HeadPoll::rankChanged(Instant now, const HeadPoller &self)
{
    const bool isFast = this->isFast(self);
    if (isFast && !this->wasFast)
        this->nextAt = std::min(this->nextAt, now + this->jittered(this->settings.fastInterval, fastSpread));
    this->wasFast = isFast;
}

std::vector<OverdueRead> HeadPoll::markOverdue(Instant now)
{
    std::vector<OverdueRead> overdue;
    for (OpenRead &read : this->open) {
        if (read.isOverdue || now < read.dueAt)
            continue;
        read.isOverdue = true;
        ++this->failures;
        overdue.push_back({now - read.begunAt, this->failures});
    }
    return overdue;
}

HeadRead HeadPoll::makeRead(const HeadPoller &self)
{
    HeadRead read;
    read.number = ++this->lastNumber;
    read.isRetry = this->failures != 0 || !this->open.empty();
    read.longPoll = this->isFast(self);
    if (read.longPoll && !read.isRetry) {
        read.hold = this->holdOf(self);
        this->staggers = false;
    }
    return read;
}

// Failure: the source loses the reads under way and is back at once; each poller notices when its read is
// overdue, and after a change all of a zone have begun theirs together. Symptom: the whole zone is deaf for a
// full hold. So the first hold after news is shorter for some: the reads of a zone's pollers end in turn, and
// the next to end finds out for all.
Duration HeadPoll::holdOf(const HeadPoller &self) const
{
    if (!this->staggers)
        return this->settings.hold;
    return this->settings.hold * (self.rank + 1) / this->settings.fastPollersPerZone;
}

void HeadPoll::answered(Instant now, const HeadPoller &self, std::uint64_t number, bool news)
{
    const bool known = std::any_of(this->open.begin(), this->open.end(),
                                   [number](const OpenRead &read) { return read.number == number; });
    if (!known)
        return; // Overtaken by another answer, which has set the pace already.
    this->staggers = this->staggers || news || this->failures != 0;
    this->open.clear();
    this->failures = 0;
    const Duration pause = this->isFast(self) ? this->jittered(this->settings.fastInterval, fastSpread)
                                              : this->jittered(this->settings.slowInterval, slowSpread);
    this->nextAt = now + pause;
}

bool HeadPoll::failed(Instant now, const HeadPoller &self, std::uint64_t number)
{
    const auto found = std::find_if(this->open.begin(), this->open.end(),
                                    [number](const OpenRead &read) { return read.number == number; });
    if (found == this->open.end())
        return false;
    const bool counts = !found->isOverdue;
    this->open.erase(found);
    if (!counts)
        return false;
    ++this->failures;
    if (this->isFast(self))
        this->nextAt = std::max(now, this->lastBegun + this->retryPause(self));
    return true;
}

Duration HeadPoll::retryPause(const HeadPoller &self)
{
    return this->jittered(
        self.knowsPeers ? this->settings.retryInterval : this->settings.isolatedRetryInterval, retrySpread);
}

Duration HeadPoll::jittered(Duration interval, double spread)
{
    std::uniform_real_distribution<double> share(1.0 - spread, 1.0 + spread);
    return std::chrono::duration_cast<Duration>(interval * share(this->random));
}

} // namespace Sagecrank
