// Choice of a pull's source, and handling of its result.
#include <LibSpread/PullPlan.h>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumRejected = 32;
constexpr std::size_t maximumAvoided = 256;
constexpr std::uint32_t maximumShift = 10;
constexpr std::size_t maximumOpen = 3;

} // namespace

PullPlan::PullPlan(PullSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

void PullPlan::setTarget(const ConfigurationVersion &version, Instant now)
{
    if (version.version <= std::max(this->target.version, this->deferred.version))
        return;
    this->deferred = {};
    this->target = version;
    this->markBehind(now);
    this->notBefore = now;
    this->failures = 0;
    this->peerContentInvalid = false;
}

// While the source is down and peers report versions, pulls fail repeatedly. If the backoff that grew
// meanwhile outlived the outage, a node would apply the newest version a second late or more. A source that
// reports a version is up, so the backoff is reset.
void PullPlan::sourceReported(const ConfigurationVersion &version, Instant now)
{
    const bool isNew = version.version > this->reportedBySource && version.version >= this->target.version;
    this->reportedBySource = std::max(this->reportedBySource, version.version);
    this->platformFailures = 0;
    this->platformNotBefore = now;
    if (this->settings.platformFirst && isNew) {
        this->notBefore = now;
        this->open.clear(); // The content came with the report.
    }
    this->setTarget(version, now);
}

void PullPlan::setInterimTarget(const ConfigurationVersion &version, Instant now)
{
    if (version.version == 0 || this->hasOpenPulls())
        return;
    if (version.version >= this->target.version)
        return this->setTarget(version, now);
    const ConfigurationVersion newer = this->target;
    this->target = {};
    this->setTarget(version, now);
    this->deferred = newer;
}

PullStep PullPlan::next(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                        const std::vector<Holder> &holders)
{
    if (this->target.version <= heldVersion) {
        this->behind = false;
        return {};
    }
    this->markBehind(now);
    if (!this->mayBegin(now))
        return {};
    PullStep step = this->choose(now, heldVersion, rank, holders);
    if (step.source == PullSource::None)
        return step;
    step.number = ++this->lastNumber;
    const Duration timeout =
        heldVersion == 0 ? this->settings.fullResponseTimeout : this->settings.responseTimeout;
    this->open.push_back({step, now, now + timeout, false});
    return step;
}

// If a peer loses power or the platform becomes unreachable during a pull, waiting for its timeout would
// delay the version by seconds, although others hold it. An overdue pull therefore does not block another
// one. It stays open, since its source may only be slow; the first answer ends all others.
bool PullPlan::mayBegin(Instant now) const
{
    const bool isWaiting = std::any_of(this->open.begin(), this->open.end(),
                                       [now](const OpenPull &pull) { return now < pull.dueAt; });
    return !isWaiting && this->open.size() < maximumOpen && now >= this->notBefore
           && !this->isRejected(this->target);
}

PullStep PullPlan::choose(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                          const std::vector<Holder> &holders)
{
    const Duration waited = now - this->behindSince;
    const int rankFactor = static_cast<int>(rank);
    // If peers report a version and the source has not, the source may be unreachable from this node. Asking
    // it first would delay the version by the timeout of that read, so peers, which hold it or know a holder,
    // come first.
    const bool reported = this->reportedBySource >= this->target.version;
    const Duration pollerDelay = reported ? Duration::zero() : this->settings.peersOnlyDuration;
    const bool isPollerTurn = rank < this->settings.platformPullers
                              && waited >= pollerDelay + this->settings.pollerDelayPerRank * rankFactor;
    const Duration platformWait =
        this->settings.platformDelay + this->settings.platformDelayPerRank * rankFactor;
    const bool platformDue = (isPollerTurn || waited >= platformWait) && now >= this->platformNotBefore
                             && !this->isPullingFromPlatform();
    // A node that holds no version may ask other zones at once: the platform would have to serve every
    // section.
    const bool otherZonesDue = heldVersion == 0 || waited >= this->settings.otherZonesDelay;
    PullStep step;
    if (this->settings.platformFirst && reported && platformDue) {
        step.source = PullSource::Platform;
        return step;
    }
    if (!this->peerContentInvalid)
        step = this->choosePeer(now, holders, true);
    if (step.source == PullSource::None && !this->peerContentInvalid && otherZonesDue)
        step = this->choosePeer(now, holders, false);
    if (step.source == PullSource::None && platformDue)
        step.source = PullSource::Platform;
    return step;
}

// The delays for other zones and the platform count from when the node fell behind. If they restarted with
// each version, a node whose zone has no holder would stay behind for as long as versions arrive faster than
// those delays.
void PullPlan::markBehind(Instant now)
{
    if (!this->behind)
        this->behindSince = now;
    this->behind = true;
}

PullStep PullPlan::choosePeer(Instant now, const std::vector<Holder> &holders, bool sameZone)
{
    std::vector<const Holder *> usable;
    for (const Holder &holder : holders) {
        if (holder.sameZone == sameZone && !this->isAvoided(holder.id, now)
            && !this->isPullingFrom(holder.id))
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
                       [number](const OpenPull &pull) { return pull.step.number == number; });
}

std::vector<OverduePull> PullPlan::takeOverdue(Instant now)
{
    std::vector<OverduePull> overdue;
    for (OpenPull &pull : this->open) {
        if (pull.isOverdue || now < pull.dueAt)
            continue;
        pull.isOverdue = true;
        if (pull.step.source != PullSource::Platform)
            this->avoid(pull.step.holder.id, now);
        overdue.push_back({pull.step, now - pull.begunAt});
    }
    return overdue;
}

bool PullPlan::succeeded(std::uint64_t number)
{
    if (!this->isOpen(number))
        return false;
    this->open.clear();
    this->behind = false; // Even if the pulled version is older than the target, it is closer.
    this->failures = 0;
    this->platformFailures = 0;
    if (this->deferred.version > this->target.version)
        this->target = this->deferred;
    this->deferred = {};
    return true;
}

bool PullPlan::failed(Instant now, std::uint64_t number, PullFailure failure, Duration retryAfter)
{
    const auto found = std::find_if(this->open.begin(), this->open.end(),
                                    [number](const OpenPull &pull) { return pull.step.number == number; });
    if (found == this->open.end())
        return false;
    const PullStep pull = found->step;
    this->open.erase(found);
    ++this->failures;
    this->notBefore = now + std::max(retryAfter, this->backoff());
    if (pull.source == PullSource::Platform)
        this->platformFailed(now, failure);
    else
        this->peerFailed(now, pull.holder.id, failure);
    return true;
}

void PullPlan::platformFailed(Instant now, PullFailure failure)
{
    if (failure == PullFailure::Invalid) {
        if (this->rejected.size() >= maximumRejected)
            this->rejected.erase(this->rejected.begin());
        this->rejected.push_back(this->target);
        return;
    }
    ++this->platformFailures;
    const auto factor = std::int64_t{1} << std::min(this->platformFailures, maximumShift);
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

bool PullPlan::isRejected(const ConfigurationVersion &version) const
{
    return std::find(this->rejected.begin(), this->rejected.end(), version) != this->rejected.end();
}

bool PullPlan::isPullingFromPlatform() const
{
    return std::any_of(this->open.begin(), this->open.end(),
                       [](const OpenPull &pull) { return pull.step.source == PullSource::Platform; });
}

bool PullPlan::isPullingFrom(const std::string &id) const
{
    return std::any_of(this->open.begin(), this->open.end(),
                       [&id](const OpenPull &pull) { return pull.step.holder.id == id; });
}

bool PullPlan::isAvoided(const std::string &id, Instant now) const
{
    const auto found = this->avoided.find(id);
    return found != this->avoided.end() && now < found->second;
}

// Jittered, so that nodes rejected together do not retry together.
Duration PullPlan::backoff()
{
    const auto factor = std::int64_t{1} << std::min(this->failures, maximumShift);
    const Duration maximum = std::min(this->settings.maximumBackoff, this->settings.initialBackoff * factor);
    std::uniform_real_distribution<double> jitter(0.2, 1);
    return std::chrono::duration_cast<Duration>(maximum * jitter(this->random));
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
