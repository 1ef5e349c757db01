// Statistics of call kinds, the rank of queued calls and estimates of their wait.
#include <LibDecide/TargetGate.h>
#include <LibDecide/TargetGateConstants.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

using namespace TargetGateConstants;

const TargetGate::KindStatistics *TargetGate::findKind(std::uint64_t kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? nullptr : &found->second;
}

TargetGate::KindStatistics &TargetGate::obtainKind(Instant now, const CallAttributes &attributes)
{
    if (this->kinds.size() >= maximumKinds && !this->kinds.contains(attributes.kind))
        this->evictOldestKind();
    KindStatistics &kind = this->kinds[attributes.kind];
    this->decay(kind, now);
    kind.priority = attributes.priority;
    if (attributes.target) {
        const Duration runTime = this->meanRunTime(now, attributes);
        kind.slack = toSeconds(*attributes.target - now - runTime);
        kind.startByOffset = *attributes.target - now - runTime + headStartRuns * runTime;
    }
    return kind;
}

void TargetGate::decay(KindStatistics &kind, Instant now) const
{
    if (kind.decayedAt != Instant::min()) {
        const double factor = std::exp(-toSeconds(now - kind.decayedAt) / countWindowSeconds);
        kind.offered *= factor;
        kind.started *= factor;
    }
    kind.decayedAt = now;
}

void TargetGate::evictOldestKind()
{
    auto oldest = this->kinds.begin();
    for (auto entry = this->kinds.begin(); entry != this->kinds.end(); ++entry) {
        if (entry->second.decayedAt < oldest->second.decayedAt)
            oldest = entry;
    }
    this->kinds.erase(oldest);
}

void TargetGate::observe(std::uint64_t kindId, Duration runTime)
{
    const auto found = this->kinds.find(kindId);
    if (found == this->kinds.end())
        return;
    KindStatistics &kind = found->second;
    const double seconds = toSeconds(runTime);
    kind.observations += 1;
    if (kind.observations <= 1) {
        kind.mean = seconds;
        kind.deviation = seconds / 2;
        return;
    }
    const double weight = std::max(minimumWeight, 1.0 / kind.observations);
    const double distance = std::abs(seconds - kind.mean);
    kind.mean += weight * (seconds - kind.mean);
    kind.deviation += weight * (distance - kind.deviation);
}

Duration TargetGate::meanRunTime(Instant now, const CallAttributes &attributes) const
{
    const KindStatistics *kind = this->findKind(attributes.kind);
    if (kind != nullptr && kind->observations > 0)
        return fromSeconds(kind->mean);
    if (!attributes.target)
        return initialRunTime;
    return std::max<Duration>(Duration::zero(),
                              fromSeconds(toSeconds(*attributes.target - now) * initialRunTimeShareOfTarget));
}

// An optimistic run time: the mean less 1.5 mean deviations. Decides on calls that could start at once, since
// the mean would refuse calls that meet their target half of the time.
Duration TargetGate::optimisticRunTime(const CallAttributes &attributes) const
{
    const KindStatistics *kind = this->findKind(attributes.kind);
    if (kind == nullptr || kind->observations == 0)
        return Duration::zero();
    return fromSeconds(std::max(0.0, kind->mean - 1.5 * kind->deviation));
}

// A run time that most calls of the kind stay below. Decides on calls that would have to wait.
Duration TargetGate::conservativeRunTime(Instant now, const CallAttributes &attributes) const
{
    const KindStatistics *kind = this->findKind(attributes.kind);
    const double deviation = kind == nullptr ? 0 : kind->deviation;
    return this->meanRunTime(now, attributes) + fromSeconds(conservativeDeviations * deviation);
}

bool TargetGate::canMeetTarget(Instant now, const CallAttributes &attributes) const
{
    return !attributes.target || now + this->optimisticRunTime(attributes) <= *attributes.target;
}

TargetGate::Rank TargetGate::rankOf(Instant now, const CallAttributes &attributes, Ticket ticket) const
{
    const Duration runTime = this->meanRunTime(now, attributes);
    Rank rank;
    rank.late = !this->canMeetTarget(now, attributes);
    rank.starved = this->isStarved(attributes.kind);
    rank.priority = attributes.priority;
    rank.startBy = attributes.target.value_or(attributes.deadline) - runTime + headStartRuns * runTime;
    rank.ticket = ticket;
    return rank;
}

// Calls that can meet their target go before late ones, whose answers are worth less; then starved kinds;
// then calls of higher priority; then the earliest required start. The head start in startBy favours quick
// calls, since a slot answers more of them.
bool TargetGate::ranksBefore(const Rank &left, const Rank &right)
{
    if (left.late != right.late)
        return !left.late;
    if (left.starved != right.starved)
        return left.starved;
    if (left.priority != right.priority)
        return left.priority < right.priority;
    if (left.startBy != right.startBy)
        return left.startBy < right.startBy;
    return left.ticket < right.ticket;
}

bool TargetGate::isStarved(std::uint64_t kindId) const
{
    const KindStatistics *kind = this->findKind(kindId);
    return kind != nullptr && kind->offered >= minimumOffered && kind->started < starvedShare * kind->offered;
}

// Whether the call runs longer than another kind of the same or a higher priority can wait.
bool TargetGate::isLongRunning(Instant now, const CallAttributes &attributes) const
{
    const double runTime = toSeconds(this->meanRunTime(now, attributes));
    return std::any_of(this->kinds.begin(), this->kinds.end(), [&](const auto &entry) {
        const KindStatistics &other = entry.second;
        const bool present = other.offered >= 1 && toSeconds(now - other.decayedAt) < countWindowSeconds;
        return present && entry.first != attributes.kind && other.priority <= attributes.priority
               && other.mean > 0 && runTime > longRunFactor * other.mean && runTime > other.slack;
    });
}

// The number of slots that long calls may hold together: those that quick calls leave on average, less a
// reserve for bursts.
std::uint32_t TargetGate::slotsForLongCalls(Instant now, const CallAttributes &attributes) const
{
    double quickSlotUse = 0;
    const double runTime = toSeconds(this->meanRunTime(now, attributes));
    for (const auto &[id, kind] : this->kinds) {
        if (kind.priority <= attributes.priority && kind.mean * longRunFactor < runTime)
            quickSlotUse += this->recentSlotUse(now, kind);
    }
    const double reserve = reserveDeviations * std::sqrt(quickSlotUse);
    const double remaining = std::ceil(this->slots - quickSlotUse - reserve);
    return remaining < 1 ? 1 : static_cast<std::uint32_t>(remaining);
}

bool TargetGate::fitsLongCallLimit(Instant now, const CallAttributes &attributes) const
{
    if (!this->isLongRunning(now, attributes))
        return true;
    const double runTime = toSeconds(this->meanRunTime(now, attributes));
    const auto longCallsRunning =
        std::count_if(this->runningCalls.begin(), this->runningCalls.end(), [&](const RunningCall &call) {
            const KindStatistics *kind = this->findKind(call.kind);
            return kind != nullptr && kind->mean * longRunFactor > runTime;
        });
    return longCallsRunning < static_cast<std::ptrdiff_t>(this->slotsForLongCalls(now, attributes));
}

// Calls of the kind that started per second. Started calls are counted, because a call that several gates
// refuse is offered to each of them.
double TargetGate::recentStarts(Instant now, const KindStatistics &kind) const
{
    return kind.started * std::exp(-toSeconds(now - kind.decayedAt) / countWindowSeconds)
           / countWindowSeconds;
}

// The mean number of slots that calls of the kind recently used.
double TargetGate::recentSlotUse(Instant now, const KindStatistics &kind) const
{
    return kind.mean * this->recentStarts(now, kind);
}

bool TargetGate::mayStartNow(Instant now, const CallAttributes &attributes) const
{
    if (this->freeSlots(now) == 0 || !this->fitsLongCallLimit(now, attributes))
        return false;
    const Rank own = this->rankOf(now, attributes, this->nextTicket);
    return std::none_of(this->queuedCalls.begin(), this->queuedCalls.end(), [&](const QueuedCall &call) {
        return this->fitsLongCallLimit(now, call.attributes)
               && ranksBefore(this->rankOf(now, call.attributes, call.ticket), own);
    });
}

// The share of the recent slot time used by kinds that rank before the call, or their share of the starts
// that the start limit allows if that is more. For a long call, the slots that quick kinds use are already
// deducted from its slots.
double TargetGate::shareOfHigherRanks(Instant now, const CallAttributes &attributes, const Rank &rank) const
{
    if (rank.starved)
        return 0;
    const bool longRunning = this->isLongRunning(now, attributes);
    const double runTime = toSeconds(this->meanRunTime(now, attributes));
    double load = 0;
    double startsPerSecond = 0;
    for (const auto &[id, kind] : this->kinds) {
        const bool ranksAhead =
            rank.late || kind.priority < rank.priority
            || (kind.priority == rank.priority && now + kind.startByOffset < rank.startBy);
        if (!ranksAhead)
            continue;
        startsPerSecond += this->recentStarts(now, kind);
        if (!(longRunning && kind.mean * longRunFactor <= runTime))
            load += this->recentSlotUse(now, kind);
    }
    const double slots = longRunning ? this->slotsForLongCalls(now, attributes) : std::max(1U, this->slots);
    const double shareOfLimit =
        this->startLimit.isSet() ? startsPerSecond / this->startLimit.callsPerSecond() : 0;
    return std::min(maximumShareAhead, std::max(load / slots, shareOfLimit));
}

// Whether calls that can meet their targets leave almost no slots for late ones.
bool TargetGate::leavesNoRoomForLate(Instant now, const CallAttributes &attributes) const
{
    CallAttributes lateAttributes = attributes;
    lateAttributes.target = now - 1h;
    return this->shareOfHigherRanks(now, lateAttributes, this->rankOf(now, lateAttributes, this->nextTicket))
           >= noRoomForLateShare;
}

// Whether a queued long call ranks before `rank`; it waits for one of the slots for long calls.
bool TargetGate::longCallRanksBefore(Instant now, const Rank &rank) const
{
    return std::any_of(this->queuedCalls.begin(), this->queuedCalls.end(), [&](const QueuedCall &call) {
        return this->isLongRunning(now, call.attributes)
               && ranksBefore(this->rankOf(now, call.attributes, call.ticket), rank);
    });
}

// Simulates the slots as they become free and are taken by the queued calls in rank order. Calls of higher
// rank that arrive meanwhile go first as well, so the wait is stretched by the share of the slots that such
// calls used recently. Long calls wait only for each other, in the slots for long calls; however many are
// queued, they take no other slots. Every call waits for the start limit.
//
// If all queued long calls were counted in the wait of quick ones, four in ten quick calls would be refused
// in a case where 16 calls of 160 ms are queued ahead of calls of 10 ms that have five of six slots, although
// the admitted ones wait for only 6 ms.
Duration TargetGate::expectedWait(Instant now, const CallAttributes &attributes) const
{
    if (this->mayStartNow(now, attributes))
        return Duration::zero();
    const bool longRunning = this->isLongRunning(now, attributes);
    const double runTime = toSeconds(this->meanRunTime(now, attributes));
    const std::size_t slots =
        longRunning ? this->slotsForLongCalls(now, attributes) : std::max(1U, this->slots);
    const Rank own = this->rankOf(now, attributes, this->nextTicket);
    const bool longCallsTakeSlots = !longRunning && this->longCallRanksBefore(now, own);
    std::vector<double> slotFreeAfter;
    std::size_t slotsOfLongCalls = 0; // Slots that pass from one long call to the next.
    for (const RunningCall &call : this->runningCalls) {
        const KindStatistics *kind = this->findKind(call.kind);
        const double mean = kind == nullptr || kind->mean == 0 ? toSeconds(initialRunTime) : kind->mean;
        if (longCallsTakeSlots && mean > longRunFactor * runTime)
            ++slotsOfLongCalls;
        // A call that has exceeded its mean run time goes on for a while, since run times have a long tail.
        else if (!longRunning || mean * longRunFactor > runTime)
            slotFreeAfter.push_back(
                std::max(mean - toSeconds(now - call.startedAt), minimumRemainingShare * mean));
    }
    slotFreeAfter.resize(
        std::max({slots - std::min(slots, slotsOfLongCalls), slotFreeAfter.size(), std::size_t{1}}), 0.0);
    const auto later = [](double left, double right) { return left > right; };
    std::make_heap(slotFreeAfter.begin(), slotFreeAfter.end(), later);
    std::uint32_t callsAhead = 0;
    for (const QueuedCall &call : this->queuedCalls) {
        if (!ranksBefore(this->rankOf(now, call.attributes, call.ticket), own))
            continue;
        ++callsAhead;
        const double runTimeOfQueued = toSeconds(this->meanRunTime(now, call.attributes));
        const bool usesOtherSlots = (longRunning && runTimeOfQueued * longRunFactor <= runTime)
                                    || (longCallsTakeSlots && runTimeOfQueued > longRunFactor * runTime);
        if (usesOtherSlots)
            continue;
        std::pop_heap(slotFreeAfter.begin(), slotFreeAfter.end(), later);
        slotFreeAfter.back() += runTimeOfQueued;
        std::push_heap(slotFreeAfter.begin(), slotFreeAfter.end(), later);
    }
    const double waitForStart = toSeconds(this->startLimit.timeUntil(now, callsAhead + 1));
    return fromSeconds(std::max(slotFreeAfter.front(), waitForStart)
                       / (1.0 - this->shareOfHigherRanks(now, attributes, own)));
}

} // namespace Sagecrank
