// The way of a call through the gate: claim, admit, run, answer.
#include "LocalGate.h"

#include "GateCall.h"
#include "RequestFingerprint.h"
#include <Node/CallReasons.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusUnavailable = 503;
constexpr std::uint32_t statusGatewayTimeout = 504;

// Bounds how often a waiting call looks at the queue.
constexpr Duration shortestQueueCheck = Milliseconds(1);

std::uint32_t retryMilliseconds(Duration span)
{
    const auto count = std::chrono::ceil<Milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, 3600000));
}

std::uint64_t wholeMicroseconds(Duration span)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<Microseconds>(span).count()));
}

} // namespace

LocalGate::LocalGate(std::string nodeId, AdmissionHooks admission, CallHeaders names, ClaimHooks claims,
                     QuarantineHooks quarantine, HistoryRecorder &history, RequestObserver &observer)
    : nodeId(std::move(nodeId))
    , names(std::move(names))
    , claims(std::move(claims))
    , quarantine(std::move(quarantine))
    , history(history)
    , observer(observer)
    , gate(std::move(admission))
{
}

std::shared_ptr<GateCall> LocalGate::submit(RequestThread home, CallRequest request, AnswerHook answer)
{
    const auto call = std::make_shared<GateCall>(home, std::move(request), std::move(answer), this->observer);
    ++this->callsInside;
    std::optional<Duration> refused;
    if (this->quarantine.remainingQuarantine)
        refused = this->quarantine.remainingQuarantine(call->request);
    // A host may have been given to another service while the sender's view is old.
    if (!this->serves(call->request.cluster))
        this->refuse(call, refusalReasonNames.name(RefusalReason::NotReady), unreachableRetryAfter);
    else if (refused)
        this->refuse(call, reasonQuarantined, *refused);
    else if (call->keyed())
        this->claimKey(call);
    else
        this->offer(call);
    return call;
}

bool LocalGate::tryRefuseBeforeBody(RequestThread home, CallRequest request, Duration bodyTakes,
                                    AnswerHook answer)
{
    const auto call = std::make_shared<GateCall>(home, std::move(request), std::move(answer), this->observer);
    CallAttributes facts = call->facts();
    facts.deadline -= bodyTakes;
    if (facts.target)
        *facts.target -= bodyTakes;
    std::optional<GateDecision> refusal;
    if (!this->serves(call->request.cluster))
        refusal = GateDecision{GateVerdict::Refuse, 0, RefusalReason::NotReady, unreachableRetryAfter};
    else if (facts.deadline <= call->arrived)
        refusal = GateDecision{GateVerdict::Refuse, 0, RefusalReason::DeadlineTooNear, bodyTakes};
    else if (facts.target && !facts.lateAccepted && *facts.target <= call->arrived)
        refusal = GateDecision{GateVerdict::Refuse, 0, RefusalReason::TargetTooNear, bodyTakes};
    else
        refusal = this->refusalOf(facts);
    if (!refusal)
        return false;
    ++this->callsInside;
    this->refuse(call, refusalReasonNames.name(refusal->reason), refusal->retryAfter);
    return true;
}

void LocalGate::refuseUnsubmitted(RequestThread home, CallRequest request, std::string_view reason,
                                  Duration retryAfter, AnswerHook answer)
{
    const auto call = std::make_shared<GateCall>(home, std::move(request), std::move(answer), this->observer);
    ++this->callsInside;
    this->refuse(call, reason, retryAfter);
}

std::optional<GateDecision> LocalGate::refusalOf(const CallAttributes &facts)
{
    std::vector<GateAction> actions;
    std::optional<GateDecision> refusal;
    {
        const std::lock_guard guard(this->mutex);
        const Instant now = SteadyClock::now();
        if (!this->gate.wouldAdmit(now, facts))
            refusal = this->gate.offer(now, facts, actions);
        // Failure: offer() learns from the call before it decides and takes one that wouldAdmit() denied.
        // Symptom: nobody ends that ticket, and its slot is lost for good.
        if (refusal && refusal->verdict == GateVerdict::Start)
            this->gate.finish(now, refusal->ticket, CallOutcome::Cancelled, actions);
        if (refusal && refusal->verdict == GateVerdict::Queue)
            this->gate.cancel(now, refusal->ticket, actions);
        if (refusal && refusal->verdict != GateVerdict::Refuse)
            refusal.reset();
    }
    this->perform(std::move(actions));
    return refusal;
}

// Load: bookings with keys come while the gate is full. Harm: each would cost the table two writes, one to
// claim and one to release, for a call that cannot run. The gate is asked before the table is.
void LocalGate::claimKey(const std::shared_ptr<GateCall> &call)
{
    if (const std::optional<GateDecision> refusal = this->refusalOf(call->facts()))
        return this->refuse(call, refusalReasonNames.name(refusal->reason), refusal->retryAfter);

    this->openStep(*call, SpanName::Claim);
    this->claims.claim(
        call->claimName, call->request.attempt, call->deadline, [this, call](const ClaimAnswer &answer) {
            boost::asio::post(call->home.context, [this, call, answer] { this->afterClaim(call, answer); });
        });
}

void LocalGate::afterClaim(const std::shared_ptr<GateCall> &call, const ClaimAnswer &answer)
{
    closeStep(*call);
    switch (answer.verdict) {
    case ClaimVerdict::Granted:
        call->claimed = true;
        if (call->cancelled)
            return this->refuse(call, reasonCancelled, unreachableRetryAfter);
        return this->offer(call);
    case ClaimVerdict::AlreadyDone:
        return this->replay(call, answer.outcome);
    case ClaimVerdict::InProgress:
        return this->answerUnknown(call, reasonKeyInProgress, statusConflict, answer.retryAfter);
    case ClaimVerdict::Unknown:
        return this->answerUnknown(call, reasonKeyUnknown, statusGatewayTimeout, unreachableRetryAfter);
    case ClaimVerdict::NotRun:
        return this->refuse(call, answer.reason, answer.retryAfter);
    }
}

// An earlier attempt with this key ran: its caller, or the same one again, gets that answer and nothing runs.
void LocalGate::replay(const std::shared_ptr<GateCall> &call, const RecordedOutcome &outcome)
{
    CallResponse response;
    response.outcome = Outcome::Done;
    response.replayed = true;
    response.status = outcome.status;
    if (!outcome.contentType.empty())
        response.headers.push_back({"Content-Type", outcome.contentType});
    if (!outcome.bodyKept)
        response.headers.push_back({"Sagecrank-Body", "not-kept"});
    response.body = outcome.body;
    this->answer(call, std::move(response));
}

void LocalGate::answerUnknown(const std::shared_ptr<GateCall> &call, std::string_view reason,
                              std::uint32_t status, Duration retryAfter)
{
    CallResponse response;
    response.outcome = Outcome::Unknown;
    response.reason = reason;
    response.status = status;
    response.retryAfterMilliseconds = retryMilliseconds(retryAfter);
    this->answer(call, std::move(response));
}

void LocalGate::openStep(GateCall &call, SpanName name)
{
    call.stepSpan.emplace(
        this->observer.openSpan(name, formatTraceParent(call.gateSpan.context()), SteadyClock::now()));
}

void LocalGate::closeStep(GateCall &call)
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
        decision = this->gate.offer(SteadyClock::now(), call->facts(), actions);
        call->ticket = decision.ticket;
        call->upstreamAddress = this->current.address;
        call->upstreamInstance = this->current.instance;
        if (decision.verdict == GateVerdict::Queue) {
            call->stage = GateCallStage::Waiting;
            this->waiting.emplace(decision.ticket, call);
        }
    }
    this->perform(std::move(actions));
    if (decision.verdict == GateVerdict::Refuse)
        return this->refuse(call, refusalReasonNames.name(decision.reason), decision.retryAfter);
    this->history.record([&] {
        return GateAdmitted{call->request.callerCallId, call->request.attempt, call->request.idempotencyKey,
                            std::string(callClassNames.name(call->request.callClass))};
    });
    if (decision.verdict == GateVerdict::Start)
        return this->begin(call);
    this->openStep(*call, SpanName::Queue);
    this->watchQueue(call);
}

// A queued call that cannot be answered in time any more is refused at that moment and not at its deadline.
void LocalGate::watchQueue(const std::shared_ptr<GateCall> &call)
{
    const Instant now = SteadyClock::now();
    std::optional<Instant> next;
    {
        const std::lock_guard guard(this->mutex);
        next = this->gate.nextDeadline();
    }
    call->waitTimer.expires_at(std::max(next.value_or(call->deadline), now + shortestQueueCheck));
    call->waitTimer.async_wait([this, call](const boost::system::error_code &error) {
        if (error || call->stage != GateCallStage::Waiting)
            return;
        this->advance();
        this->watchQueue(call);
    });
}

// A decision on one thread may start or refuse a call of another; each goes on at its own home.
void LocalGate::perform(std::vector<GateAction> actions)
{
    for (const GateAction &action : actions) {
        std::shared_ptr<GateCall> call;
        {
            const std::lock_guard guard(this->mutex);
            const auto found = this->waiting.find(action.ticket);
            if (found == this->waiting.end())
                continue;
            call = std::move(found->second);
            this->waiting.erase(found);
        }
        boost::asio::post(call->home.context, [this, call, action] {
            if (action.start)
                return this->begin(call);
            this->refuse(call, refusalReasonNames.name(action.reason), action.retryAfter);
        });
    }
}

// The last point at which a call can be proven not to run. A holder that was paused finds its deadline passed
// here and does not start, whatever it believes to hold.
void LocalGate::begin(const std::shared_ptr<GateCall> &call)
{
    call->stage = GateCallStage::Running;
    call->waitTimer.cancel();
    call->started = SteadyClock::now();
    closeStep(*call);
    const bool late = call->started >= call->deadline;
    if (late || call->cancelled) {
        this->freeSlot(call, CallOutcome::Cancelled);
        const RefusalReason reason = RefusalReason::DeadlinePassed;
        return this->refuse(call, late ? refusalReasonNames.name(reason) : reasonCancelled,
                            unreachableRetryAfter);
    }
    this->history.record([&] { return GateStarted{call->request.callerCallId, call->request.attempt}; });
    const Duration remaining = call->deadline - call->started;
    this->observer.gateWaited(call->started - call->arrived);
    this->openStep(*call, SpanName::Upstream);
    HttpSendOptions options;
    options.timeout = remaining;
    options.echoHeader = this->names.callId;
    call->sent = true;
    call->sending =
        call->home.client.send(call->upstreamAddress, this->upstreamRequest(*call, remaining), options,
                               [this, call](const HttpFailure *failure, HttpResponse response) {
                                   if (failure != nullptr)
                                       return this->upstreamFailed(call, *failure);
                                   this->upstreamAnswered(call, std::move(response));
                               });
}

void LocalGate::freeSlot(const std::shared_ptr<GateCall> &call, CallOutcome end)
{
    closeStep(*call);
    std::vector<GateAction> actions;
    {
        const std::lock_guard guard(this->mutex);
        this->gate.finish(SteadyClock::now(), call->ticket, end, actions);
    }
    this->perform(std::move(actions));
}

void LocalGate::refuse(const std::shared_ptr<GateCall> &call, std::string_view reason, Duration retryAfter)
{
    this->history.record([&] {
        return GateRefused{call->request.callerCallId, call->request.attempt, std::string(reason)};
    });
    this->tellRefusal(*call, reason, retryAfter);
    CallResponse response;
    response.outcome = Outcome::NotRun;
    response.reason = reason;
    response.status = statusUnavailable;
    response.retryAfterMilliseconds = retryMilliseconds(retryAfter);
    response.claimHeld = call->claimed;
    if (call->claimed)
        this->claims.release(call->claimName, call->request.attempt);
    this->answer(call, std::move(response));
}

void LocalGate::tellRefusal(const GateCall &call, std::string_view reason, Duration retryAfter) const
{
    const Instant now = SteadyClock::now();
    GateRefusal refusal;
    refusal.callId = call.request.callerCallId;
    refusal.reason = reason;
    refusal.waited = now - call.arrived;
    refusal.left = call.deadline - now;
    refusal.retryAfter = retryAfter;
    refusal.priority = call.request.priority;
    refusal.lateAccepted = call.request.lateAccepted;
    {
        const std::lock_guard guard(this->mutex);
        refusal.running = this->gate.running();
        refusal.queued = this->gate.queued();
        refusal.condition = upstreamConditionNames.name(this->gate.condition());
    }
    this->observer.gateRefused(refusal);
}

void LocalGate::answer(const std::shared_ptr<GateCall> &call, CallResponse response)
{
    if (call->stage == GateCallStage::Ended)
        return;
    call->stage = GateCallStage::Ended;
    call->waitTimer.cancel();
    {
        const std::lock_guard guard(this->mutex);
        response.freeSlots = this->gate.freeSlots();
        response.queued = this->gate.queued();
        response.draining = this->gate.condition() == UpstreamCondition::Draining;
        const Instant now = SteadyClock::now();
        response.waitMicroseconds = wholeMicroseconds(this->gate.expectedWait(now, call->factsAnew(now)));
    }
    if (call->sent && response.outcome == Outcome::Done)
        response.ranMicroseconds = wholeMicroseconds(SteadyClock::now() - call->started);
    if (response.outcome != Outcome::NotRun) {
        this->history.record([&] {
            return GateFinished{call->request.callerCallId, call->request.attempt,
                                std::string(outcomeNames.name(response.outcome))};
        });
    }
    response.reachedUpstream = call->sent;
    response.callId = call->request.callId;
    if (call->sent) {
        const bool broke = response.reason == reasonBroken;
        this->observer.gateEnded({call->request.callerCallId, call->upstreamInstance,
                                  outcomeNames.name(response.outcome), response.reason, response.status,
                                  call->started - call->arrived, SteadyClock::now() - call->started,
                                  response.freeSlots, response.queued,
                                  broke ? fingerprintsOf(call->request).front() : 0});
    }
    closeStep(*call);
    call->gateSpan.field("outcome", outcomeNames.name(response.outcome));
    call->gateSpan.end(SteadyClock::now());
    const AnswerHook hook = std::move(call->answer);
    hook(std::move(response));
    --this->callsInside; // Only now: whoever passes the answer on has counted it as not sent.
}

void LocalGate::refuseIfQueued(const std::shared_ptr<GateCall> &call)
{
    if (call->stage == GateCallStage::Waiting)
        this->cancel(call);
}

void LocalGate::refuseQueuedCalls()
{
    const std::lock_guard guard(this->mutex);
    for (const auto &[ticket, call] : this->waiting)
        boost::asio::post(call->home.context, [this, call = call] { this->refuseIfQueued(call); });
}

void LocalGate::cancel(const std::shared_ptr<GateCall> &call)
{
    call->cancelled = true;
    switch (call->stage) {
    case GateCallStage::Waiting: {
        std::vector<GateAction> actions;
        bool taken = false;
        {
            const std::lock_guard guard(this->mutex);
            taken = this->waiting.erase(call->ticket) > 0;
            if (taken)
                this->gate.cancel(SteadyClock::now(), call->ticket, actions);
        }
        this->perform(std::move(actions));
        // Otherwise its start or refusal is on the way and finds it cancelled.
        if (taken)
            this->refuse(call, reasonCancelled, unreachableRetryAfter);
        return;
    }
    case GateCallStage::Running:
        if (call->mayBeCutOff())
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
    {
        const std::lock_guard guard(this->mutex);
        replaced = this->current.instance != announcement.instance
                   || this->current.startedAt != announcement.startedAt;
        this->current = announcement;
        this->gate.setState(SteadyClock::now(), announcement.condition, announcement.slots, actions);
    }
    if (replaced)
        this->noteUpstreamEnded();
    this->perform(std::move(actions));
}

void LocalGate::setMaximumQueue(std::uint32_t maximumQueue)
{
    const std::lock_guard guard(this->mutex);
    this->gate.setMaximumQueue(maximumQueue);
}

void LocalGate::advance()
{
    std::vector<GateAction> actions;
    {
        const std::lock_guard guard(this->mutex);
        this->gate.advance(SteadyClock::now(), actions);
    }
    this->perform(std::move(actions));
}

bool LocalGate::serves(const std::string &cluster) const
{
    const std::lock_guard guard(this->mutex);
    return this->current.cluster == cluster;
}

std::uint32_t LocalGate::queued() const
{
    const std::lock_guard guard(this->mutex);
    return this->gate.queued();
}

std::uint32_t LocalGate::running() const
{
    const std::lock_guard guard(this->mutex);
    return this->gate.running();
}

UpstreamAnnouncement LocalGate::announcement() const
{
    const std::lock_guard guard(this->mutex);
    return this->current;
}

} // namespace Sagecrank
