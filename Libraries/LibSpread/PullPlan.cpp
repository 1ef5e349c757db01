// Choice of a source, and what follows from a failure.
#include <LibSpread/PullPlan.h>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumRefused = 32;
constexpr std::size_t maximumAvoided = 256;
constexpr std::uint32_t largestShift = 10;
constexpr std::size_t maximumOpen = 3;

} // namespace

PullPlan::PullPlan(PullSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

void PullPlan::setTarget(const ConfigurationVersion &mark, Instant now)
{
    if (mark.version <= std::max(this->target.version, this->deferred.version))
        return;
    this->deferred = {};
    this->target = mark;
    this->noteBehind(now);
    this->notBefore = now;
    this->failures = 0;
    this->peerContentInvalid = false;
}

// Failure: the source does not answer while peers tell of versions, and the reads for these fail one after
// the other. Symptom: the pause that grew meanwhile outlives the outage, and a node that has the newest
// version in its hands puts it in force a second late, or more. A source that tells of a version lives.
void PullPlan::sourceReported(const ConfigurationVersion &mark, Instant now)
{
    const bool news = mark.version > this->reportedBySource && mark.version >= this->target.version;
    this->reportedBySource = std::max(this->reportedBySource, mark.version);
    this->platformFailures = 0;
    this->platformNotBefore = now;
    if (this->settings.platformFirst && news) {
        this->notBefore = now;
        this->open.clear(); // What they would bring is at hand.
    }
    this->setTarget(mark, now);
}

void PullPlan::setInterimTarget(const ConfigurationVersion &mark, Instant now)
{
    if (mark.version == 0 || this->hasOpenPulls())
        return;
    if (mark.version >= this->target.version)
        return this->setTarget(mark, now);
    const ConfigurationVersion newer = this->target;
    this->target = {};
    this->setTarget(mark, now);
    this->deferred = newer;
}

PullStep PullPlan::next(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                        const std::vector<Holder> &holders)
{
    if (this->target.version <= heldVersion) {
        this->behind = false;
        return {};
    }
    this->noteBehind(now);
    if (!this->mayBegin(now))
        return {};
    PullStep step = this->choose(now, heldVersion, rank, holders);
    if (step.source == PullSource::None)
        return step;
    step.number = ++this->lastNumber;
    const Duration answerTime =
        heldVersion == 0 ? this->settings.fullResponseTimeout : this->settings.responseTimeout;
    this->open.push_back({step, now, now + answerTime, false});
    return step;
}

// Failure: a peer loses power, or the way to the platform is cut, while a pull is under way. Symptom: the
// node lacks the version until that pull is given up after seconds, though others have it at hand. So a pull
// that is overdue does not keep the node from asking elsewhere; what was asked stays open, since it may be
// slow only, and whichever answers first ends the others.
bool PullPlan::mayBegin(Instant now) const
{
    const bool waits = std::any_of(this->open.begin(), this->open.end(),
                                   [now](const Attempt &attempt) { return now < attempt.dueAt; });
    return !waits && this->open.size() < maximumOpen && now >= this->notBefore
           && !this->isRejected(this->target);
}

PullStep PullPlan::choose(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                          const std::vector<Holder> &holders)
{
    const Duration waited = now - this->behindSince;
    const int place = static_cast<int>(rank);
    // Failure: the source is silent towards this node while peers tell of a version. Symptom: the node asks
    // it first, and the version is late by the time after which such a read is given up. Whoever told has it
    // or knows who has, so peers go first.
    const bool reported = this->reportedBySource >= this->target.version;
    const Duration pollerPause = reported ? Duration::zero() : this->settings.peersOnlyDuration;
    const bool poller = rank < this->settings.platformPullers
                        && waited >= pollerPause + this->settings.pollerDelayPerRank * place;
    const Duration turn = this->settings.platformDelay + this->settings.platformDelayPerRank * place;
    const bool platformDue =
        (poller || waited >= turn) && now >= this->platformNotBefore && !this->isPlatformAsked();
    // A node that holds nothing would read every section from the platform; another zone costs it nothing.
    const bool otherDue = heldVersion == 0 || waited >= this->settings.otherZonesDelay;
    PullStep step;
    if (this->settings.platformFirst && reported && platformDue) {
        step.source = PullSource::Platform;
        return step;
    }
    if (!this->peerContentInvalid)
        step = this->choosePeer(now, holders, true);
    if (step.source == PullSource::None && !this->peerContentInvalid && otherDue)
        step = this->choosePeer(now, holders, false);
    if (step.source == PullSource::None && platformDue)
        step.source = PullSource::Platform;
    return step;
}

// Failure: versions come faster than a node's turn at other zones and at the platform. Symptom: counted from
// the newest version, the turn never comes, and a node whose own zone has nothing for it stays behind until
// the changes end. So it is counted from when the node fell behind.
void PullPlan::noteBehind(Instant now)
{
    if (!this->behind)
        this->behindSince = now;
    this->behind = true;
}

PullStep PullPlan::choosePeer(Instant now, const std::vector<Holder> &holders, bool sameZone)
{
    std::vector<const Holder *> usable;
    for (const Holder &holder : holders) {
        if (holder.sameZone == sameZone && !this->isAvoided(holder.id, now) && !this->isAsked(holder.id))
            usable.push_back(&holder);
    }
    if (usable.empty())
        return {};
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    return {sameZone ? PullSource::ZonePeer : PullSource::OtherPeer, *usable[any(this->random)]};
}

bool PullPlan::isOpen(std::uint64_t number) const
{
    return std::any_of(this->open.begin(), this->open.end(),
                       [number](const Attempt &attempt) { return attempt.step.number == number; });
}

std::vector<OverduePull> PullPlan::takeOverdue(Instant now)
{
    std::vector<OverduePull> overdue;
    for (Attempt &attempt : this->open) {
        if (attempt.isOverdue || now < attempt.dueAt)
            continue;
        attempt.isOverdue = true;
        if (attempt.step.source != PullSource::Platform)
            this->avoid(attempt.step.holder.id, now);
        overdue.push_back({attempt.step, now - attempt.begunAt});
    }
    return overdue;
}

bool PullPlan::succeeded(std::uint64_t number)
{
    if (!this->isOpen(number))
        return false;
    this->open.clear();
    this->behind = false; // Nearer to the target, if not there.
    this->failures = 0;
    this->platformFailures = 0;
    if (this->deferred.version > this->target.version)
        this->target = this->deferred;
    this->deferred = {};
    return true;
}

bool PullPlan::failed(Instant now, std::uint64_t number, PullFailure failure, Duration retryAfter)
{
    const auto found = std::find_if(this->open.begin(), this->open.end(), [number](const Attempt &attempt) {
        return attempt.step.number == number;
    });
    if (found == this->open.end())
        return false;
    const PullStep attempt = found->step;
    this->open.erase(found);
    ++this->failures;
    this->notBefore = now + std::max(retryAfter, this->backoff());
    if (attempt.source == PullSource::Platform)
        this->platformFailed(now, failure);
    else
        this->peerFailed(now, attempt.holder.id, failure);
    return true;
}

void PullPlan::platformFailed(Instant now, PullFailure failure)
{
    if (failure == PullFailure::Invalid) {
        if (this->refused.size() >= maximumRefused)
            this->refused.erase(this->refused.begin());
        this->refused.push_back(this->target);
        return;
    }
    ++this->platformFailures;
    const auto factor = std::int64_t{1} << std::min(this->platformFailures, largestShift);
    this->platformNotBefore =
        now + std::min(this->settings.maximumBackoff * 4, this->settings.initialBackoff * 4 * factor);
}

void PullPlan::peerFailed(Instant now, const std::string &id, PullFailure failure)
{
    if (failure == PullFailure::Invalid)
        this->peerContentInvalid = true;
    if (failure != PullFailure::Busy)
        this->avoid(id, now);
}

void PullPlan::avoid(const std::string &id, Instant now)
{
    if (this->avoided.size() >= maximumAvoided)
        this->avoided.clear();
    this->avoided[id] = now + this->settings.peerAvoidance;
}

bool PullPlan::isRejected(const ConfigurationVersion &mark) const
{
    return std::find(this->refused.begin(), this->refused.end(), mark) != this->refused.end();
}

bool PullPlan::isPlatformAsked() const
{
    return std::any_of(this->open.begin(), this->open.end(),
                       [](const Attempt &attempt) { return attempt.step.source == PullSource::Platform; });
}

bool PullPlan::isAsked(const std::string &id) const
{
    return std::any_of(this->open.begin(), this->open.end(),
                       [&id](const Attempt &attempt) { return attempt.step.holder.id == id; });
}

bool PullPlan::isAvoided(const std::string &id, Instant now) const
{
    const auto found = this->avoided.find(id);
    return found != this->avoided.end() && now < found->second;
}

// Full jitter: nodes that were sent away together come back spread out.
Duration PullPlan::backoff()
{
    const auto factor = std::int64_t{1} << std::min(this->failures, largestShift);
    const Duration longest = std::min(this->settings.maximumBackoff, this->settings.initialBackoff * factor);
    std::uniform_real_distribution<double> share(0.2, 1);
    return std::chrono::duration_cast<Duration>(longest * share(this->random));
}

std::uint64_t corroboratedVersion(std::vector<std::uint64_t> heldVersions)
{
    std::erase(heldVersions, std::uint64_t{0});
    if (heldVersions.empty())
        return 0;
    std::sort(heldVersions.begin(), heldVersions.end(), std::greater<>());
    return heldVersions.size() == 1 ? heldVersions[0] : heldVersions[1];
}

} // namespace Sagecrank
