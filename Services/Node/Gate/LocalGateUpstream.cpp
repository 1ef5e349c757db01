// The exchange between the gate and its upstream: what a call is sent as, and what its answer proves.
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

// Between the first connection that an upstream closes as it ends and the last.
constexpr Duration upstreamClosingTime = Milliseconds(100);

Duration retryAfterOf(const HttpResponse &response)
{
    const std::string text(findHeader(response.headers, "Retry-After"));
    const int seconds = std::atoi(text.c_str());
    return std::chrono::seconds(std::clamp(seconds, 1, 3600));
}

// Statuses that callers take for a promise that nothing ran.
bool saysNotRun(std::uint32_t status)
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
        if (!isHopHeader(header.name))
            request.headers.push_back(header);
    }
    const auto milliseconds = std::chrono::duration_cast<Milliseconds>(remaining).count();
    const auto add = [&request](const std::string &name, const std::string &value) {
        if (!name.empty() && !value.empty())
            request.headers.push_back({name, value});
    };
    add(this->names.deadline, std::to_string(std::max<std::int64_t>(milliseconds, 1)));
    add(this->names.attempt, call.request.attempt);
    add(this->names.callId, call.request.callerCallId);
    add(this->names.idempotencyKey, call.request.idempotencyKey);
    add(this->names.expectedInstance, call.upstreamInstance);
    add(this->names.trace, formatTraceParent(call.stepSpan->context()));
    request.body = call.request.body;
    return request;
}

// Whether the upstream says that it did not run the call. No other answer says so, whatever its status.
bool LocalGate::provesNotRun(const HttpResponse &response) const
{
    if (!this->names.expectedInstance.empty() && response.status == statusMisdirected)
        return true;
    const std::string_view said = findHeader(response.headers, this->names.notRun);
    if (this->names.notRunValue.empty())
        return !said.empty();
    return response.status == statusUnavailable && said == this->names.notRunValue;
}

// Failure: a faulty upstream sends bytes that look like an answer. Symptom: a caller takes them for its own.
// The proof that every sound answer carries is missing, or the body is coded although nobody asked for it.
bool LocalGate::isOwnAnswer(const HttpResponse &response) const
{
    if (this->names.proof.empty())
        return true;
    if (!findHeader(response.headers, "Content-Encoding").empty())
        return false;
    return response.status >= 300 || !findHeader(response.headers, this->names.proof).empty();
}

void LocalGate::upstreamRefused(const std::shared_ptr<GateCall> &call, const HttpResponse &response)
{
    this->observer.upstreamShed(call->request.callerCallId, call->request.cluster, response.status);
    this->freeSlot(call, CallOutcome::Shed);
    if (response.status != statusMisdirected)
        return this->refuse(call, reasonShed, retryAfterOf(response));
    // Another upstream stands at this address: nothing more goes there until one announces itself.
    UpstreamAnnouncement gone = this->announcement();
    if (gone.instance == call->upstreamInstance) {
        gone.condition = UpstreamCondition::NotReady;
        this->announce(gone);
    }
    this->refuse(call, reasonMisdirected, retryAfterOf(response));
}

void LocalGate::upstreamAnswered(const std::shared_ptr<GateCall> &call, HttpResponse response)
{
    if (this->provesNotRun(response))
        return this->upstreamRefused(call, response);
    if (!this->isOwnAnswer(response)) {
        this->freeSlot(call, CallOutcome::Failed);
        if (call->claimed)
            this->claims.leaveUnknown(call->claimName, call->request.attempt);
        return this->answerUnknown(call, reasonSpoilt, statusBadGateway, unreachableRetryAfter);
    }
    // Failure: an upstream says "unavailable" without saying that it did not run the call. Symptom: passed
    // on, the status would promise the caller that it may come again, and a booking would run twice.
    if (!this->names.proof.empty() && saysNotRun(response.status)) {
        this->freeSlot(call, CallOutcome::Failed);
        return this->answerUnknown(call, reasonNoProof, statusBadGateway, unreachableRetryAfter);
    }
    this->noteAnswer(*call);
    this->observer.upstreamTook(SteadyClock::now() - call->started);
    this->freeSlot(call, response.status >= 500 ? CallOutcome::Failed : CallOutcome::Succeeded);
    if (call->claimed) {
        RecordedOutcome recorded;
        recorded.status = response.status;
        recorded.contentType = findHeader(response.headers, "Content-Type");
        recorded.body = response.body;
        this->claims.finish(call->claimName, call->request.attempt, std::move(recorded));
    }
    CallResponse answer;
    answer.outcome = Outcome::Done;
    answer.status = response.status;
    for (Header &header : response.headers) {
        if (!isHopHeader(header.name))
            answer.headers.push_back(std::move(header));
    }
    answer.body = std::move(response.body);
    this->answer(call, std::move(answer));
}

void LocalGate::upstreamFailed(const std::shared_ptr<GateCall> &call, const HttpFailure &failure)
{
    this->noteFailure(*call, failure);
    this->freeSlot(call, call->cancelled ? CallOutcome::Cancelled : CallOutcome::Failed);
    if (!failure.mayHaveBeenSent) {
        call->sent = false;
        return this->refuse(call, reasonUnreachable, unreachableRetryAfter);
    }
    if (call->claimed)
        this->claims.leaveUnknown(call->claimName, call->request.attempt);
    const bool late = SteadyClock::now() >= call->deadline;
    this->answerUnknown(call, late ? reasonDeadline : reasonBroken,
                        late ? statusGatewayTimeout : statusBadGateway, unreachableRetryAfter);
}

void LocalGate::noteAnswer(const GateCall &call)
{
    {
        const std::lock_guard guard(this->mutex);
        this->witness.recordAnswer(call.started);
    }
    if (this->quarantine.reportAnswer)
        this->quarantine.reportAnswer(call.request);
}

// What this node ended itself, or gave up at the deadline, says nothing about the upstream.
void LocalGate::noteFailure(const GateCall &call, const HttpFailure &failure)
{
    const Instant now = SteadyClock::now();
    const bool cutOff = call.cancelled && call.mayBeCutOff();
    if (cutOff || now >= call.deadline)
        return;
    {
        const std::lock_guard guard(this->mutex);
        // What could not be sent did not run; where others broke off, it is a reason to look.
        if (!failure.mayHaveBeenSent && !this->witness.hasUnexplainedBreaks())
            return;
        if (failure.mayHaveBeenSent) {
            for (const RequestFingerprint request : fingerprintsOf(call.request))
                this->witness.recordBrokenConnection(now, request);
        }
    }
    this->checkUpstream(call.home, call.upstreamAddress);
}

// Waiting for the next call to find the upstream gone takes seconds where placing avoids it already.
void LocalGate::checkUpstream(RequestThread home, const std::string &address)
{
    const Instant begun = SteadyClock::now();
    {
        const std::lock_guard guard(this->mutex);
        if (this->upstreamCheckUnderWay)
            return;
        this->upstreamCheckUnderWay = true;
    }
    home.client.checkReachable(address, upstreamCheckTimeout, [=, this](Reachability found) {
        if (found == Reachability::Reachable)
            return this->lookAgain(home, address, begun);
        this->upstreamChecked(home, address, begun, found);
    });
}

// Failure: an upstream ends, and the connection of the request that crashed it is the first to close.
// Symptom: the others and what it listens on are open for a moment more, and the crash passes for a broken
// connection.
void LocalGate::lookAgain(RequestThread home, const std::string &address, Instant begun)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(home.context, upstreamClosingTime);
    // It lives as long as its hook.
    timer->async_wait([this, timer, home, address, begun](const boost::system::error_code &) {
        home.client.checkReachable(address, upstreamCheckTimeout, [=, this](Reachability found) {
            this->upstreamChecked(home, address, begun, found);
        });
    });
}

void LocalGate::upstreamChecked(RequestThread home, const std::string &address, Instant begun,
                                Reachability found)
{
    bool more = false;
    {
        const std::lock_guard guard(this->mutex);
        this->upstreamCheckUnderWay = false;
        if (found == Reachability::Reachable) {
            this->witness.recordAnswer(begun);
            more = this->witness.hasUnexplainedBreaks();
        }
    }
    if (found == Reachability::Refused)
        this->noteUpstreamEnded();
    if (more)
        this->checkUpstream(home, address);
}

void LocalGate::noteUpstreamEnded()
{
    std::vector<RequestFingerprint> requests;
    {
        const std::lock_guard guard(this->mutex);
        requests = this->witness.recordUpstreamExit(SteadyClock::now());
    }
    if (!requests.empty() && this->quarantine.reportCrash)
        this->quarantine.reportCrash(requests);
}

} // namespace Sagecrank
