// The path of a call through the gate: claim, admit, run, answer.
#include "LocalGate.h"

#include "GateCall.h"
#include "RequestFingerprint.h"
#include <Node/CallReasons.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusGatewayTimeout = 504;

// Bounds how often a queued call checks the queue.
constexpr Duration minimumQueueCheckInterval = Milliseconds(1);

} // namespace

LocalGate::LocalGate(std::string nodeId, AdmissionHooks admission, CallHeaders headerNames, ClaimHooks claims,
                     QuarantineHooks quarantine, HistoryRecorder &history, RequestObserver &observer,
                     UpstreamHooks upstreamHooks, double linkBytesPerSecond)
    : nodeId(std::move(nodeId))
    , headerNames(std::move(headerNames))
    , claims(std::move(claims))
    , quarantine(std::move(quarantine))
    , history(history)
    , observer(observer)
    , upstreamHooks(std::move(upstreamHooks))
    , admission(std::move(admission))
    , link(linkBytesPerSecond)
{
}

std::shared_ptr<GateCall> LocalGate::submit(RequestThread thread, CallRequest request, AnswerHook answer)
{
    const auto call =
        std::make_shared<GateCall>(thread, std::move(request), std::move(answer), this->observer);
    ++this->callCount;
    std::optional<Duration> refused;
    if (this->quarantine.remainingQuarantine)
        refused = this->quarantine.remainingQuarantine(call->request);
    // The host may have been reassigned to another service that the sender does not know of yet.
    if (!this->serves(call->request.cluster))
        this->refuse(call, refusalReasonNames.name(RefusalReason::NotReady), unreachableRetryAfter);
    else if (refused)
        this->refuse(call, reasonQuarantined, *refused);
    else if (call->hasIdempotencyKey())
        this->claimKey(call);
    else
        this->offer(call);
    return call;
}

bool LocalGate::tryRefuseBeforeBody(RequestThread thread, CallRequest request, Duration bodyTransferTime,
                                    AnswerHook answer)
{
    const auto call =
        std::make_shared<GateCall>(thread, std::move(request), std::move(answer), this->observer);
    CallAttributes attributes = call->attributes();
    attributes.deadline -= bodyTransferTime;
    if (attributes.target)
        *attributes.target -= bodyTransferTime;
    std::optional<GateDecision> refusal;
    if (!this->serves(call->request.cluster))
        refusal = GateDecision{GateVerdict::Refuse, 0, RefusalReason::NotReady, unreachableRetryAfter};
    else if (attributes.deadline <= call->arrivedAt)
        refusal = GateDecision{GateVerdict::Refuse, 0, RefusalReason::DeadlineTooNear, bodyTransferTime};
    else if (attributes.target && !attributes.lateAccepted && *attributes.target <= call->arrivedAt)
        refusal = GateDecision{GateVerdict::Refuse, 0, RefusalReason::TargetTooNear, bodyTransferTime};
    else
        refusal = this->refusalFor(attributes);
    if (!refusal)
        return false;
    ++this->callCount;
    this->refuse(call, refusalReasonNames.name(refusal->reason), refusal->retryAfter);
    return true;
}

void LocalGate::refuseUnsubmitted(RequestThread thread, CallRequest request, std::string_view reason,
                                  Duration retryAfter, AnswerHook answer)
{
    const auto call =
        std::make_shared<GateCall>(thread, std::move(request), std::move(answer), this->observer);
    ++this->callCount;
    this->refuse(call, reason, retryAfter);
}

std::optional<GateDecision> LocalGate::refusalFor(const CallAttributes &attributes)
{
    std::vector<GateAction> actions;
    std::optional<GateDecision> refusal;
    {
        const std::lock_guard guard(this->mutex);
        const Instant now = SteadyClock::now();
        if (!this->admission.wouldAdmit(now, attributes))
            refusal = this->admission.offer(now, attributes, actions);
        // offer() updates its statistics before it decides, so it may admit a call that wouldAdmit()
        // rejected. Nobody would end that ticket, and its slot would be lost for good.
        if (refusal && refusal->verdict == GateVerdict::Start)
            this->admission.finish(now, refusal->ticket, CallOutcome::Cancelled, actions);
        if (refusal && refusal->verdict == GateVerdict::Queue)
            this->admission.cancel(now, refusal->ticket, actions);
        if (refusal && refusal->verdict != GateVerdict::Refuse)
            refusal.reset();
    }
    this->applyActions(std::move(actions));
    return refusal;
}

// Asks the gate before it claims the key. Claiming and releasing the key of a call that a full gate refuses
// would cost two writes to the table.
void LocalGate::claimKey(const std::shared_ptr<GateCall> &call)
{
    if (const std::optional<GateDecision> refusal = this->refusalFor(call->attributes()))
        return this->refuse(call, refusalReasonNames.name(refusal->reason), refusal->retryAfter);

    this->openStepSpan(*call, SpanName::Claim);
    this->claims.claim(
        call->claimKey, call->request.attemptId, call->deadline, [this, call](const ClaimResponse &answer) {
            boost::asio::post(call->thread.context, [this, call, answer] { this->afterClaim(call, answer); });
        });
}

void LocalGate::afterClaim(const std::shared_ptr<GateCall> &call, const ClaimResponse &answer)
{
    closeStepSpan(*call);
    switch (answer.decision) {
    case ClaimDecision::Granted:
        call->claimed = true;
        if (call->cancelled)
            return this->refuse(call, reasonCancelled, unreachableRetryAfter);
        return this->offer(call);
    case ClaimDecision::AlreadyDone:
        return this->replay(call, answer.outcome);
    case ClaimDecision::InProgress:
        return this->answerUnknown(call, reasonKeyInProgress, statusConflict, answer.retryAfter);
    case ClaimDecision::Unknown:
        return this->answerUnknown(call, reasonKeyUnknown, statusGatewayTimeout, unreachableRetryAfter);
    case ClaimDecision::NotRun:
        return this->refuse(call, answer.reason, answer.retryAfter);
    }
}

void LocalGate::openStepSpan(GateCall &call, SpanName name)
{
    call.stepSpan.emplace(
        this->observer.openSpan(name, formatTraceParent(call.gateSpan.context()), SteadyClock::now()));
}

void LocalGate::closeStepSpan(GateCall &call)
{
    if (call.stepSpan)
        call.stepSpan->end(SteadyClock::now());
    call.stepSpan.reset();
}

void LocalGate::offer(const std::shared_ptr<GateCall> &call)
{
    std::vector<GateAction> actions;
    GateDecision decision;
    {
        const std::lock_guard guard(this->mutex);
        const Instant now = SteadyClock::now();
        decision = this->admission.offer(now, this->attributesOf(*call, now), actions);
        call->usesLink = decision.verdict != GateVerdict::Refuse && call->isFromPeer()
                         && this->link.isLimited(call->request.kind);
        if (call->usesLink)
            this->link.started(call->request.kind);
        call->ticket = decision.ticket;
        call->upstreamAddress = this->current.address;
        call->upstreamInstance = this->current.instance;
        call->upstreamStartedAt = this->current.startedAt;
        if (decision.verdict == GateVerdict::Queue) {
            call->stage = GateCallStage::Queued;
            this->queuedCalls.emplace(decision.ticket, call);
        }
    }
    this->applyActions(std::move(actions));
    if (decision.verdict == GateVerdict::Refuse)
        return this->refuse(call, refusalReasonNames.name(decision.reason), decision.retryAfter);
    this->history.record([&] {
        return GateAdmitted{call->request.callerCallId, call->request.attemptId, call->request.idempotencyKey,
                            std::string(callClassNames.name(call->request.callClass))};
    });
    if (decision.verdict == GateVerdict::Start)
        return this->start(call);
    this->openStepSpan(*call, SpanName::Queue);
    this->scheduleQueueCheck(call);
    this->scheduleNextStart(call->thread);
}

// Refuses a queued call as soon as it can no longer be answered in time, and not only at its deadline.
void LocalGate::scheduleQueueCheck(const std::shared_ptr<GateCall> &call)
{
    const Instant now = SteadyClock::now();
    std::optional<Instant> next;
    {
        const std::lock_guard guard(this->mutex);
        next = this->admission.nextDeadline();
    }
    call->waitTimer.expires_at(std::max(next.value_or(call->deadline), now + minimumQueueCheckInterval));
    call->waitTimer.async_wait([this, call](const boost::system::error_code &error) {
        if (error || call->stage != GateCallStage::Queued)
            return;
        this->advance();
        this->scheduleQueueCheck(call);
    });
}

// Wakes the gate when the start limit admits the next queued call, since no other event does.
void LocalGate::scheduleNextStart(RequestThread thread)
{
    Instant at;
    {
        const std::lock_guard guard(this->mutex);
        const std::optional<Instant> next = this->admission.nextStart(SteadyClock::now());
        if (!next || this->nextStartScheduled)
            return;
        this->nextStartScheduled = true;
        at = *next;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(thread.context, at);
    // The handler keeps the timer alive.
    timer->async_wait([this, timer, thread](const boost::system::error_code &) {
        {
            const std::lock_guard guard(this->mutex);
            this->nextStartScheduled = false;
        }
        this->advance();
        this->scheduleNextStart(thread);
    });
}

// A decision on one thread may start or refuse calls of other threads; each call goes on in its own thread.
void LocalGate::applyActions(std::vector<GateAction> actions)
{
    for (const GateAction &action : actions) {
        std::shared_ptr<GateCall> call;
        {
            const std::lock_guard guard(this->mutex);
            const auto found = this->queuedCalls.find(action.ticket);
            if (found == this->queuedCalls.end())
                continue;
            call = std::move(found->second);
            this->queuedCalls.erase(found);
        }
        boost::asio::post(call->thread.context, [this, call, action] {
            if (action.start)
                return this->start(call);
            this->refuse(call, refusalReasonNames.name(action.reason), action.retryAfter);
        });
    }
}

// The last point at which the call is known not to have run. If the process was paused, the deadline has
// passed here and the call does not start, although it holds a slot and perhaps a claim.
void LocalGate::start(const std::shared_ptr<GateCall> &call)
{
    call->stage = GateCallStage::Running;
    call->waitTimer.cancel();
    call->startedAt = SteadyClock::now();
    closeStepSpan(*call);
    {
        const std::lock_guard guard(this->mutex);
        this->runningCallIds.insert(call->request.callerCallId);
    }
    const bool deadlinePassed = call->startedAt >= call->deadline;
    if (deadlinePassed || call->cancelled) {
        this->freeSlot(call, CallOutcome::Cancelled);
        const RefusalReason reason = RefusalReason::DeadlinePassed;
        return this->refuse(call, deadlinePassed ? refusalReasonNames.name(reason) : reasonCancelled,
                            unreachableRetryAfter);
    }
    this->history.record([&] { return GateStarted{call->request.callerCallId, call->request.attemptId}; });
    const Duration remaining = call->deadline - call->startedAt;
    this->observer.recordGateWait(call->startedAt - call->arrivedAt);
    this->openStepSpan(*call, SpanName::Upstream);
    HttpSendOptions options;
    options.timeout = remaining;
    options.correlationHeader = this->headerNames.callId;
    options.echoRequired = this->headerNames.upstreamEchoesCallId;
    call->sent = true;
    call->sending =
        call->thread.client.send(call->upstreamAddress, this->upstreamRequest(*call, remaining), options,
                                 [this, call](const HttpFailure *failure, HttpResponse response) {
                                     if (failure != nullptr)
                                         return this->upstreamFailed(call, *failure);
                                     this->upstreamAnswered(call, std::move(response));
                                 });
}

void LocalGate::freeSlot(const std::shared_ptr<GateCall> &call, CallOutcome outcome)
{
    closeStepSpan(*call);
    std::vector<GateAction> actions;
    {
        const std::lock_guard guard(this->mutex);
        const auto running = this->runningCallIds.find(call->request.callerCallId);
        if (running != this->runningCallIds.end())
            this->runningCallIds.erase(running);
        this->admission.finish(SteadyClock::now(), call->ticket, outcome, actions);
    }
    this->applyActions(std::move(actions));
    this->scheduleNextStart(call->thread);
}

void LocalGate::refuseIfQueued(const std::shared_ptr<GateCall> &call)
{
    if (call->stage == GateCallStage::Queued)
        this->cancel(call);
}

void LocalGate::refuseQueuedCalls()
{
    const std::lock_guard guard(this->mutex);
    for (const auto &[ticket, call] : this->queuedCalls)
        boost::asio::post(call->thread.context, [this, call = call] { this->refuseIfQueued(call); });
}

void LocalGate::cancel(const std::shared_ptr<GateCall> &call)
{
    call->cancelled = true;
    switch (call->stage) {
    case GateCallStage::Queued: {
        std::vector<GateAction> actions;
        bool removed = false;
        {
            const std::lock_guard guard(this->mutex);
            removed = this->queuedCalls.erase(call->ticket) > 0;
            if (removed)
                this->admission.cancel(SteadyClock::now(), call->ticket, actions);
        }
        this->applyActions(std::move(actions));
        // Otherwise its start or refusal is already posted and will see that it is cancelled.
        if (removed)
            this->refuse(call, reasonCancelled, unreachableRetryAfter);
        return;
    }
    case GateCallStage::Running:
        if (call->isCancellable())
            call->sending.cancel();
        return;
    case GateCallStage::Claiming:
    case GateCallStage::Ended:
        return;
    }
}

void LocalGate::announce(const UpstreamAnnouncement &announcement)
{
    std::vector<GateAction> actions;
    bool replaced = false;
    bool wasLimited = false;
    {
        const std::lock_guard guard(this->mutex);
        replaced = this->current.instance != announcement.instance
                   || this->current.startedAt != announcement.startedAt;
        this->current = announcement;
        if (replaced)
            wasLimited = std::exchange(this->namedLimit, NamedLimit()).callsPerSecond().has_value();
        if (wasLimited)
            this->admission.setStartLimit(SteadyClock::now(), std::nullopt, actions);
        // Instances without a name cannot be told apart, so the latest statement holds.
        if (replaced || announcement.instance.empty())
            this->isLeaving = false;
        this->admission.setState(SteadyClock::now(), this->conditionFor(announcement), announcement.slots,
                                 actions);
    }
    if (wasLimited)
        this->observer.upstreamLimitChanged(announcement.instance, std::nullopt);
    if (replaced)
        this->handleUpstreamExit();
    this->applyActions(std::move(actions));
}

// A delayed announcement does not bring back an instance that leaves.
UpstreamCondition LocalGate::conditionFor(const UpstreamAnnouncement &announcement) const
{
    const bool takesCalls = announcement.condition == UpstreamCondition::Warming
                            || announcement.condition == UpstreamCondition::Ready;
    return this->isLeaving && takesCalls ? UpstreamCondition::Draining : announcement.condition;
}

void LocalGate::setMaximumQueue(std::uint32_t maximumQueue)
{
    const std::lock_guard guard(this->mutex);
    this->admission.setMaximumQueue(maximumQueue);
}

void LocalGate::advance()
{
    std::vector<GateAction> actions;
    {
        const std::lock_guard guard(this->mutex);
        this->admission.advance(SteadyClock::now(), actions);
    }
    this->applyActions(std::move(actions));
}

bool LocalGate::runs(std::string_view callerCallId) const
{
    const std::lock_guard guard(this->mutex);
    return this->runningCallIds.contains(callerCallId);
}

bool LocalGate::serves(const std::string &cluster) const
{
    const std::lock_guard guard(this->mutex);
    return this->current.cluster == cluster;
}

std::uint32_t LocalGate::queued() const
{
    const std::lock_guard guard(this->mutex);
    return this->admission.queued();
}

std::uint32_t LocalGate::running() const
{
    const std::lock_guard guard(this->mutex);
    return this->admission.running();
}

UpstreamAnnouncement LocalGate::announcement() const
{
    const std::lock_guard guard(this->mutex);
    return this->current;
}

} // namespace Sagecrank
