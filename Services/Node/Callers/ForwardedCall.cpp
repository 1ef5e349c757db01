// Implements upstream selection, sending, retries, hedging and completion of a call.
#include "ForwardedCall.h"

#include <Node/CallReasons.h>
#include <Node/Gate/GateCall.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// Limits retries at other gates after a gate refused the call before it reached the upstream. Such retries
// cost the upstreams nothing, but under full load every gate refuses, and each retry costs the caller a round
// trip.
constexpr std::uint32_t maximumRetriesAfterRefusal = 3;

// Retries allowed when an upstream has proven that the call did not run, even if the route's limit for calls
// that may have run is lower.
constexpr std::uint32_t maximumRetriesAfterNotRun = 1;

// The gate's deadline is slightly earlier than the caller's, so that the gate can still report a late call as
// not run before this node has to report its outcome as unknown.
constexpr Duration gateDeadlineMargin = Milliseconds(1);

CallResponse makeRefusal(std::string_view reason, Duration retryAfter)
{
    CallResponse response;
    response.outcome = Outcome::NotRun;
    response.reason = reason;
    response.status = 503;
    response.retryAfterMilliseconds =
        static_cast<std::uint32_t>(std::chrono::ceil<Milliseconds>(retryAfter).count());
    return response;
}

// Whether this node itself reported a failure of its connection to the peer.
bool isConnectionFailure(const CallResponse &response)
{
    return response.reason == reasonPeerUnreachable || response.reason == reasonPeerLost
           || response.reason == reasonPeerLeaving;
}

// Whether the gate may accept the call if it may be answered late. An attempt that has reached the upstream
// counts as a retry when it is sent again, and an upstream that has rejected a call is full, late or not.
bool mayAcceptLate(const CallResponse &response)
{
    return response.outcome == Outcome::NotRun && !response.reachedUpstream && !response.draining
           && !isConnectionFailure(response) && response.reason != reasonUnreachable;
}

AttemptOutcome toPlacedEnd(const CallResponse &response)
{
    switch (response.outcome) {
    case Outcome::Done:
        return response.status >= 500 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
    case Outcome::NotRun: {
        const bool unreachable = isConnectionFailure(response) || response.reason == reasonUnreachable;
        if (response.reason == reasonQuarantined)
            return AttemptOutcome::Cancelled; // Not the upstream's fault.
        return unreachable ? AttemptOutcome::Failed : AttemptOutcome::RefusedNotRun;
    }
    case Outcome::Unknown:
        break;
    }
    // A key held by another attempt is not the upstream's fault.
    return response.reason == reasonKeyInProgress ? AttemptOutcome::RefusedNotRun : AttemptOutcome::Unknown;
}

ReportedLoad toReportedLoad(const CallResponse &response)
{
    ReportedLoad load;
    load.freeSlots = response.freeSlots;
    load.queued = response.queued;
    load.draining = response.draining;
    load.runTime = Microseconds(response.executionMicroseconds);
    load.expectedWait = Microseconds(response.expectedWaitMicroseconds);
    load.answerBytes = response.body.size();
    return load;
}

} // namespace

ForwardedCall::ForwardedCall(ForwardingContext &context, Worker &worker, CallPlan plan, CallRequest request,
                             ResponseCallback callback)
    : context(context)
    , worker(worker)
    , plan(std::move(plan))
    , request(std::move(request))
    , callback(std::move(callback))
    , deadlineTimer(worker.ioContext())
    , hedgeTimer(worker.ioContext())
{
}

void ForwardedCall::start()
{
    this->worker.addCall(*this);
    if (this->context.quarantine.remainingQuarantine) {
        if (const auto refused = this->context.quarantine.remainingQuarantine(this->request))
            return this->finish(makeRefusal(reasonQuarantined, *refused));
    }
    if (!this->placeAndSend())
        return this->finish(makeRefusal(reasonNoUpstream, std::chrono::seconds(1)));
    if (!this->callback)
        return;
    this->armDeadline();
    if (this->plan.hedged && this->plan.idempotent)
        this->armHedge();
}

bool ForwardedCall::placeAndSend()
{
    Target target;
    if (!this->chooseTarget(target))
        return false;
    this->triedUpstreamIds.push_back(target.candidate.id);
    if (!this->attempts.empty())
        this->context.observer.callResent(this->request.callerCallId, target.candidate.id);
    this->startAttempt(std::move(target));
    return true;
}

void ForwardedCall::startAttempt(Target target)
{
    Attempt attempt;
    attempt.target = std::move(target);
    attempt.startedAt = SteadyClock::now();
    this->attempts.push_back(std::move(attempt));
    this->send(this->attempts.size() - 1);
}

// No gate accepted the call within its latency target. Tries once more at the first one that may accept it,
// which is the nearest, and accepts a late response.
bool ForwardedCall::retryAcceptingLateResponse()
{
    const auto nearest = std::ranges::find(this->attempts, true, &Attempt::mayAcceptLate);
    if (!this->plan.target || this->lateResponseRequested || nearest == this->attempts.end()
        || nearest->target.lateAccepted)
        return false;
    this->lateResponseRequested = true;
    Target target = nearest->target;
    target.lateAccepted = true;
    {
        const std::lock_guard guard(this->service->mutex);
        this->service->loadBalancer.recordStart(target.candidate.id, SteadyClock::now());
    }
    this->startAttempt(std::move(target));
    return true;
}

bool ForwardedCall::chooseTarget(Target &target)
{
    const RcuPointer<UpstreamView>::Reader view(this->context.view);
    const ServiceView *service = view ? view->find(this->plan.cluster) : nullptr;
    if (service == nullptr)
        return false;
    this->service = service->state;
    const Instant now = SteadyClock::now();
    const std::lock_guard guard(this->service->mutex);
    const bool first = this->attempts.empty();
    if (first)
        this->service->retries.recordFirstAttempt(now, this->request.kind);
    // A call that failed at a version on trial is sent to the established one.
    if (first && !service->onTrial.upstreams.empty() && this->service->trialBudget.tryAcquire()
        && this->chooseFrom(service->onTrial, target, now)) {
        target.lateAccepted = this->isLate(now) || service->serving.upstreams.empty();
        return true;
    }
    return this->chooseFrom(service->serving, target, now);
}

// Called with the service locked.
bool ForwardedCall::chooseFrom(const UpstreamGroup &group, Target &target, Instant now)
{
    // The view may have changed since the last attempt, so tried candidates are looked up by id.
    std::vector<std::size_t> tried;
    for (std::size_t index = 0; index < group.candidates.size() && !this->triedUpstreamIds.empty(); ++index) {
        if (std::ranges::find(this->triedUpstreamIds, group.candidates[index].id)
            != this->triedUpstreamIds.end())
            tried.push_back(index);
    }
    LoadBalancer &loadBalancer = this->service->loadBalancer;
    const auto place = [&] {
        return loadBalancer.pick(now, group.upstreams, this->plan.callClass, tried, this->request.kind,
                                 this->request.body.size(), this->plan.maximumZoneCost);
    };
    const auto index = place();
    if (!index)
        return false;
    tried.push_back(*index);
    // A call that is already late cannot meet its target at any gate.
    target.lateAccepted = this->isLate(now) || !place().has_value();
    loadBalancer.recordStart(group.upstreams[*index].id, now);
    target.candidate = group.candidates[*index];
    target.sameHost = group.upstreams[*index].sameHost;
    return true;
}

void ForwardedCall::send(std::size_t index)
{
    const Target target = this->attempts[index].target;
    CallRequest attempt = this->request;
    attempt.attemptId = this->context.ids.next();
    attempt.lateAccepted = target.lateAccepted;
    const Duration remaining = this->plan.deadline - SteadyClock::now() - gateDeadlineMargin;
    attempt.remainingMicroseconds = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<Microseconds>(remaining).count()));
    if (this->plan.target) {
        // At least 1, since 0 means that the attempt has no target.
        const Duration left = *this->plan.target - SteadyClock::now();
        attempt.remainingTargetMicroseconds = static_cast<std::uint64_t>(
            std::max<std::int64_t>(1, std::chrono::duration_cast<Microseconds>(left).count()));
    }
    this->context.history.record([&] {
        return NodePlaced{attempt.callerCallId, attempt.attemptId, this->plan.cluster, target.candidate.id,
                          this->plan.configurationVersion};
    });
    Span span = this->context.observer.openSpan(SpanName::Forward, attempt.traceParent, SteadyClock::now());
    span.field("upstream", target.candidate.id);
    attempt.traceParent = formatTraceParent(span.context());
    this->attempts[index].span = span;
    auto ended = [self = this->shared_from_this(), index](CallResponse response) {
        self->handleAttemptResponse(index, std::move(response));
    };
    if (target.sameHost) {
        const auto call =
            this->context.gate.submit(this->worker.requestThread(), std::move(attempt), std::move(ended));
        this->attempts[index].local = call;
        return;
    }
    const std::shared_ptr<PeerLink> link = this->worker.link(target.candidate.peerAddress);
    this->attempts[index].link = link;
    this->attempts[index].peerCallId = link->call(std::move(attempt), std::move(ended));
}

void ForwardedCall::handleAttemptResponse(std::size_t index, CallResponse response)
{
    Attempt &attempt = this->attempts[index];
    if (!attempt.open)
        return;
    attempt.open = false;
    const Instant now = SteadyClock::now();
    attempt.span->field("outcome", outcomeNames.name(response.outcome));
    attempt.span->end(now);
    attempt.mayAcceptLate = mayAcceptLate(response);
    this->reportToLoadBalancer(attempt, response, now);
    if (!this->callback)
        return;
    const bool succeeded = response.outcome == Outcome::Done && response.status < 500;
    this->mayHaveRun = this->mayHaveRun || response.outcome != Outcome::NotRun;
    if (response.reachedUpstream || response.outcome != Outcome::NotRun)
        ++this->upstreamAttempts;
    if (!succeeded) {
        if (this->hasOpenAttempt())
            return; // Another attempt is open and may still succeed.
        // Set before the retry, since the local gate may refuse it synchronously.
        if (response.outcome == Outcome::Done)
            this->upstreamErrorResponse = response;
        if (!this->retriesDisabled && this->retry(response, now))
            return;
    }
    // If one attempt was lost and the next one refused, the first may have run. NotRun is reported only when
    // it holds for every attempt.
    if (response.outcome == Outcome::NotRun && this->mayHaveRun) {
        response.outcome = Outcome::Unknown;
        response.status = 504;
    }
    this->finish(std::move(response));
}

void ForwardedCall::reportToLoadBalancer(const Attempt &attempt, const CallResponse &response, Instant now)
{
    const std::lock_guard guard(this->service->mutex);
    const Duration took = now - attempt.startedAt;
    this->service->loadBalancer.recordEnd(attempt.target.candidate.id, now, this->plan.callClass, took,
                                          toPlacedEnd(response), this->request.kind);
    const bool gateResponded = !isConnectionFailure(response) && response.reason != reasonPeerCongested;
    if (gateResponded)
        this->service->loadBalancer.recordReportedLoad(attempt.target.candidate.id, now,
                                                       toReportedLoad(response), this->request.kind);
    if (response.outcome == Outcome::Done && this->plan.hedged)
        this->service->hedge.observe(took);
    if (response.reachedUpstream)
        this->service->trialBudget.recordArrival(this->service->trialShare);
}

// Unlimited retries of failed or refused calls would double the load on the remaining upstreams, and retrying
// a call that may have run could make a booking twice. LibDecide implements both rules.
bool ForwardedCall::retry(const CallResponse &response, Instant now)
{
    const bool notRun = response.outcome == Outcome::NotRun;
    const CallPhase phase = response.outcome == Outcome::Done ? CallPhase::Answered : CallPhase::MaybeSent;
    const bool runsOnce = !this->request.idempotencyKey.empty();
    if (!isRetrySafe(phase, this->plan.idempotent && !runsOnce, notRun))
        return false;
    // The refused attempt still holds the claim on the idempotency key.
    if (response.claimHeld)
        return false;
    // Every other gate would refuse it too.
    if (response.reason == reasonQuarantined)
        return false;
    if (now + gateDeadlineMargin >= this->plan.deadline)
        return false;
    if (notRun && !response.reachedUpstream)
        return this->retryAfterRefusal();
    const std::uint32_t allowed =
        notRun ? std::max(this->plan.maximumRetries, maximumRetriesAfterNotRun) : this->plan.maximumRetries;
    if (this->upstreamAttempts > allowed)
        return false;
    bool withinBudget = false;
    {
        const std::lock_guard guard(this->service->mutex);
        withinBudget = this->service->retries.tryAcquireRetry(now, this->request.kind);
    }
    if (withinBudget)
        return this->placeAndSend();
    this->context.observer.retryDenied(this->request.callerCallId, this->plan.cluster);
    return false;
}

bool ForwardedCall::retryAfterRefusal()
{
    if (++this->refusalCount <= maximumRetriesAfterRefusal && this->placeAndSend())
        return true;
    return this->retryAcceptingLateResponse();
}

void ForwardedCall::finish(CallResponse response)
{
    if (!this->callback)
        return;
    // If an upstream returned an error response and the retry was refused or timed out, the caller gets that
    // response rather than an unknown outcome.
    if (response.outcome != Outcome::Done && this->upstreamErrorResponse)
        response = std::move(*this->upstreamErrorResponse);
    this->recordRefusal(response);
    const ResponseCallback onResponse = std::move(this->callback);
    this->callback = nullptr;
    this->worker.removeCall(*this);
    this->deadlineTimer.cancel();
    this->hedgeTimer.cancel();
    this->cancelOpenAttempts();
    CallSummary summary = this->summary();
    summary.outcome = outcomeNames.name(response.outcome);
    summary.reason = response.reason;
    summary.status = response.status;
    this->context.observer.callEnded(summary);
    onResponse(std::move(response));
}

void ForwardedCall::recordRefusal(const CallResponse &response)
{
    if (response.outcome != Outcome::NotRun || !this->plan.callerDeadline)
        return;
    const std::lock_guard guard(this->context.refusedCallers.mutex);
    this->context.refusedCallers.returning.recordRefusal(SteadyClock::now(), this->request.kind,
                                                         *this->plan.callerDeadline, this->plan.firstArrived);
}

CallSummary ForwardedCall::summary() const
{
    const Instant now = SteadyClock::now();
    CallSummary summary;
    summary.callId = this->request.callerCallId;
    summary.route = this->plan.routeName;
    summary.cluster = this->plan.cluster;
    if (!this->triedUpstreamIds.empty())
        summary.upstream = this->triedUpstreamIds.back();
    summary.configurationVersion = this->plan.configurationVersion;
    summary.attempts = this->attempts.size();
    summary.took = now - this->plan.arrived;
    summary.left = this->plan.deadline - now;
    return summary;
}

void ForwardedCall::abandon()
{
    if (!this->callback)
        return;
    this->context.observer.callAbandoned(this->summary());
    this->callback = nullptr;
    this->worker.removeCall(*this);
    this->deadlineTimer.cancel();
    this->hedgeTimer.cancel();
    this->cancelOpenAttempts();
}

void ForwardedCall::withdraw()
{
    this->retriesDisabled = true;
    // Withdrawing an attempt may complete the call, which closes its other attempts.
    for (const Attempt &attempt : this->attempts) {
        if (!attempt.open)
            continue;
        if (attempt.local)
            this->context.gate.refuseIfQueued(attempt.local);
        else if (attempt.link)
            attempt.link->withdraw(attempt.peerCallId);
    }
}

void ForwardedCall::finishAsUnknown()
{
    this->finishUnknown(reasonLeaving);
}

void ForwardedCall::cancelOpenAttempts()
{
    for (Attempt &attempt : this->attempts) {
        if (!attempt.open)
            continue;
        attempt.open = false;
        attempt.span->field("outcome", "cancelled");
        attempt.span->end(SteadyClock::now());
        {
            const std::lock_guard guard(this->service->mutex);
            const Instant now = SteadyClock::now();
            this->service->loadBalancer.recordEnd(
                attempt.target.candidate.id, now, this->plan.callClass, now - attempt.startedAt,
                now >= this->plan.deadline ? AttemptOutcome::Unknown : AttemptOutcome::Cancelled);
        }
        if (attempt.local)
            this->context.gate.cancel(attempt.local);
        else if (attempt.link)
            attempt.link->cancel(attempt.peerCallId);
    }
}

void ForwardedCall::armDeadline()
{
    this->deadlineTimer.expires_at(this->plan.deadline);
    this->deadlineTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->finishUnknown(reasonCallerDeadline);
    });
}

void ForwardedCall::finishUnknown(std::string_view reason)
{
    CallResponse response;
    response.outcome = Outcome::Unknown;
    response.reason = reason;
    response.status = 504;
    response.retryAfterMilliseconds = 1000;
    this->finish(std::move(response));
}

// Hedging: when one of many upstreams is slow, its callers would wait while other upstreams are idle. A
// second attempt of an idempotent call is sent once the first takes longer than nearly all recent calls,
// within the retry budget.
void ForwardedCall::armHedge()
{
    std::optional<Duration> delay;
    {
        const std::lock_guard guard(this->service->mutex);
        delay = this->service->hedge.delay();
    }
    if (!delay)
        return;
    this->hedgeTimer.expires_after(*delay);
    this->hedgeTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (error || !self->callback || !self->hasOpenAttempt())
            return;
        bool allowed = false;
        {
            const std::lock_guard guard(self->service->mutex);
            allowed = self->service->retries.tryAcquireRetry(SteadyClock::now(), self->request.kind);
        }
        if (allowed)
            self->placeAndSend();
    });
}

bool ForwardedCall::hasOpenAttempt() const
{
    return std::ranges::any_of(this->attempts, [](const Attempt &attempt) { return attempt.open; });
}

} // namespace Sagecrank
