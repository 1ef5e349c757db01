// Admits, starts and refuses calls by latency target.
#include <LibDecide/TargetGate.h>
#include <LibDecide/TargetGateConstants.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

using namespace TargetGateConstants;

TargetGate::TargetGate(TargetGateSettings settings)
    : settings(settings)
    , slots(settings.slots)
    , startLimit(settings.startBurst)
    , jitterState(settings.jitterSeed)
{
}

GateDecision TargetGate::offer(Instant now, const CallAttributes &attributes,
                               std::vector<GateAction> &actions)
{
    KindStatistics &kind = this->obtainKind(now, attributes);
    const RefusalReason reason = this->refusal(now, attributes);
    // A call that may still try another gate, or return here for a late answer, is counted when it does. If
    // it was counted at each gate that refuses it, a kind that is served well would look starved.
    const bool mayBeOfferedAgain =
        reason == RefusalReason::TargetTooNear && attributes.target && !attributes.lateAccepted;
    if (!mayBeOfferedAgain)
        kind.offered += 1;
    if (reason != RefusalReason::None)
        return this->refuse(now, attributes, reason);
    const Ticket ticket = this->nextTicket++;
    if (this->mayStartNow(now, attributes)) {
        this->start(now, ticket, attributes);
        return GateDecision{GateVerdict::Start, ticket, RefusalReason::None, Duration::zero()};
    }
    this->queuedCalls.push_back(QueuedCall{ticket, attributes});
    this->refuseUnservable(now, actions);
    return GateDecision{GateVerdict::Queue, ticket, RefusalReason::None, Duration::zero()};
}

void TargetGate::finish(Instant now, Ticket ticket, CallOutcome outcome, std::vector<GateAction> &actions)
{
    const auto found = std::find_if(this->runningCalls.begin(), this->runningCalls.end(),
                                    [ticket](const RunningCall &call) { return call.ticket == ticket; });
    if (found == this->runningCalls.end())
        return;
    const RunningCall finished = *found;
    *found = this->runningCalls.back();
    this->runningCalls.pop_back();
    const Duration runTime = now - finished.startedAt;
    if (outcome == CallOutcome::Succeeded)
        this->observe(finished.kind, runTime);
    // A cancelled call would have run at least this long, so its time counts if it is above the mean.
    const KindStatistics *kind = this->findKind(finished.kind);
    if (outcome == CallOutcome::Cancelled && kind != nullptr && toSeconds(runTime) > kind->mean)
        this->observe(finished.kind, runTime);
    this->startQueuedCalls(now, actions);
}

void TargetGate::cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions)
{
    std::erase_if(this->queuedCalls, [ticket](const QueuedCall &call) { return call.ticket == ticket; });
    this->startQueuedCalls(now, actions);
}

void TargetGate::advance(Instant now, std::vector<GateAction> &actions)
{
    this->startQueuedCalls(now, actions);
}

void TargetGate::setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                          std::vector<GateAction> &actions)
{
    this->slots = slots;
    this->state = condition;
    if (this->acceptsCalls())
        return this->startQueuedCalls(now, actions);
    const RefusalReason reason =
        condition == UpstreamCondition::Draining ? RefusalReason::Draining : RefusalReason::NotReady;
    for (const QueuedCall &call : this->queuedCalls)
        actions.push_back(
            GateAction{call.ticket, false, reason, this->retryAfter(now, call.attributes, reason)});
    this->queuedCalls.clear();
}

void TargetGate::setMaximumQueue(std::uint32_t maximumQueue)
{
    this->settings.maximumQueue = maximumQueue;
}

void TargetGate::setStartLimit(Instant now, std::optional<double> callsPerSecond,
                               std::vector<GateAction> &actions)
{
    this->startLimit.setRate(now, callsPerSecond);
    this->startQueuedCalls(now, actions);
}

bool TargetGate::wouldAdmit(Instant now, const CallAttributes &attributes) const
{
    return this->refusal(now, attributes) == RefusalReason::None;
}

std::uint32_t TargetGate::unusedSlots() const
{
    if (!this->acceptsCalls() || this->running() >= this->slots)
        return 0;
    return this->slots - this->running();
}

std::uint32_t TargetGate::freeSlots(Instant now) const
{
    return std::min(this->unusedSlots(), this->startLimit.available(now));
}

std::optional<Instant> TargetGate::nextStart(Instant now) const
{
    if (this->queuedCalls.empty() || this->unusedSlots() == 0 || this->startLimit.available(now) > 0)
        return std::nullopt;
    return now + this->startLimit.timeUntil(now, 1);
}

std::optional<Instant> TargetGate::nextDeadline() const
{
    std::optional<Instant> next;
    for (const QueuedCall &call : this->queuedCalls) {
        const Duration optimistic = this->optimisticRunTime(call.attributes);
        Instant at = call.attributes.deadline - optimistic;
        if (call.attributes.target && !call.attributes.lateAccepted)
            at = std::min(at, *call.attributes.target - optimistic);
        next = std::min(next.value_or(Instant::max()), at);
    }
    return next;
}

bool TargetGate::acceptsCalls() const
{
    return this->state == UpstreamCondition::Warming || this->state == UpstreamCondition::Ready;
}

// A call that waits in vain uses up the time that its caller needs for another attempt. It is refused at once
// if it cannot be answered before its deadline, if it would miss its target while another gate may meet it,
// or if it would be late and calls that can meet their targets leave no slots for it.
RefusalReason TargetGate::refusal(Instant now, const CallAttributes &attributes) const
{
    if (this->state == UpstreamCondition::Draining)
        return RefusalReason::Draining;
    if (!this->acceptsCalls() || this->slots == 0)
        return RefusalReason::NotReady;
    const Duration wait = this->expectedWait(now, attributes);
    if (wait <= Duration::zero()) {
        // One call at a time is admitted to correct an estimate that is above every deadline.
        const bool noneRunning = this->runningCalls.empty();
        const Duration minimumRunTime = noneRunning ? Duration::zero() : this->optimisticRunTime(attributes);
        if (now + minimumRunTime >= attributes.deadline)
            return RefusalReason::DeadlineTooNear;
        return attributes.lateAccepted || noneRunning || this->canMeetTarget(now, attributes)
                   ? RefusalReason::None
                   : RefusalReason::TargetTooNear;
    }
    const Duration runTime = this->meanRunTime(now, attributes);
    if (this->queued() >= this->settings.maximumQueue)
        return RefusalReason::QueueFull;
    const bool beforeDeadline = now + wait + runTime < attributes.deadline;
    if (!attributes.target)
        return beforeDeadline ? RefusalReason::None : RefusalReason::DeadlineTooNear;
    if (beforeDeadline && now + wait + this->conservativeRunTime(now, attributes) <= *attributes.target)
        return RefusalReason::None;
    if (!attributes.lateAccepted)
        return RefusalReason::TargetTooNear;
    CallAttributes lateAttributes = attributes;
    lateAttributes.target = now - 1h;
    if (this->leavesNoRoomForLate(now, attributes))
        return RefusalReason::TargetTooNear;
    const Duration lateWait =
        fromSeconds(toSeconds(this->expectedWait(now, lateAttributes)) * lateWaitFactor);
    return now + lateWait + runTime < attributes.deadline ? RefusalReason::None
                                                          : RefusalReason::DeadlineTooNear;
}

GateDecision TargetGate::refuse(Instant now, const CallAttributes &attributes, RefusalReason reason)
{
    return GateDecision{GateVerdict::Refuse, 0, reason, this->retryAfter(now, attributes, reason)};
}

// If callers refused in one burst were all told the same time, they would return together and be refused
// again. Each is given a time of its own, one mean run time of a slot after the previous one.
Duration TargetGate::retryAfter(Instant now, const CallAttributes &attributes, RefusalReason reason)
{
    if (reason == RefusalReason::Draining || reason == RefusalReason::NotReady)
        return this->jittered(unavailableRetryAfter);
    const Duration intervalOfSlots = this->meanRunTime(now, attributes) / std::max(1U, this->slots);
    const Duration interval = std::max(intervalOfSlots, this->startLimit.interval());
    const Instant queueServedAt = now + this->expectedWait(now, attributes);
    this->nextRetryAt = std::max(this->nextRetryAt, queueServedAt) + interval;
    this->nextRetryAt = std::min(this->nextRetryAt, now + maximumRetryAfter);
    return std::max(minimumRetryAfter, this->jittered(this->nextRetryAt - now));
}

// Returns 75% to 125% of the duration.
Duration TargetGate::jittered(Duration duration)
{
    this->jitterState = this->jitterState * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = static_cast<double>(this->jitterState >> 11U) * 0x1p-53;
    return fromSeconds(toSeconds(duration) * (0.75 + 0.5 * uniform));
}

void TargetGate::start(Instant now, Ticket ticket, const CallAttributes &attributes)
{
    KindStatistics &kind = this->obtainKind(now, attributes);
    kind.started += 1;
    this->startLimit.recordStart(now);
    this->runningCalls.push_back(RunningCall{ticket, attributes.kind, now});
}

void TargetGate::startQueuedCalls(Instant now, std::vector<GateAction> &actions)
{
    this->refuseUnservable(now, actions);
    while (this->freeSlots(now) > 0) {
        std::optional<std::size_t> bestIndex;
        Rank bestRank;
        for (std::size_t index = 0; index < this->queuedCalls.size(); ++index) {
            const QueuedCall &call = this->queuedCalls[index];
            const Rank rank = this->rankOf(now, call.attributes, call.ticket);
            if (!this->fitsLongCallLimit(now, call.attributes) || (bestIndex && !ranksBefore(rank, bestRank)))
                continue;
            bestIndex = index;
            bestRank = rank;
        }
        if (!bestIndex)
            return;
        const QueuedCall call = this->queuedCalls[*bestIndex];
        this->queuedCalls.erase(this->queuedCalls.begin() + static_cast<std::ptrdiff_t>(*bestIndex));
        if (call.attributes.deadline <= now + this->optimisticRunTime(call.attributes)) {
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{call.ticket, false, reason, this->retryAfter(now, call.attributes, reason)});
            continue;
        }
        this->start(now, call.ticket, call.attributes);
        actions.push_back(GateAction{call.ticket, true, RefusalReason::None, Duration::zero()});
    }
}

// Refuses queued calls that can no longer be served in time, while their callers can still go elsewhere.
void TargetGate::refuseUnservable(Instant now, std::vector<GateAction> &actions)
{
    std::erase_if(this->queuedCalls, [&](const QueuedCall &call) {
        const Duration optimistic = this->optimisticRunTime(call.attributes);
        RefusalReason reason = RefusalReason::None;
        if (call.attributes.deadline <= now + optimistic)
            reason = RefusalReason::DeadlinePassed;
        else if (!this->canMeetTarget(now, call.attributes)
                 && (!call.attributes.lateAccepted || this->leavesNoRoomForLate(now, call.attributes)))
            reason = RefusalReason::TargetTooNear;
        if (reason == RefusalReason::None)
            return false;
        actions.push_back(
            GateAction{call.ticket, false, reason, this->retryAfter(now, call.attributes, reason)});
        return true;
    });
}

} // namespace Sagecrank
