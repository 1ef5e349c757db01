// Admits, queues and refuses the calls of one upstream by call class.
#include <LibDecide/Gate.h>

#include <algorithm>

namespace Sagecrank {

namespace {

using namespace std::chrono_literals;

// A call is queued only if this many times the expected wait fits before its deadline. Under sustained
// overload every queue grows to what is admitted: with room for one wait, calls end at the edge of their
// deadlines and many after it. With room for two, the queue still absorbs a burst.
constexpr double queueWaitFactor = 2.0;

// A running call is never preempted, so a burst of long batch calls would make every interactive call wait
// for them. While calls of other classes have been seen recently, batch holds at most half of the slots and
// leaves a third of the slots free when it starts one; these serve the next arrivals. Batch may always hold
// one slot, since it would starve otherwise.
constexpr std::uint32_t slotsPerBatchSlot = 2;
constexpr std::uint32_t slotsPerReservedSlot = 3;
constexpr Duration nonBatchMemory = 1s;

// Used if the upstream is draining or absent: callers' nodes learn of that within about a second, and nothing
// better is known.
constexpr Duration unavailableRetryAfter = 1s;

// Upper bound of a retry delay, since the current backlog says little about later load.
constexpr Duration maximumRetryAfter = 10s;
constexpr Duration minimumRetryAfter = 5ms;

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
    , startLimit(settings.startBurst)
    , jitterState(settings.jitterSeed)
{
}

GateDecision Gate::offer(Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions)
{
    const RefusalReason reason = this->refusal(now, attributes);
    if (attributes.callClass != CallClass::Batch)
        this->lastNonBatchOfferAt = now;
    if (reason != RefusalReason::None)
        return this->refuse(now, attributes.callClass, reason);

    const Ticket ticket = this->nextTicket++;
    if (this->mayStartNow(now, attributes.callClass)) {
        this->start(now, ticket, attributes.callClass);
        return GateDecision{GateVerdict::Start, ticket, RefusalReason::None, Duration::zero()};
    }
    if (this->queued() >= this->settings.maximumQueue)
        this->displaceNewestBatchCall(now, actions);
    this->queueOf(attributes.callClass).push_back(QueuedCall{ticket, attributes.deadline});
    return GateDecision{GateVerdict::Queue, ticket, RefusalReason::None, Duration::zero()};
}

void Gate::finish(Instant now, Ticket ticket, CallOutcome outcome, std::vector<GateAction> &actions)
{
    const auto found =
        std::find_if(this->runningCalls.begin(), this->runningCalls.end(),
                     [ticket](const RunningCall &candidate) { return candidate.ticket == ticket; });
    if (found == this->runningCalls.end())
        return;
    const RunningCall finished = *found;
    const bool atLimit = this->lastSaturatedAt >= finished.startedAt;
    *found = this->runningCalls.back();
    this->runningCalls.pop_back();

    const Duration took = now - finished.startedAt;
    this->shares.charge(now, finished.callClass, took - finished.chargedSlotTime);
    if (outcome == CallOutcome::Succeeded) {
        this->runTimes.observe(finished.callClass, took);
        this->limit.recordSuccess(atLimit);
    }
    // A cancelled call would have run at least this long, so its time counts if it is above the mean.
    if (outcome == CallOutcome::Cancelled && took > this->runTimes.mean(finished.callClass))
        this->runTimes.observe(finished.callClass, took);
    if (outcome == CallOutcome::Shed)
        this->limit.recordShed(now, this->runTimes.mean(finished.callClass));
    this->startQueuedCalls(now, actions);
}

void Gate::cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions)
{
    for (auto &queue : this->queues)
        std::erase_if(queue, [ticket](const QueuedCall &call) { return call.ticket == ticket; });
    this->startQueuedCalls(now, actions);
}

void Gate::advance(Instant now, std::vector<GateAction> &actions)
{
    for (const CallClass callClass : classPriorityOrder) {
        const Instant earliestFinish = now + this->runTimes.optimistic(callClass);
        std::erase_if(this->queueOf(callClass), [&](const QueuedCall &call) {
            if (call.deadline > earliestFinish)
                return false;
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{call.ticket, false, reason, this->retryAfter(now, callClass, reason)});
            return true;
        });
    }
    this->startQueuedCalls(now, actions);
}

void Gate::setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                    std::vector<GateAction> &actions)
{
    const bool accepts = condition == UpstreamCondition::Warming || condition == UpstreamCondition::Ready;
    this->limit.setSlots(slots);
    this->state = condition;
    if (accepts) {
        this->startQueuedCalls(now, actions);
        return;
    }
    const bool draining = condition == UpstreamCondition::Draining;
    this->refuseQueuedCalls(now, draining ? RefusalReason::Draining : RefusalReason::NotReady, actions);
}

void Gate::setMaximumQueue(std::uint32_t maximumQueue)
{
    this->settings.maximumQueue = maximumQueue;
}

void Gate::setStartLimit(Instant now, std::optional<double> callsPerSecond, std::vector<GateAction> &actions)
{
    this->startLimit.setRate(now, callsPerSecond);
    this->startQueuedCalls(now, actions);
}

bool Gate::wouldAdmit(Instant now, const CallAttributes &attributes) const
{
    return this->refusal(now, attributes) == RefusalReason::None;
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

std::uint32_t Gate::unusedSlots() const
{
    if (!this->acceptsCalls() || this->running() >= this->limit.value())
        return 0;
    return this->limit.value() - this->running();
}

std::uint32_t Gate::freeSlots(Instant now) const
{
    return std::min(this->unusedSlots(), this->startLimit.available(now));
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

Duration Gate::expectedWait(Instant now, CallClass callClass) const
{
    if (this->mayStartNow(now, callClass))
        return Duration::zero();
    return std::max(this->expectedWaitForSlot(now, callClass),
                    this->expectedWaitForStartLimit(now, callClass));
}

// The lower of two bounds. By precedence: the queued calls of its own and of higher classes run first, in the
// share of the slots that the higher classes have left recently. By guarantee: its own class runs at least at
// the rate of its guaranteed share.
Duration Gate::expectedWaitForSlot(Instant now, CallClass callClass) const
{
    const double slots = std::max(1U, this->limit.value());
    const double own =
        toSeconds(this->runTimes.mean(callClass)) * static_cast<double>(this->queueOf(callClass).size() + 1);
    double ahead = 0;
    for (const CallClass other : classPriorityOrder) {
        if (other >= callClass)
            break;
        ahead += toSeconds(this->runTimes.mean(other)) * static_cast<double>(this->queueOf(other).size());
    }
    const double boundByPrecedence =
        (own + ahead) / (slots * this->shares.remainingShare(now, callClass, slots));
    const double boundByGuarantee = own / (slots * SlotShares::guaranteedShare(callClass));
    return fromSeconds(std::min(boundByPrecedence, boundByGuarantee));
}

// The same two bounds for the starts that the limit allows. While it holds calls back, the slots in use are
// those that it allows to be used.
Duration Gate::expectedWaitForStartLimit(Instant now, CallClass callClass) const
{
    if (!this->startLimit.isSet())
        return Duration::zero();
    const auto startsOfClass = static_cast<std::uint32_t>(this->queueOf(callClass).size() + 1);
    const auto starts = startsOfClass + static_cast<std::uint32_t>(this->callsAheadOf(callClass));
    const double slotsInUse = this->shares.slotsInUse(now);
    const double remainingShare =
        slotsInUse > 0 ? this->shares.remainingShare(now, callClass, slotsInUse) : 1;
    const double boundByPrecedence = toSeconds(this->startLimit.timeUntil(now, starts)) / remainingShare;
    const double boundByGuarantee =
        toSeconds(this->startLimit.timeUntil(now, startsOfClass)) / SlotShares::guaranteedShare(callClass);
    return fromSeconds(std::min(boundByPrecedence, boundByGuarantee));
}

// Queued calls of higher classes.
std::size_t Gate::callsAheadOf(CallClass callClass) const
{
    std::size_t calls = 0;
    for (const CallClass other : classPriorityOrder) {
        if (other >= callClass)
            break;
        calls += this->queueOf(other).size();
    }
    return calls;
}

std::optional<Instant> Gate::nextDeadline() const
{
    std::optional<Instant> next;
    for (const CallClass callClass : classPriorityOrder) {
        const Duration quick = this->runTimes.optimistic(callClass);
        for (const QueuedCall &call : this->queueOf(callClass))
            next = std::min(next.value_or(Instant::max()), call.deadline - quick);
    }
    return next;
}

std::optional<Instant> Gate::nextStart(Instant now) const
{
    if (this->queued() == 0 || this->unusedSlots() == 0 || this->startLimit.available(now) > 0)
        return std::nullopt;
    return now + this->startLimit.timeUntil(now, 1);
}

std::deque<Gate::QueuedCall> &Gate::queueOf(CallClass callClass)
{
    return this->queues[indexOf(callClass)];
}

const std::deque<Gate::QueuedCall> &Gate::queueOf(CallClass callClass) const
{
    return this->queues[indexOf(callClass)];
}

bool Gate::acceptsCalls() const
{
    return this->state == UpstreamCondition::Warming || this->state == UpstreamCondition::Ready;
}

std::uint32_t Gate::runningOf(CallClass callClass) const
{
    const auto count =
        std::count_if(this->runningCalls.begin(), this->runningCalls.end(),
                      [callClass](const RunningCall &call) { return call.callClass == callClass; });
    return static_cast<std::uint32_t>(count);
}

bool Gate::mayStartBatch(Instant now) const
{
    const bool nonBatchPresent =
        this->lastNonBatchOfferAt != Instant::min() && now - this->lastNonBatchOfferAt < nonBatchMemory;
    if (!nonBatchPresent)
        return true;
    const std::uint32_t batchRunning = this->runningOf(CallClass::Batch);
    if (batchRunning == 0)
        return true;
    const bool leavesReserve = this->unusedSlots() > this->limit.value() / slotsPerReservedSlot;
    return leavesReserve && batchRunning < this->limit.value() / slotsPerBatchSlot;
}

bool Gate::mayStartNow(Instant now, CallClass callClass) const
{
    if (this->freeSlots(now) == 0)
        return false;
    if (callClass == CallClass::Batch && !this->mayStartBatch(now))
        return false;
    return this->queueOf(callClass).empty();
}

// A call that would start at once is checked against an optimistic run time, and against none if no other
// call of its class is running. Otherwise a period in which the upstream was slow could leave an estimate
// above every deadline: all calls of the class would be refused, and none could show that the upstream has
// recovered. One call at a time is enough to correct the estimate. A call that would wait needs room for the
// mean run time and for more than the expected wait, since its caller can try another gate now but no longer
// after the wait.
bool Gate::meetsDeadline(Instant now, const CallAttributes &attributes, Duration wait) const
{
    if (wait <= Duration::zero()) {
        const bool noneRunning = this->runningOf(attributes.callClass) == 0;
        const Duration minimumRunTime =
            noneRunning ? Duration::zero() : this->runTimes.optimistic(attributes.callClass);
        return now + minimumRunTime < attributes.deadline;
    }
    const Duration waitAllowance = fromSeconds(toSeconds(wait) * queueWaitFactor);
    return now + waitAllowance + this->runTimes.mean(attributes.callClass) < attributes.deadline;
}

// Under overload, a call that waits past its deadline uses up the caller's time and, if it starts late, a
// slot for an answer that nobody reads. It is refused at once, while its caller can still go elsewhere. The
// queue's maximum length is a second bound that applies while run times are unknown and deadlines are long.
RefusalReason Gate::refusal(Instant now, const CallAttributes &attributes) const
{
    if (this->state == UpstreamCondition::Draining)
        return RefusalReason::Draining;
    if (!this->acceptsCalls() || this->limit.slots() == 0)
        return RefusalReason::NotReady;
    if (!this->meetsDeadline(now, attributes, this->expectedWait(now, attributes.callClass)))
        return RefusalReason::DeadlineTooNear;
    if (this->mayStartNow(now, attributes.callClass) || this->queued() < this->settings.maximumQueue)
        return RefusalReason::None;
    const bool mayDisplace =
        attributes.callClass != CallClass::Batch && !this->queueOf(CallClass::Batch).empty();
    return mayDisplace ? RefusalReason::None : RefusalReason::QueueFull;
}

GateDecision Gate::refuse(Instant now, CallClass callClass, RefusalReason reason)
{
    return GateDecision{GateVerdict::Refuse, 0, reason, this->retryAfter(now, callClass, reason)};
}

// If callers refused in one burst were all told the same time, they would return together and be refused
// again. Each is given a time of its own, one mean run time of a slot after the previous one, so that they
// return at the rate that the slots can serve. Jitter spreads them against callers refused by other gates.
Duration Gate::retryAfter(Instant now, CallClass callClass, RefusalReason reason)
{
    if (reason == RefusalReason::Draining || reason == RefusalReason::NotReady)
        return this->jittered(unavailableRetryAfter);
    const Duration intervalOfSlots = this->runTimes.mean(callClass) / std::max(1U, this->limit.value());
    const Duration interval = std::max(intervalOfSlots, this->startLimit.interval());
    const Instant queueServedAt = now + this->expectedWait(now, callClass);
    this->nextRetryAt = std::max(this->nextRetryAt, queueServedAt) + interval;
    this->nextRetryAt = std::min(this->nextRetryAt, now + maximumRetryAfter);
    return std::max(minimumRetryAfter, this->jittered(this->nextRetryAt - now));
}

// Returns 75% to 125% of the duration.
Duration Gate::jittered(Duration duration)
{
    this->jitterState = this->jitterState * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = static_cast<double>(this->jitterState >> 11U) * 0x1p-53;
    return fromSeconds(toSeconds(duration) * (0.75 + 0.5 * uniform));
}

void Gate::start(Instant now, Ticket ticket, CallClass callClass)
{
    const Duration chargedSlotTime = this->runTimes.mean(callClass);
    this->shares.charge(now, callClass, chargedSlotTime);
    this->startLimit.recordStart(now);
    this->runningCalls.push_back(RunningCall{ticket, callClass, now, chargedSlotTime});
    if (this->running() >= this->limit.value())
        this->lastSaturatedAt = now;
}

std::optional<CallClass> Gate::nextClass(Instant now) const
{
    const auto mayStart = [&](CallClass callClass) {
        return !this->queueOf(callClass).empty()
               && (callClass != CallClass::Batch || this->mayStartBatch(now));
    };
    for (const CallClass callClass : classPriorityOrder) {
        if (mayStart(callClass) && this->shares.isBelowGuarantee(callClass))
            return callClass;
    }
    for (const CallClass callClass : classPriorityOrder) {
        if (mayStart(callClass))
            return callClass;
    }
    return std::nullopt;
}

void Gate::startQueuedCalls(Instant now, std::vector<GateAction> &actions)
{
    while (this->freeSlots(now) > 0) {
        const std::optional<CallClass> callClass = this->nextClass(now);
        if (!callClass)
            return;
        const QueuedCall call = this->queueOf(*callClass).front();
        this->queueOf(*callClass).pop_front();
        if (call.deadline <= now + this->runTimes.optimistic(*callClass)) {
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{call.ticket, false, reason, this->retryAfter(now, *callClass, reason)});
            continue;
        }
        this->start(now, call.ticket, *callClass);
        actions.push_back(GateAction{call.ticket, true, RefusalReason::None, Duration::zero()});
    }
}

// Refuses the newest batch call, which has waited least; older ones keep their position.
void Gate::displaceNewestBatchCall(Instant now, std::vector<GateAction> &actions)
{
    auto &batch = this->queueOf(CallClass::Batch);
    const QueuedCall displaced = batch.back();
    batch.pop_back();
    const RefusalReason reason = RefusalReason::Displaced;
    actions.push_back(
        GateAction{displaced.ticket, false, reason, this->retryAfter(now, CallClass::Batch, reason)});
}

void Gate::refuseQueuedCalls(Instant now, RefusalReason reason, std::vector<GateAction> &actions)
{
    for (const CallClass callClass : classPriorityOrder) {
        for (const QueuedCall &call : this->queueOf(callClass))
            actions.push_back(
                GateAction{call.ticket, false, reason, this->retryAfter(now, callClass, reason)});
        this->queueOf(callClass).clear();
    }
}

} // namespace Sagecrank
