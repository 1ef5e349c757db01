// Timing of head reads.
#include <LibSpread/HeadPoll.h>

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

// Reads time out at the source, so few are open at once. Bounds the list if a source never reports their end.
constexpr std::size_t maximumOpen = 16;

constexpr double slowJitter = 0.5;
constexpr double fastJitter = 0.1;
constexpr double retryJitter = 0.2;

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
    this->waitsForPeers = this->settings.peersFirst > Duration::zero();
    this->peersFirstUntil = now + this->jittered(this->settings.peersFirst, slowJitter);
}

HeadStep HeadPoll::next(Instant now, const HeadPoller &self)
{
    HeadStep step;
    if (now < this->nextAt || this->leavesReadToPeers(now, self))
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
        this->nextAt = now + this->jittered(this->settings.slowInterval, slowJitter);
    else
        this->nextAt = step.begin->isRetry ? now + this->retryPause(self) : dueAt;
    return step;
}

// The first reads of a fleet that starts come from its introducers, whose answers to joining nodes name the
// version, and from nodes that rank first among the few that they know. The others pull from those; until a
// node knows its zone, it cannot tell whether it is a fast poller.
bool HeadPoll::leavesReadToPeers(Instant now, const HeadPoller &self)
{
    constexpr Duration checkInterval = Milliseconds(50);
    if (!this->waitsForPeers || std::exchange(this->readsFirst, false))
        return false;
    if (now < this->peersFirstUntil) {
        // When all nodes of a zone start together, none of them has a version to give.
        const bool isFirstWithoutVersion = self.knowsPeers && !self.knowsVersion && self.rank == 0;
        if (isFirstWithoutVersion || (self.knowsZone && this->isFast(self)))
            return false;
        this->nextAt = now + checkInterval;
        return true;
    }
    this->waitsForPeers = false;
    if (this->isFast(self) || !self.knowsVersion)
        return false;
    this->nextAt = now + this->jittered(this->settings.slowInterval, slowJitter);
    return true;
}

void HeadPoll::readFirst(Instant now)
{
    if (!this->waitsForPeers || this->lastNumber != 0)
        return;
    this->readsFirst = true;
    this->nextAt = now;
}

// When the fast pollers of a zone are lost, the next node in rank would wait for its slow poll, and no change
// would come into force for up to a minute and a half. A node that becomes a fast poller therefore reads
// soon.
void HeadPoll::rankChanged(Instant now, const HeadPoller &self)
{
    const bool isFast = this->isFast(self);
    if (isFast && !this->wasFast)
        this->nextAt = std::min(this->nextAt, now + this->jittered(this->settings.fastInterval, fastJitter));
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
        this->staggerHolds = false;
    }
    return read;
}

// A source that restarts quickly loses the reads in flight, which a poller notices only when its read is
// overdue. After a change all pollers of a zone start their reads together, so the zone would miss changes
// for a full hold. The first hold after a change is therefore staggered by rank: the reads end in turn, and
// the first that ends detects the loss for the zone.
Duration HeadPoll::holdOf(const HeadPoller &self) const
{
    if (!this->staggerHolds)
        return this->settings.hold;
    return this->settings.hold * (self.rank + 1) / this->settings.fastPollersPerZone;
}

void HeadPoll::answered(Instant now, const HeadPoller &self, std::uint64_t number, bool hasNewVersion)
{
    const bool known = std::any_of(this->open.begin(), this->open.end(),
                                   [number](const OpenRead &read) { return read.number == number; });
    if (!known)
        return; // Superseded by another answer, which has set the next read already.
    this->staggerHolds = this->staggerHolds || hasNewVersion || this->failures != 0;
    this->open.clear();
    this->failures = 0;
    const Duration pause = this->isFast(self) ? this->jittered(this->settings.fastInterval, fastJitter)
                                              : this->jittered(this->settings.slowInterval, slowJitter);
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
        self.knowsPeers ? this->settings.retryInterval : this->settings.isolatedRetryInterval, retryJitter);
}

Duration HeadPoll::jittered(Duration interval, double spread)
{
    std::uniform_real_distribution<double> factor(1.0 - spread, 1.0 + spread);
    return std::chrono::duration_cast<Duration>(interval * factor(this->random));
}

} // namespace Sagecrank
