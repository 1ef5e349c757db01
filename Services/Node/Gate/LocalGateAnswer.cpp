// Answers and refusals of the gate, and when they leave the host.
#include "LocalGate.h"

#include "GateCall.h"
#include "RequestFingerprint.h"
#include <Node/CallReasons.h>

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::uint32_t statusUnavailable = 503;

std::uint32_t retryMilliseconds(Duration duration)
{
    const auto milliseconds = std::chrono::ceil<Milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 1, 3600000));
}

std::uint64_t nonNegativeMicroseconds(Duration duration)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<Microseconds>(duration).count()));
}

} // namespace

// An earlier attempt with this key ran. Its recorded answer is returned, and nothing runs again.
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

void LocalGate::refuse(const std::shared_ptr<GateCall> &call, std::string_view reason, Duration retryAfter)
{
    this->history.record([&] {
        return GateRefused{call->request.callerCallId, call->request.attemptId, std::string(reason)};
    });
    this->logRefusal(*call, reason, retryAfter);
    CallResponse response;
    response.outcome = Outcome::NotRun;
    response.reason = reason;
    response.status = statusUnavailable;
    response.retryAfterMilliseconds = retryMilliseconds(retryAfter);
    response.claimHeld = call->claimed;
    if (call->claimed)
        this->claims.release(call->claimKey, call->request.attemptId);
    this->answer(call, std::move(response));
}

void LocalGate::logRefusal(const GateCall &call, std::string_view reason, Duration retryAfter) const
{
    const Instant now = SteadyClock::now();
    GateRefusal refusal;
    refusal.callId = call.request.callerCallId;
    refusal.reason = reason;
    refusal.waited = now - call.arrivedAt;
    refusal.left = call.deadline - now;
    refusal.retryAfter = retryAfter;
    refusal.priority = call.request.priority;
    refusal.lateAccepted = call.request.lateAccepted;
    {
        const std::lock_guard guard(this->mutex);
        refusal.running = this->admission.running();
        refusal.queued = this->admission.queued();
        refusal.condition = upstreamConditionNames.name(this->admission.condition());
    }
    this->observer.gateRefused(refusal);
}

void LocalGate::answer(const std::shared_ptr<GateCall> &call, CallResponse response)
{
    if (call->stage == GateCallStage::Ended)
        return;
    call->stage = GateCallStage::Ended;
    call->waitTimer.cancel();
    const Instant sendAt = this->sendTimeOf(*call, response);
    this->addLoad(*call, response);
    if (call->sent && response.outcome == Outcome::Done)
        response.executionMicroseconds = nonNegativeMicroseconds(SteadyClock::now() - call->startedAt);
    response.reachedUpstream = call->sent;
    response.callId = call->request.callId;
    this->recordAnswered(*call, response);
    closeStepSpan(*call);
    call->gateSpan.field("outcome", outcomeNames.name(response.outcome));
    call->gateSpan.end(SteadyClock::now());
    if (sendAt <= SteadyClock::now())
        return this->sendAnswer(call, std::move(response));
    call->waitTimer.expires_at(sendAt);
    call->waitTimer.async_wait(
        [this, call, response = std::move(response)](const boost::system::error_code &) mutable {
            this->sendAnswer(call, std::move(response));
        });
}

void LocalGate::sendAnswer(const std::shared_ptr<GateCall> &call, CallResponse response)
{
    const AnswerHook hook = std::move(call->answer);
    hook(std::move(response));
    // Last, because the hook has counted the answer as unsent: a shutdown must see it in one of the two.
    --this->callCount;
}

// A large response waits until those before it have left the host, so that small ones, heartbeats and gossip
// wait for at most one of them.
Instant LocalGate::sendTimeOf(GateCall &call, const CallResponse &response)
{
    const Instant now = SteadyClock::now();
    if (!std::exchange(call.usesLink, false))
        return now;
    const std::lock_guard guard(this->mutex);
    if (response.outcome == Outcome::Done)
        return this->link.ready(now, call.request.kind, response.body.size());
    this->link.ended(call.request.kind);
    return now;
}

void LocalGate::addLoad(const GateCall &call, CallResponse &response) const
{
    const std::lock_guard guard(this->mutex);
    const Instant now = SteadyClock::now();
    response.freeSlots = this->admission.freeSlots(now);
    response.queued = this->admission.queued();
    response.draining = this->admission.condition() == UpstreamCondition::Draining;
    response.expectedWaitMicroseconds =
        nonNegativeMicroseconds(this->admission.expectedWait(now, call.attributesIfArrivedAt(now))
                                + this->link.expectedDelay(now, call.request.kind));
}

void LocalGate::recordAnswered(const GateCall &call, const CallResponse &response)
{
    if (response.outcome != Outcome::NotRun) {
        this->history.record([&] {
            return GateFinished{call.request.callerCallId, call.request.attemptId,
                                std::string(outcomeNames.name(response.outcome))};
        });
    }
    if (!call.sent)
        return;
    const bool broke = response.reason == reasonBroken;
    this->observer.gateEnded({call.request.callerCallId, call.upstreamInstance,
                              outcomeNames.name(response.outcome), response.reason, response.status,
                              call.startedAt - call.arrivedAt, SteadyClock::now() - call.startedAt,
                              response.freeSlots, response.queued,
                              broke ? fingerprintsOf(call.request).front() : 0, call.signals.limit,
                              call.signals.leaving, call.answeredOn});
}

// A call with a large response has less time for its slot by what its response will wait for the link.
CallAttributes LocalGate::attributesOf(const GateCall &call, Instant now) const
{
    CallAttributes attributes = call.attributes();
    if (!call.isFromPeer())
        return attributes;
    const Duration delay = this->link.expectedDelay(now, call.request.kind);
    attributes.deadline -= delay;
    if (attributes.target)
        *attributes.target -= delay;
    return attributes;
}

void LocalGate::setLargeKinds(std::vector<std::uint64_t> kinds)
{
    const std::lock_guard guard(this->mutex);
    this->link.setLargeKinds(std::move(kinds));
}

} // namespace Sagecrank
