// Admission, queueing and refusing at one upstream.
#include <LibDecide/Gate.h>

#include <algorithm>

namespace Sagecrank {

namespace {

using namespace std::chrono_literals;

// How many expected waits a call needs room for before it is queued. Load: demand that stays above the slots,
// in which every queue grows to what is let in. Harm: with room for one wait, each call ends at the edge of
// its deadline and many beyond it. With room for two, the queue still rides out a burst.
constexpr double waitMargin = 2.0;

// Load: a batch job of long calls beside short interactive ones. Harm: once a long call has a slot, nothing
// takes it back, so a burst of batch work would make every interactive call wait for it. While others have
// been seen lately, batch holds at most half of the slots and leaves a third of them free when it starts;
// those take what arrives next. It may always hold one, or it would starve.
constexpr std::uint32_t slotsPerBatchSlot = 2;
constexpr std::uint32_t slotsPerReservedSlot = 3;
constexpr Duration othersRemembered = 1s;

// Where to come back to is not known any better when the upstream is leaving or absent: by then the callers'
// nodes have heard of it, which takes them about a second.
constexpr Duration absentRetryAfter = 1s;

// A refused caller is never sent away for longer: the backlog seen now says little about later.
constexpr Duration longestRetryAfter = 10s;
constexpr Duration shortestRetryAfter = 5ms;

std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

Gate::Gate(GateSettings settings)
    : settings(settings)
    , limit(settings.slots)
    , jitterState(settings.jitterSeed)
{
}

GateDecision Gate::offer(Instant now, const CallAttributes &facts, std::vector<GateAction> &actions)
{
    const RefusalReason reason = this->refusal(now, facts);
    if (facts.callClass != CallClass::Batch)
        this->othersSeenAt = now;
    if (reason != RefusalReason::None)
        return this->refuse(now, facts.callClass, reason);

    const Ticket ticket = this->nextTicket++;
    if (this->mayStartNow(now, facts.callClass)) {
        this->begin(now, ticket, facts.callClass);
        return GateDecision{GateVerdict::Start, ticket, RefusalReason::None, Duration::zero()};
    }
    if (this->queued() >= this->settings.maximumQueue)
        this->displaceBatch(now, actions);
    this->queueOf(facts.callClass).push_back(Waiting{ticket, facts.deadline});
    return GateDecision{GateVerdict::Queue, ticket, RefusalReason::None, Duration::zero()};
}

void Gate::finish(Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions)
{
    const auto found =
        std::find_if(this->runningCalls.begin(), this->runningCalls.end(),
                     [ticket](const Running &candidate) { return candidate.ticket == ticket; });
    if (found == this->runningCalls.end())
        return;
    const Running ended = *found;
    const bool busy = this->fullAt >= ended.startedAt;
    *found = this->runningCalls.back();
    this->runningCalls.pop_back();

    const Duration took = now - ended.startedAt;
    this->shares.charge(now, ended.callClass, took - ended.charged);
    if (end == CallOutcome::Succeeded) {
        this->runTimes.observe(ended.callClass, took);
        this->limit.recordSuccess(busy);
    }
    // A call that was cut off would have run at least as long; that counts when it is more than the usual.
    if (end == CallOutcome::Cancelled && took > this->runTimes.mean(ended.callClass))
        this->runTimes.observe(ended.callClass, took);
    if (end == CallOutcome::Shed)
        this->limit.recordShed(now, this->runTimes.mean(ended.callClass));
    this->startWaiting(now, actions);
}

void Gate::cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions)
{
    for (auto &queue : this->queues)
        std::erase_if(queue, [ticket](const Waiting &waiting) { return waiting.ticket == ticket; });
    this->startWaiting(now, actions);
}

void Gate::advance(Instant now, std::vector<GateAction> &actions)
{
    for (const CallClass callClass : classPriorityOrder) {
        const Instant latest = now + this->runTimes.optimistic(callClass);
        std::erase_if(this->queueOf(callClass), [&](const Waiting &waiting) {
            if (waiting.deadline > latest)
                return false;
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{waiting.ticket, false, reason, this->retryAfter(now, callClass, reason)});
            return true;
        });
    }
    this->startWaiting(now, actions);
}

void Gate::setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                    std::vector<GateAction> &actions)
{
    const bool takes = condition == UpstreamCondition::Warming || condition == UpstreamCondition::Ready;
    this->limit.setSlots(slots);
    this->state = condition;
    if (takes) {
        this->startWaiting(now, actions);
        return;
    }
    const bool draining = condition == UpstreamCondition::Draining;
    this->refuseQueue(now, draining ? RefusalReason::Draining : RefusalReason::NotReady, actions);
}

void Gate::setMaximumQueue(std::uint32_t maximumQueue)
{
    this->settings.maximumQueue = maximumQueue;
}

bool Gate::wouldAdmit(Instant now, const CallAttributes &facts) const
{
    return this->refusal(now, facts) == RefusalReason::None;
}

std::uint32_t Gate::running() const
{
    return static_cast<std::uint32_t>(this->runningCalls.size());
}

std::uint32_t Gate::queued() const
{
    std::size_t total = 0;
    for (const auto &queue : this->queues)
        total += queue.size();
    return static_cast<std::uint32_t>(total);
}

std::uint32_t Gate::freeSlots() const
{
    if (!this->takesCalls() || this->running() >= this->limit.value())
        return 0;
    return this->limit.value() - this->running();
}

bool Gate::isIdle() const
{
    return this->running() == 0 && this->queued() == 0;
}

UpstreamCondition Gate::condition() const
{
    return this->state;
}

Duration Gate::expectedRunTime(CallClass callClass) const
{
    return this->runTimes.mean(callClass);
}

// Two bounds, of which the lower holds. By order: the calls that go first and those of its own class run
// before it, in the part of the slots that the classes ahead have left lately. By right: its own class runs
// at least at the rate that it is owed.
Duration Gate::expectedWait(Instant now, CallClass callClass) const
{
    if (this->mayStartNow(now, callClass))
        return Duration::zero();
    const double slots = std::max(1U, this->limit.value());
    const double own =
        toSeconds(this->runTimes.mean(callClass)) * static_cast<double>(this->queueOf(callClass).size() + 1);
    double ahead = 0;
    for (const CallClass other : classPriorityOrder) {
        if (other >= callClass)
            break;
        ahead += toSeconds(this->runTimes.mean(other)) * static_cast<double>(this->queueOf(other).size());
    }
    const double byOrder = (own + ahead) / (slots * this->shares.remainingShare(now, callClass, slots));
    const double byRight = own / (slots * SlotShares::guaranteedShare(callClass));
    return fromSeconds(std::min(byOrder, byRight));
}

std::optional<Instant> Gate::nextDeadline() const
{
    std::optional<Instant> next;
    for (const CallClass callClass : classPriorityOrder) {
        const Duration quick = this->runTimes.optimistic(callClass);
        for (const Waiting &waiting : this->queueOf(callClass))
            next = std::min(next.value_or(Instant::max()), waiting.deadline - quick);
    }
    return next;
}

std::deque<Gate::Waiting> &Gate::queueOf(CallClass callClass)
{
    return this->queues[indexOf(callClass)];
}

const std::deque<Gate::Waiting> &Gate::queueOf(CallClass callClass) const
{
    return this->queues[indexOf(callClass)];
}

bool Gate::takesCalls() const
{
    return this->state == UpstreamCondition::Warming || this->state == UpstreamCondition::Ready;
}

std::uint32_t Gate::runningOf(CallClass callClass) const
{
    const auto count =
        std::count_if(this->runningCalls.begin(), this->runningCalls.end(),
                      [callClass](const Running &call) { return call.callClass == callClass; });
    return static_cast<std::uint32_t>(count);
}

bool Gate::batchMayStart(Instant now) const
{
    const bool othersPresent =
        this->othersSeenAt != Instant::min() && now - this->othersSeenAt < othersRemembered;
    if (!othersPresent)
        return true;
    const std::uint32_t batchRunning = this->runningOf(CallClass::Batch);
    if (batchRunning == 0)
        return true;
    const bool leavesReserve = this->freeSlots() > this->limit.value() / slotsPerReservedSlot;
    return leavesReserve && batchRunning < this->limit.value() / slotsPerBatchSlot;
}

bool Gate::mayStartNow(Instant now, CallClass callClass) const
{
    if (this->freeSlots() == 0)
        return false;
    if (callClass == CallClass::Batch && !this->batchMayStart(now))
        return false;
    return this->queueOf(callClass).empty();
}

// A call that starts at once is judged by what a quick one takes, and not at all when no other of its class
// runs. Failure: the upstream was slow for a while and its estimate is above every deadline. Symptom: all
// calls of the class are refused, so none can show that it is quick again. One at a time is enough to correct
// the estimate. One that waits must have room for the usual run time and for a wait longer than expected: it
// has another place to go now, and none once it has waited.
bool Gate::inTime(Instant now, const CallAttributes &facts, Duration wait) const
{
    if (wait <= Duration::zero()) {
        const bool onlyOne = this->runningOf(facts.callClass) == 0;
        const Duration least = onlyOne ? Duration::zero() : this->runTimes.optimistic(facts.callClass);
        return now + least < facts.deadline;
    }
    const Duration room = fromSeconds(toSeconds(wait) * waitMargin);
    return now + room + this->runTimes.mean(facts.callClass) < facts.deadline;
}

// Load: more calls than the slots bear. Harm: a call that waits past its deadline costs its caller the whole
// patience and, when it starts late, a slot for an answer that nobody reads. It is refused at once instead,
// while its caller can still go elsewhere. The queue's bound is the second line: it holds when run times are
// not known yet and deadlines are long.
RefusalReason Gate::refusal(Instant now, const CallAttributes &facts) const
{
    if (this->state == UpstreamCondition::Draining)
        return RefusalReason::Draining;
    if (!this->takesCalls() || this->limit.slots() == 0)
        return RefusalReason::NotReady;
    if (!this->inTime(now, facts, this->expectedWait(now, facts.callClass)))
        return RefusalReason::DeadlineTooNear;
    if (this->mayStartNow(now, facts.callClass) || this->queued() < this->settings.maximumQueue)
        return RefusalReason::None;
    const bool mayDisplace = facts.callClass != CallClass::Batch && !this->queueOf(CallClass::Batch).empty();
    return mayDisplace ? RefusalReason::None : RefusalReason::QueueFull;
}

GateDecision Gate::refuse(Instant now, CallClass callClass, RefusalReason reason)
{
    return GateDecision{GateVerdict::Refuse, 0, reason, this->retryAfter(now, callClass, reason)};
}

// Load: a burst that is refused together. Harm: told the same moment, all of it returns together and is
// refused again. Each refused caller is given a turn of its own, one run time of a slot after the last one's,
// so that they return at the rate the slots bear, with jitter against those whom other gates refused.
Duration Gate::retryAfter(Instant now, CallClass callClass, RefusalReason reason)
{
    if (reason == RefusalReason::Draining || reason == RefusalReason::NotReady)
        return this->jittered(absentRetryAfter);
    const Duration turn = this->runTimes.mean(callClass) / std::max(1U, this->limit.value());
    const Instant drained = now + this->expectedWait(now, callClass);
    this->nextReturn = std::max(this->nextReturn, drained) + turn;
    this->nextReturn = std::min(this->nextReturn, now + longestRetryAfter);
    return std::max(shortestRetryAfter, this->jittered(this->nextReturn - now));
}

// Between three quarters and five quarters of the span.
Duration Gate::jittered(Duration span)
{
    this->jitterState = this->jitterState * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = static_cast<double>(this->jitterState >> 11U) * 0x1p-53;
    return fromSeconds(toSeconds(span) * (0.75 + 0.5 * uniform));
}

void Gate::begin(Instant now, Ticket ticket, CallClass callClass)
{
    const Duration charged = this->runTimes.mean(callClass);
    this->shares.charge(now, callClass, charged);
    this->runningCalls.push_back(Running{ticket, callClass, now, charged});
    if (this->running() >= this->limit.value())
        this->fullAt = now;
}

std::optional<CallClass> Gate::nextClass(Instant now) const
{
    const auto mayGo = [&](CallClass callClass) {
        return !this->queueOf(callClass).empty()
               && (callClass != CallClass::Batch || this->batchMayStart(now));
    };
    for (const CallClass callClass : classPriorityOrder) {
        if (mayGo(callClass) && this->shares.isBelowGuarantee(callClass))
            return callClass;
    }
    for (const CallClass callClass : classPriorityOrder) {
        if (mayGo(callClass))
            return callClass;
    }
    return std::nullopt;
}

void Gate::startWaiting(Instant now, std::vector<GateAction> &actions)
{
    while (this->freeSlots() > 0) {
        const std::optional<CallClass> callClass = this->nextClass(now);
        if (!callClass)
            return;
        const Waiting waiting = this->queueOf(*callClass).front();
        this->queueOf(*callClass).pop_front();
        if (waiting.deadline <= now + this->runTimes.optimistic(*callClass)) {
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{waiting.ticket, false, reason, this->retryAfter(now, *callClass, reason)});
            continue;
        }
        this->begin(now, waiting.ticket, *callClass);
        actions.push_back(GateAction{waiting.ticket, true, RefusalReason::None, Duration::zero()});
    }
}

// The newest goes: it has waited least, and the older ones keep their turn.
void Gate::displaceBatch(Instant now, std::vector<GateAction> &actions)
{
    auto &batch = this->queueOf(CallClass::Batch);
    const Waiting displaced = batch.back();
    batch.pop_back();
    const RefusalReason reason = RefusalReason::Displaced;
    actions.push_back(
        GateAction{displaced.ticket, false, reason, this->retryAfter(now, CallClass::Batch, reason)});
}

void Gate::refuseQueue(Instant now, RefusalReason reason, std::vector<GateAction> &actions)
{
    for (const CallClass callClass : classPriorityOrder) {
        for (const Waiting &waiting : this->queueOf(callClass))
            actions.push_back(
                GateAction{waiting.ticket, false, reason, this->retryAfter(now, callClass, reason)});
        this->queueOf(callClass).clear();
    }
}

} // namespace Sagecrank
