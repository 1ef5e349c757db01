// The exchange with the upstream: what is sent for a call, what its answer proves, and how crashes are
// detected.
#include "LocalGate.h"

#include "GateCall.h"
#include "RequestFingerprint.h"
#include <Node/CallReasons.h>
#include <Node/HopHeaders.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::uint32_t statusMisdirected = 421;
constexpr std::uint32_t statusBadGateway = 502;
constexpr std::uint32_t statusUnavailable = 503;
constexpr std::uint32_t statusGatewayTimeout = 504;

// The upstream is on this host.
constexpr Duration upstreamCheckTimeout = Milliseconds(500);

// Time in which an exiting upstream closes its connections and its listening socket.
constexpr Duration upstreamCloseDuration = Milliseconds(100);

Duration retryAfterOf(const HttpResponse &response)
{
    const std::string text(findHeader(response.headers, "Retry-After"));
    const int seconds = std::atoi(text.c_str());
    return std::chrono::seconds(std::clamp(seconds, 1, 3600));
}

// Statuses from which callers conclude that the call did not run.
bool impliesNotRun(std::uint32_t status)
{
    constexpr std::uint32_t statusRequestTimeout = 408;
    constexpr std::uint32_t statusTooManyRequests = 429;
    return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests
           || status == statusUnavailable;
}

} // namespace

HttpRequest LocalGate::upstreamRequest(const GateCall &call, Duration remaining) const
{
    HttpRequest request;
    request.method = call.request.method;
    request.target = call.request.target;
    for (const Header &header : call.request.headers) {
        if (!isHopByHopHeader(header.name))
            request.headers.push_back(header);
    }
    const auto milliseconds = std::chrono::duration_cast<Milliseconds>(remaining).count();
    const auto add = [&request](const std::string &name, const std::string &value) {
        if (!name.empty() && !value.empty())
            request.headers.push_back({name, value});
    };
    add(this->headerNames.deadline, std::to_string(std::max<std::int64_t>(milliseconds, 1)));
    add(this->headerNames.attempt, call.request.attemptId);
    add(this->headerNames.callId, call.request.callerCallId);
    add(this->headerNames.idempotencyKey, call.request.idempotencyKey);
    add(this->headerNames.expectedInstance, call.upstreamInstance);
    add(this->headerNames.trace, formatTraceParent(call.stepSpan->context()));
    request.body = call.request.body;
    return request;
}

// Whether the answer proves that the upstream did not run the call. No other answer does, whatever its
// status.
bool LocalGate::provesNotRun(const HttpResponse &response) const
{
    if (!this->headerNames.expectedInstance.empty() && response.status == statusMisdirected)
        return true;
    const std::string_view reported = findHeader(response.headers, this->headerNames.notRun);
    if (this->headerNames.notRunValue.empty())
        return !reported.empty();
    return response.status == statusUnavailable && reported == this->headerNames.notRunValue;
}

// Rejects bytes of a faulty upstream that look like an answer, which a caller would take for its own: the
// header that every valid answer carries is missing, or the body has a content encoding that nobody asked
// for.
bool LocalGate::isValidAnswer(const HttpResponse &response) const
{
    if (this->headerNames.proof.empty())
        return true;
    if (!findHeader(response.headers, "Content-Encoding").empty())
        return false;
    return response.status >= 300 || !findHeader(response.headers, this->headerNames.proof).empty();
}

void LocalGate::handleProvenNotRun(const std::shared_ptr<GateCall> &call, const HttpResponse &response)
{
    this->observer.upstreamShed(call->request.callerCallId, call->request.cluster, response.status);
    if (response.status != statusMisdirected)
        this->readSignals(*call, response, true);
    this->freeSlot(call, CallOutcome::Shed);
    if (response.status != statusMisdirected)
        return this->refuse(call, reasonShed, retryAfterOf(response));
    // Another upstream listens at this address. Nothing more is sent there until an upstream announces
    // itself.
    UpstreamAnnouncement gone = this->announcement();
    if (gone.instance == call->upstreamInstance) {
        gone.condition = UpstreamCondition::NotReady;
        this->announce(gone);
    }
    this->refuse(call, reasonMisdirected, retryAfterOf(response));
}

void LocalGate::upstreamAnswered(const std::shared_ptr<GateCall> &call, HttpResponse response)
{
    call->answeredOn = response.receivedOn;
    if (this->provesNotRun(response))
        return this->handleProvenNotRun(call, response);
    const bool valid = this->isValidAnswer(response);
    if (valid)
        this->readSignals(*call, response, false);
    this->recordOutcome(*call, !valid || response.status >= 500);
    if (!valid) {
        this->freeSlot(call, CallOutcome::Failed);
        if (call->claimed)
            this->claims.leaveUnknown(call->claimKey, call->request.attemptId);
        return this->answerUnknown(call, reasonSpoilt, statusBadGateway, unreachableRetryAfter);
    }
    // The upstream answered "unavailable" without proof that it did not run the call. If the status was
    // passed on, the caller would conclude that it may retry, and a booking could run twice.
    if (!this->headerNames.proof.empty() && impliesNotRun(response.status)) {
        this->freeSlot(call, CallOutcome::Failed);
        return this->answerUnknown(call, reasonNoProof, statusBadGateway, unreachableRetryAfter);
    }
    this->recordAnswer(*call);
    this->observer.recordUpstreamTime(SteadyClock::now() - call->startedAt);
    this->freeSlot(call, response.status >= 500 ? CallOutcome::Failed : CallOutcome::Succeeded);
    if (call->claimed) {
        RecordedOutcome recorded;
        recorded.status = response.status;
        recorded.contentType = findHeader(response.headers, "Content-Type");
        recorded.body = response.body;
        this->claims.finish(call->claimKey, call->request.attemptId, std::move(recorded));
    }
    CallResponse answer;
    answer.outcome = Outcome::Done;
    answer.status = response.status;
    for (Header &header : response.headers) {
        if (!isHopByHopHeader(header.name))
            answer.headers.push_back(std::move(header));
    }
    answer.body = std::move(response.body);
    this->answer(call, std::move(answer));
}

void LocalGate::upstreamFailed(const std::shared_ptr<GateCall> &call, const HttpFailure &failure)
{
    // An upstream that rejects a large upload by its header may reset the connection, which can cut off the
    // body of the rejection.
    if (failure.incompleteResponse && this->provesNotRun(*failure.incompleteResponse))
        return this->handleProvenNotRun(call, *failure.incompleteResponse);
    this->recordFailure(*call, failure);
    if (failure.mayHaveBeenSent && !call->cancelled)
        this->recordOutcome(*call, true);
    this->freeSlot(call, call->cancelled ? CallOutcome::Cancelled : CallOutcome::Failed);
    if (!failure.mayHaveBeenSent) {
        call->sent = false;
        return this->refuse(call, reasonUnreachable, unreachableRetryAfter);
    }
    if (call->claimed)
        this->claims.leaveUnknown(call->claimKey, call->request.attemptId);
    const bool deadlinePassed = SteadyClock::now() >= call->deadline;
    const std::string_view reason = failure.responseTooLarge ? reasonTooLarge : reasonBroken;
    this->answerUnknown(call, deadlinePassed ? reasonDeadline : reason,
                        deadlinePassed ? statusGatewayTimeout : statusBadGateway, unreachableRetryAfter);
}

// Called before the slot of the call is freed, so that the next call starts under what the answer states. A
// refusal that names no limit does not end one: it may come from a part of the upstream that knows of none.
void LocalGate::readSignals(GateCall &call, const HttpResponse &response, bool isRefusal)
{
    call.signals = readUpstreamSignals(response.headers, this->headerNames);
    const bool countsForLimit = !isRefusal || call.signals.limit.kind != LimitStatementKind::None;
    bool changed = false;
    bool beginsToLeave = false;
    std::optional<double> limit;
    std::vector<GateAction> actions;
    {
        const std::lock_guard guard(this->mutex);
        if (call.upstreamInstance != this->current.instance
            || call.upstreamStartedAt != this->current.startedAt)
            return;
        const Instant now = SteadyClock::now();
        changed = countsForLimit && this->namedLimit.recordAnswer(call.startedAt, now, call.signals.limit);
        limit = this->namedLimit.callsPerSecond();
        if (changed)
            this->admission.setStartLimit(now, limit, actions);
        beginsToLeave = call.signals.leaving && !this->isLeaving;
        if (beginsToLeave) {
            this->isLeaving = true;
            this->admission.setState(now, this->conditionFor(this->current), this->current.slots, actions);
        }
    }
    this->applyActions(std::move(actions));
    if (beginsToLeave && this->upstreamHooks.leaving)
        this->upstreamHooks.leaving(call.upstreamInstance, call.upstreamStartedAt);
    if (changed)
        this->observer.upstreamLimitChanged(call.upstreamInstance, limit);
    if (call.signals.limit.kind == LimitStatementKind::Malformed)
        this->observer.upstreamLimitMalformed(call.upstreamInstance);
}

void LocalGate::recordOutcome(const GateCall &call, bool failed) const
{
    if (this->upstreamHooks.callEnded)
        this->upstreamHooks.callEnded({call.request.kind, failed, SteadyClock::now() - call.startedAt});
}

void LocalGate::recordAnswer(const GateCall &call)
{
    {
        const std::lock_guard guard(this->mutex);
        this->crashDetector.recordAnswer(call.startedAt);
    }
    if (this->quarantine.reportAnswer)
        this->quarantine.reportAnswer(call.request);
}

// A call that this node cut off, or that reached its deadline, says nothing about the upstream.
void LocalGate::recordFailure(const GateCall &call, const HttpFailure &failure)
{
    const Instant now = SteadyClock::now();
    const bool cutOff = call.cancelled && call.isCancellable();
    if (cutOff || now >= call.deadline)
        return;
    {
        const std::lock_guard guard(this->mutex);
        // A call that could not be sent did not run, but if other connections broke it is a reason to check
        // the upstream.
        if (!failure.mayHaveBeenSent && !this->crashDetector.hasUnexplainedBreaks())
            return;
        if (failure.mayHaveBeenSent) {
            for (const RequestFingerprint request : fingerprintsOf(call.request))
                this->crashDetector.recordBrokenConnection(now, request);
        }
    }
    this->checkUpstream(call.thread, call.upstreamAddress);
}

// Checks the upstream actively: waiting for the next call to find it gone would take seconds, since load
// balancing already avoids it.
void LocalGate::checkUpstream(RequestThread thread, const std::string &address)
{
    const Instant checkStartedAt = SteadyClock::now();
    {
        const std::lock_guard guard(this->mutex);
        if (this->upstreamCheckUnderWay)
            return;
        this->upstreamCheckUnderWay = true;
    }
    thread.client.checkReachable(address, upstreamCheckTimeout, [=, this](Reachability reachability) {
        if (reachability == Reachability::Reachable)
            return this->recheckUpstream(thread, address, checkStartedAt);
        this->upstreamChecked(thread, address, checkStartedAt, reachability);
    });
}

// Checks again after a short delay. When an upstream crashes, the connection of the request that crashed it
// is the first to close. The other connections and the listening socket stay open for a moment, so the crash
// would be taken for a broken connection.
void LocalGate::recheckUpstream(RequestThread thread, const std::string &address, Instant checkStartedAt)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(thread.context, upstreamCloseDuration);
    // The handler keeps the timer alive.
    timer->async_wait([this, timer, thread, address, checkStartedAt](const boost::system::error_code &) {
        thread.client.checkReachable(address, upstreamCheckTimeout, [=, this](Reachability reachability) {
            this->upstreamChecked(thread, address, checkStartedAt, reachability);
        });
    });
}

void LocalGate::upstreamChecked(RequestThread thread, const std::string &address, Instant checkStartedAt,
                                Reachability reachability)
{
    bool checkAgain = false;
    {
        const std::lock_guard guard(this->mutex);
        this->upstreamCheckUnderWay = false;
        if (reachability == Reachability::Reachable) {
            this->crashDetector.recordAnswer(checkStartedAt);
            checkAgain = this->crashDetector.hasUnexplainedBreaks();
        }
    }
    if (reachability == Reachability::Refused)
        this->handleUpstreamExit();
    if (checkAgain)
        this->checkUpstream(thread, address);
}

void LocalGate::handleUpstreamExit()
{
    std::vector<RequestFingerprint> requests;
    {
        const std::lock_guard guard(this->mutex);
        requests = this->crashDetector.recordUpstreamExit(SteadyClock::now());
    }
    if (!requests.empty() && this->quarantine.reportCrash)
        this->quarantine.reportCrash(requests);
}

} // namespace Sagecrank
