// Placing, sending, retrying and answering one call.
#include "ForwardedCall.h"

#include <Node/CallReasons.h>
#include <Node/Gate/GateCall.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// A call that a gate refused before its upstream saw it may go on to another gate at most this often. It
// costs no upstream anything, but under full load every gate refuses, and each try costs its caller a round
// trip.
constexpr std::uint32_t maximumTriesAfterRefusal = 3;

// A call that an upstream itself proved not to have run may go to another one this often, whatever its route
// says of calls that may have run.
constexpr std::uint32_t maximumResendsAfterProof = 1;

// The gate's time is cut a little shorter than the caller's, so that the gate's own word on a late call ("not
// run" when it had not begun) arrives before this node has to answer "unknown".
constexpr Duration gateMargin = Milliseconds(1);

CallResponse refusal(std::string_view reason, Duration retryAfter)
{
    CallResponse response;
    response.outcome = Outcome::NotRun;
    response.reason = reason;
    response.status = 503;
    response.retryAfterMilliseconds =
        static_cast<std::uint32_t>(std::chrono::ceil<Milliseconds>(retryAfter).count());
    return response;
}

// Said by this node of the connection to the other one.
bool isOfConnection(const CallResponse &response)
{
    return response.reason == reasonPeerUnreachable || response.reason == reasonPeerLost
           || response.reason == reasonPeerLeaving;
}

AttemptOutcome endOf(const CallResponse &response)
{
    switch (response.outcome) {
    case Outcome::Done:
        return response.status >= 500 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
    case Outcome::NotRun: {
        const bool nothingThere = isOfConnection(response) || response.reason == reasonUnreachable;
        if (response.reason == reasonQuarantined)
            return AttemptOutcome::Cancelled; // Says nothing about the upstream.
        return nothingThere ? AttemptOutcome::Failed : AttemptOutcome::RefusedNotRun;
    }
    case Outcome::Unknown:
        break;
    }
    // A key that another attempt holds says nothing about the upstream.
    return response.reason == reasonKeyInProgress ? AttemptOutcome::RefusedNotRun : AttemptOutcome::Unknown;
}

ReportedLoad toldBy(const CallResponse &response)
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
                             ResponseCallback answer)
    : context(context)
    , worker(worker)
    , plan(std::move(plan))
    , request(std::move(request))
    , answer(std::move(answer))
    , deadlineTimer(worker.ioContext())
    , hedgeTimer(worker.ioContext())
{
}

void ForwardedCall::start()
{
    this->worker.addCall(*this);
    if (this->context.quarantine.remainingQuarantine) {
        if (const auto refused = this->context.quarantine.remainingQuarantine(this->request))
            return this->finish(refusal(reasonQuarantined, *refused));
    }
    if (!this->placeAndSend())
        return this->finish(refusal(reasonNoUpstream, std::chrono::seconds(1)));
    if (!this->answer)
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
    this->triedIds.push_back(target.candidate.id);
    if (!this->attempts.empty())
        this->context.observer.callSentAgain(this->request.callerCallId, target.candidate.id);
    this->sendTo(std::move(target));
    return true;
}

void ForwardedCall::sendTo(Target target)
{
    Attempt attempt;
    attempt.target = std::move(target);
    attempt.startedAt = SteadyClock::now();
    this->attempts.push_back(std::move(attempt));
    this->send(this->attempts.size() - 1);
}

// No gate would answer in time. The first one that stays, which is the nearest, is asked once more whether it
// has room for a late answer.
bool ForwardedCall::sendForLateAnswer()
{
    const auto nearest = std::ranges::find(this->attempts, false, &Attempt::leaves);
    if (!this->plan.target || this->lateAnswerAsked || nearest == this->attempts.end()
        || nearest->target.lateAccepted)
        return false;
    this->lateAnswerAsked = true;
    Target target = nearest->target;
    target.lateAccepted = true;
    {
        const std::lock_guard guard(this->service->mutex);
        this->service->placer.recordStart(target.candidate.id, SteadyClock::now());
    }
    this->sendTo(std::move(target));
    return true;
}

bool ForwardedCall::chooseTarget(Target &target)
{
    const RcuPointer<UpstreamView>::Reader view(this->context.view);
    const ServiceView *service = view ? view->find(this->plan.cluster) : nullptr;
    if (service == nullptr)
        return false;
    this->service = service->state;

    // The view may have changed since the last try, so what was tried is found again by name.
    std::vector<std::size_t> tried;
    for (std::size_t index = 0; index < service->candidates.size() && !this->triedIds.empty(); ++index) {
        if (std::ranges::find(this->triedIds, service->candidates[index].id) != this->triedIds.end())
            tried.push_back(index);
    }
    const Instant now = SteadyClock::now();
    const std::lock_guard guard(this->service->mutex);
    if (this->attempts.empty())
        this->service->retries.recordFirstAttempt(now);
    LoadBalancer &placer = this->service->placer;
    const auto place = [&] {
        return placer.pick(now, service->facts, this->plan.callClass, tried, this->request.kind,
                           this->request.body.size());
    };
    const auto index = place();
    if (!index)
        return false;
    tried.push_back(*index);
    // Nobody answers in time what is late already.
    target.lateAccepted = this->isLate(now) || !place().has_value();
    this->service->placer.recordStart(service->facts[*index].id, now);
    target.candidate = service->candidates[*index];
    target.sameHost = service->facts[*index].sameHost;
    return true;
}

void ForwardedCall::send(std::size_t index)
{
    const Target target = this->attempts[index].target;
    CallRequest attempt = this->request;
    attempt.attemptId = this->context.ids.next();
    attempt.lateAccepted = target.lateAccepted;
    const Duration remaining = this->plan.deadline - SteadyClock::now() - gateMargin;
    attempt.remainingMicroseconds = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<Microseconds>(remaining).count()));
    if (this->plan.target) {
        // At least one: an attempt whose target has passed is not one without a target.
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
        self->attemptEnded(index, std::move(response));
    };
    if (target.sameHost) {
        const auto call =
            this->context.gate.submit(this->worker.gateHome(), std::move(attempt), std::move(ended));
        this->attempts[index].local = call;
        return;
    }
    const std::shared_ptr<PeerLink> link = this->worker.link(target.candidate.peerAddress);
    this->attempts[index].link = link;
    this->attempts[index].peerCallId = link->call(std::move(attempt), std::move(ended));
}

void ForwardedCall::attemptEnded(std::size_t index, CallResponse response)
{
    Attempt &attempt = this->attempts[index];
    if (!attempt.open)
        return;
    attempt.open = false;
    const Instant now = SteadyClock::now();
    attempt.span->field("outcome", outcomeNames.name(response.outcome));
    attempt.span->end(now);
    attempt.leaves = response.draining;
    this->tellPlacer(attempt, response, now);
    if (!this->answer)
        return;
    const bool good = response.outcome == Outcome::Done && response.status < 500;
    this->mayHaveRun = this->mayHaveRun || response.outcome != Outcome::NotRun;
    if (response.reachedUpstream || response.outcome != Outcome::NotRun)
        ++this->upstreamsReached;
    if (!good) {
        if (this->anyOpen())
            return; // A second copy is under way and may still bring an answer.
        // Before the next try: a gate beside this node may refuse it at once.
        if (response.outcome == Outcome::Done)
            this->upstreamFailure = response;
        if (!this->ending && this->tryAgain(response, now))
            return;
    }
    // Failure: one attempt is lost, the next one is refused. Symptom: the refusal's "not run" would stand for
    // a call whose first attempt ran. It is passed on only when it is true of every attempt.
    if (response.outcome == Outcome::NotRun && this->mayHaveRun) {
        response.outcome = Outcome::Unknown;
        response.status = 504;
    }
    this->finish(std::move(response));
}

void ForwardedCall::tellPlacer(const Attempt &attempt, const CallResponse &response, Instant now)
{
    const std::lock_guard guard(this->service->mutex);
    const Duration took = now - attempt.startedAt;
    this->service->placer.recordEnd(attempt.target.candidate.id, now, this->plan.callClass, took,
                                    endOf(response), this->request.kind);
    const bool gateSpoke = !isOfConnection(response) && response.reason != reasonPeerCongested;
    if (gateSpoke)
        this->service->placer.recordReportedLoad(attempt.target.candidate.id, now, toldBy(response),
                                                 this->request.kind);
    if (response.outcome == Outcome::Done && this->plan.hedged)
        this->service->hedge.observe(took);
}

// Load: an upstream fails or refuses. Harm of sending again without limit: the load doubles on what is left;
// harm of sending again what may have run: a booking runs twice. Both rules stand in LibDecide.
bool ForwardedCall::tryAgain(const CallResponse &response, Instant now)
{
    const bool notRun = response.outcome == Outcome::NotRun;
    const CallPhase phase = response.outcome == Outcome::Done ? CallPhase::Answered : CallPhase::MaybeSent;
    const bool runsOnce = !this->request.idempotencyKey.empty();
    if (!isRetrySafe(phase, this->plan.idempotent && !runsOnce, notRun))
        return false;
    // Its key is claimed for the refused attempt and not free again yet.
    if (response.claimHeld)
        return false;
    // No other gate takes it either.
    if (response.reason == reasonQuarantined)
        return false;
    if (now + gateMargin >= this->plan.deadline)
        return false;
    if (notRun && !response.reachedUpstream)
        return this->tryAfterRefusal();
    const std::uint32_t allowed =
        notRun ? std::max(this->plan.maximumRetries, maximumResendsAfterProof) : this->plan.maximumRetries;
    if (this->upstreamsReached > allowed)
        return false;
    bool withinBudget = false;
    {
        const std::lock_guard guard(this->service->mutex);
        withinBudget = this->service->retries.tryAcquireRetry(now);
    }
    if (withinBudget)
        return this->placeAndSend();
    this->context.observer.retryDenied(this->request.callerCallId, this->plan.cluster);
    return false;
}

bool ForwardedCall::tryAfterRefusal()
{
    if (++this->refusals <= maximumTriesAfterRefusal && this->placeAndSend())
        return true;
    return this->sendForLateAnswer();
}

void ForwardedCall::finish(CallResponse response)
{
    if (!this->answer)
        return;
    // Failure: an upstream answers with a failure, the call goes out again and finds no place or no time.
    // Symptom: its caller is told "unknown" although there is an answer.
    if (response.outcome != Outcome::Done && this->upstreamFailure)
        response = std::move(*this->upstreamFailure);
    this->noteRefused(response);
    const ResponseCallback hook = std::move(this->answer);
    this->answer = nullptr;
    this->worker.removeCall(*this);
    this->deadlineTimer.cancel();
    this->hedgeTimer.cancel();
    this->cancelOpenAttempts();
    CallSummary summary = this->summary();
    summary.outcome = outcomeNames.name(response.outcome);
    summary.reason = response.reason;
    summary.status = response.status;
    this->context.observer.callEnded(summary);
    hook(std::move(response));
}

void ForwardedCall::noteRefused(const CallResponse &response)
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
    if (!this->triedIds.empty())
        summary.upstream = this->triedIds.back();
    summary.configurationVersion = this->plan.configurationVersion;
    summary.attempts = this->attempts.size();
    summary.took = now - this->plan.arrived;
    summary.left = this->plan.deadline - now;
    return summary;
}

void ForwardedCall::abandon()
{
    if (!this->answer)
        return;
    this->context.observer.callAbandoned(this->summary());
    this->answer = nullptr;
    this->worker.removeCall(*this);
    this->deadlineTimer.cancel();
    this->hedgeTimer.cancel();
    this->cancelOpenAttempts();
}

void ForwardedCall::withdraw()
{
    this->ending = true;
    // Taking one back may answer the call, and its attempts are then closed.
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
            this->service->placer.recordEnd(
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

// Load: one upstream of many is slow. Harm: its callers wait while others stand idle. A second copy of an
// idempotent call goes out once it is later than nearly all others were, within the budget of retries.
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
        if (error || !self->answer || !self->anyOpen())
            return;
        bool allowed = false;
        {
            const std::lock_guard guard(self->service->mutex);
            allowed = self->service->retries.tryAcquireRetry(SteadyClock::now());
        }
        if (allowed)
            self->placeAndSend();
    });
}

bool ForwardedCall::anyOpen() const
{
    return std::ranges::any_of(this->attempts, [](const Attempt &attempt) { return attempt.open; });
}

} // namespace Sagecrank
