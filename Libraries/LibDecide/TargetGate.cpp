// Admitting, starting and refusing by target.
#include <LibDecide/TargetGate.h>
#include <LibDecide/TargetGateConstants.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

using namespace TargetGateFigures;

TargetGate::TargetGate(TargetGateSettings settings)
    : settings(settings)
    , slots(settings.slots)
    , jitterState(settings.jitterSeed)
{
}

GateDecision TargetGate::offer(Instant now, const CallAttributes &facts, std::vector<GateAction> &actions)
{
    Kind &kind = this->obtain(now, facts);
    const RefusalReason reason = this->refusal(now, facts);
    // A call that may still go elsewhere, or come back here for a late answer, is counted there and then.
    // Counted at each gate that refuses it, a kind that is well served would pass for one that gets nothing.
    const bool hasOtherChance = reason == RefusalReason::TargetTooNear && facts.target && !facts.lateAccepted;
    if (!hasOtherChance)
        kind.offered += 1;
    if (reason != RefusalReason::None)
        return this->refuse(now, facts, reason);
    const Ticket ticket = this->nextTicket++;
    if (this->mayStartNow(now, facts)) {
        this->begin(now, ticket, facts);
        return GateDecision{GateVerdict::Start, ticket, RefusalReason::None, Duration::zero()};
    }
    this->waitingCalls.push_back(Waiting{ticket, facts});
    this->refuseHopeless(now, actions);
    return GateDecision{GateVerdict::Queue, ticket, RefusalReason::None, Duration::zero()};
}

void TargetGate::finish(Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions)
{
    const auto found = std::find_if(this->runningCalls.begin(), this->runningCalls.end(),
                                    [ticket](const Running &call) { return call.ticket == ticket; });
    if (found == this->runningCalls.end())
        return;
    const Running ended = *found;
    *found = this->runningCalls.back();
    this->runningCalls.pop_back();
    const Duration took = now - ended.startedAt;
    if (end == CallOutcome::Succeeded)
        this->observe(ended.kind, took);
    // A call that was cut off would have run at least as long; that counts when it is more than the usual.
    const Kind *kind = this->find(ended.kind);
    if (end == CallOutcome::Cancelled && kind != nullptr && toSeconds(took) > kind->mean)
        this->observe(ended.kind, took);
    this->startWaiting(now, actions);
}

void TargetGate::cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions)
{
    std::erase_if(this->waitingCalls, [ticket](const Waiting &call) { return call.ticket == ticket; });
    this->startWaiting(now, actions);
}

void TargetGate::advance(Instant now, std::vector<GateAction> &actions)
{
    this->startWaiting(now, actions);
}

void TargetGate::setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                          std::vector<GateAction> &actions)
{
    this->slots = slots;
    this->state = condition;
    if (this->takesCalls())
        return this->startWaiting(now, actions);
    const RefusalReason reason =
        condition == UpstreamCondition::Draining ? RefusalReason::Draining : RefusalReason::NotReady;
    for (const Waiting &call : this->waitingCalls)
        actions.push_back(GateAction{call.ticket, false, reason, this->retryAfter(now, call.facts, reason)});
    this->waitingCalls.clear();
}

void TargetGate::setMaximumQueue(std::uint32_t maximumQueue)
{
    this->settings.maximumQueue = maximumQueue;
}

bool TargetGate::wouldAdmit(Instant now, const CallAttributes &facts) const
{
    return this->refusal(now, facts) == RefusalReason::None;
}

std::uint32_t TargetGate::freeSlots() const
{
    if (!this->takesCalls() || this->running() >= this->slots)
        return 0;
    return this->slots - this->running();
}

std::optional<Instant> TargetGate::nextDeadline() const
{
    std::optional<Instant> next;
    for (const Waiting &call : this->waitingCalls) {
        const Duration quick = this->quickRun(call.facts);
        Instant at = call.facts.deadline - quick;
        if (call.facts.target && !call.facts.lateAccepted)
            at = std::min(at, *call.facts.target - quick);
        next = std::min(next.value_or(Instant::max()), at);
    }
    return next;
}

bool TargetGate::takesCalls() const
{
    return this->state == UpstreamCondition::Warming || this->state == UpstreamCondition::Ready;
}

// Load: more calls than the slots bear. Harm: a call that waits for nothing costs its caller the patience
// that another try would need. It is refused at once: when it cannot be answered before its deadline, or only
// after its target while there may be a better place, or when it would be late and everything in time goes
// before it.
RefusalReason TargetGate::refusal(Instant now, const CallAttributes &facts) const
{
    if (this->state == UpstreamCondition::Draining)
        return RefusalReason::Draining;
    if (!this->takesCalls() || this->slots == 0)
        return RefusalReason::NotReady;
    const Duration wait = this->expectedWait(now, facts);
    if (wait <= Duration::zero()) {
        // One at a time may correct an estimate that is above every deadline.
        const bool onlyOne = this->runningCalls.empty();
        const Duration least = onlyOne ? Duration::zero() : this->quickRun(facts);
        if (now + least >= facts.deadline)
            return RefusalReason::DeadlineTooNear;
        return facts.lateAccepted || onlyOne || this->inTime(now, facts) ? RefusalReason::None
                                                                         : RefusalReason::TargetTooNear;
    }
    const Duration run = this->usualRun(now, facts);
    if (this->queued() >= this->settings.maximumQueue)
        return RefusalReason::QueueFull;
    const bool beforeDeadline = now + wait + run < facts.deadline;
    if (!facts.target)
        return beforeDeadline ? RefusalReason::None : RefusalReason::DeadlineTooNear;
    if (beforeDeadline && now + wait + this->likelyRun(now, facts) <= *facts.target)
        return RefusalReason::None;
    if (!facts.lateAccepted)
        return RefusalReason::TargetTooNear;
    CallAttributes late = facts;
    late.target = now - 1h;
    if (this->lateIsHopeless(now, facts))
        return RefusalReason::TargetTooNear;
    const Duration lateWait = fromSeconds(toSeconds(this->expectedWait(now, late)) * lateMargin);
    return now + lateWait + run < facts.deadline ? RefusalReason::None : RefusalReason::DeadlineTooNear;
}

GateDecision TargetGate::refuse(Instant now, const CallAttributes &facts, RefusalReason reason)
{
    return GateDecision{GateVerdict::Refuse, 0, reason, this->retryAfter(now, facts, reason)};
}

// Load: a burst that is refused together. Harm: told the same moment, all of it returns together and is
// refused again. Each refused caller is given a turn of its own, one run time of a slot after the last one's.
Duration TargetGate::retryAfter(Instant now, const CallAttributes &facts, RefusalReason reason)
{
    if (reason == RefusalReason::Draining || reason == RefusalReason::NotReady)
        return this->jittered(absentRetryAfter);
    const Duration turn = this->usualRun(now, facts) / std::max(1U, this->slots);
    const Instant drained = now + this->expectedWait(now, facts);
    this->nextReturn = std::max(this->nextReturn, drained) + turn;
    this->nextReturn = std::min(this->nextReturn, now + longestRetryAfter);
    return std::max(shortestRetryAfter, this->jittered(this->nextReturn - now));
}

// Between three quarters and five quarters of the span.
Duration TargetGate::jittered(Duration span)
{
    this->jitterState = this->jitterState * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = static_cast<double>(this->jitterState >> 11U) * 0x1p-53;
    return fromSeconds(toSeconds(span) * (0.75 + 0.5 * uniform));
}

void TargetGate::begin(Instant now, Ticket ticket, const CallAttributes &facts)
{
    Kind &kind = this->obtain(now, facts);
    kind.started += 1;
    this->runningCalls.push_back(Running{ticket, facts.kind, now});
}

void TargetGate::startWaiting(Instant now, std::vector<GateAction> &actions)
{
    this->refuseHopeless(now, actions);
    while (this->freeSlots() > 0) {
        std::optional<std::size_t> best;
        Rank bestRank;
        for (std::size_t index = 0; index < this->waitingCalls.size(); ++index) {
            const Waiting &call = this->waitingCalls[index];
            const Rank rank = this->rankOf(now, call.facts, call.ticket);
            if (!this->leavesReserve(now, call.facts) || (best && !ranksBefore(rank, bestRank)))
                continue;
            best = index;
            bestRank = rank;
        }
        if (!best)
            return;
        const Waiting call = this->waitingCalls[*best];
        this->waitingCalls.erase(this->waitingCalls.begin() + static_cast<std::ptrdiff_t>(*best));
        if (call.facts.deadline <= now + this->quickRun(call.facts)) {
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{call.ticket, false, reason, this->retryAfter(now, call.facts, reason)});
            continue;
        }
        this->begin(now, call.ticket, call.facts);
        actions.push_back(GateAction{call.ticket, true, RefusalReason::None, Duration::zero()});
    }
}

// Those that waited in vain are told at once, while their callers can still turn elsewhere.
void TargetGate::refuseHopeless(Instant now, std::vector<GateAction> &actions)
{
    std::erase_if(this->waitingCalls, [&](const Waiting &call) {
        const Duration quick = this->quickRun(call.facts);
        RefusalReason reason = RefusalReason::None;
        if (call.facts.deadline <= now + quick)
            reason = RefusalReason::DeadlinePassed;
        else if (!this->inTime(now, call.facts)
                 && (!call.facts.lateAccepted || this->lateIsHopeless(now, call.facts)))
            reason = RefusalReason::TargetTooNear;
        if (reason == RefusalReason::None)
            return false;
        actions.push_back(GateAction{call.ticket, false, reason, this->retryAfter(now, call.facts, reason)});
        return true;
    });
}

} // namespace Sagecrank
