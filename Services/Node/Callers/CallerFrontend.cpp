// Implements the translation between HTTP requests and calls.
#include "CallerFrontend.h"

#include <Node/CallReasons.h>
#include <Node/HopHeaders.h>

#include <LibDecide/CallPriority.h>

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <initializer_list>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumIdempotencyKeyLength = 256;
constexpr std::size_t maximumCallIdLength = 256;

// A node reads its first configuration version within a few hundred milliseconds of its start.
constexpr std::uint32_t noConfigurationRetryAfterMilliseconds = 300;

// A proof that the configuration is recent arrives several times a second.
constexpr std::uint32_t keyInDoubtRetryAfterMilliseconds = 300;

// A node whose process is replaced is available again within this time.
constexpr std::uint32_t shutdownRetryAfterMilliseconds = 1000;

constexpr std::uint32_t statusUnauthorized = 401;

// The price of bytes between zones would keep calls with large responses in their zone however long they
// waited there for its links.
constexpr int zoneCostsWithinTarget = 8;

bool isOneOf(std::string_view name, std::initializer_list<std::string_view> names)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view other) {
        return !other.empty() && headerNamesEqual(other, name);
    });
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Reports the start of a call and, exactly once, its end.
class CallTracker
{
public:
    CallTracker(const std::function<void()> &onStarted, std::function<void()> onEnded)
        : onEnded(std::move(onEnded))
    {
        onStarted();
    }
    ~CallTracker() { this->end(); }
    CallTracker(const CallTracker &) = delete;
    CallTracker &operator=(const CallTracker &) = delete;

    void end()
    {
        if (!this->ended)
            this->onEnded();
        this->ended = true;
    }
    bool hasEnded() const { return this->ended; }

    std::weak_ptr<ForwardedCall> running; // Weak: a finished call must not live as long as its connection.

private:
    std::function<void()> onEnded;
    bool ended = false;
};

} // namespace

// A valid request of a known caller, until its call has ended.
struct CallerFrontend::AdmittedRequest
{
    HttpRequest request; // Moved away when it is forwarded.
    std::shared_ptr<HttpExchange> exchange;
    RouteMatch route;
    CallerIdentity caller;
    CallPlan plan; // Moved away when it is forwarded.
    std::shared_ptr<CallTracker> tracker;
    Instant allowanceAcquiredAt{}; // Unset if the account has no allowance.
};

std::uint64_t kindOfCalls(const std::string &routeName, std::optional<std::uint32_t> accountPriority)
{
    constexpr std::uint64_t mixingFactor = 0x9e3779b97f4a7c15;
    const std::uint64_t kind = std::hash<std::string>{}(routeName);
    return accountPriority ? kind ^ (*accountPriority + 1) * mixingFactor : kind;
}

CallerFrontend::CallerFrontend(ForwardingContext &context, Milliseconds maximumTimeout, CallHeaders names,
                               std::string originService, CallerFrontendHooks hooks)
    : context(context)
    , maximumTimeout(maximumTimeout)
    , names(std::move(names))
    , originService(std::move(originService))
    , hooks(std::move(hooks))
{
}

// Returns the reason to reject the request; empty when it is valid.
std::string_view CallerFrontend::validate(const HttpRequest &request) const
{
    if (request.target.empty() || request.target.front() != '/')
        return "bad_target";
    if (findHeader(request.headers, this->names.idempotencyKey).size() > maximumIdempotencyKeyLength)
        return "idempotency_key_too_long";
    if (findHeader(request.headers, this->names.callId).size() > maximumCallIdLength)
        return "call_id_too_long";
    const std::string_view deadline = findHeader(request.headers, this->names.deadline);
    if (deadline.empty())
        return {};
    const std::optional<std::int64_t> milliseconds = parseInteger(deadline);
    return milliseconds && *milliseconds > 0 ? std::string_view() : "bad_deadline";
}

void CallerFrontend::refuse(const HttpRequest &request, HttpExchange &exchange, std::uint32_t status,
                            std::string_view reason, std::uint32_t retryAfterMilliseconds,
                            std::string_view account) const
{
    CallResponse response;
    response.outcome = Outcome::NotRun;
    response.status = status;
    response.reason = reason;
    response.retryAfterMilliseconds = retryAfterMilliseconds;
    const std::string callId(findHeader(request.headers, this->names.callId));
    this->context.observer.requestRefused(callId, status, reason, account);
    HttpResponse answer = this->makeHttpResponse(std::move(response), {}, callId);
    if (status == statusUnauthorized)
        answer.headers.push_back({"WWW-Authenticate", "Bearer"});
    exchange.respond(std::move(answer));
}

// Returns whether the request was refused.
bool CallerFrontend::refuseUnidentified(const HttpRequest &request, HttpExchange &exchange,
                                        KeyVerdict verdict) const
{
    switch (verdict) {
    case KeyVerdict::NotRequired:
    case KeyVerdict::Accepted:
        return false;
    case KeyVerdict::Missing:
    case KeyVerdict::Unknown:
        this->refuse(request, exchange, statusUnauthorized, keyVerdictNames.name(verdict), 0);
        return true;
    case KeyVerdict::InDoubt:
        this->refuse(request, exchange, 503, keyVerdictNames.name(verdict), keyInDoubtRetryAfterMilliseconds);
        return true;
    }
    return false;
}

std::optional<RouteMatch> CallerFrontend::findRoute(const HttpRequest &request) const
{
    const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
    return this->hooks.route(findHeader(request.headers, "Host"), request.method, path);
}

// A request without a route is rejected without running, so it need not wait either.
bool CallerFrontend::mayPipeline(const HttpRequest &request) const
{
    const std::optional<RouteMatch> route = this->findRoute(request);
    return !route || (route->idempotent && findHeader(request.headers, this->names.idempotencyKey).empty());
}

void CallerFrontend::handle(Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) const
{
    const std::string_view problem = this->validate(request);
    if (!problem.empty()) {
        this->context.observer.requestInvalid(400, problem);
        return this->refuse(request, *exchange, 400, problem, 0);
    }
    if (worker.rejectsNewCalls())
        return this->refuse(request, *exchange, 503, reasonLeaving, shutdownRetryAfterMilliseconds);
    const std::optional<RouteMatch> route = this->findRoute(request);
    if (!route && !this->hooks.hasConfiguration())
        return this->refuse(request, *exchange, 503, "no_configuration_yet",
                            noConfigurationRetryAfterMilliseconds);
    if (!route)
        return this->refuse(request, *exchange, 404, "no_route", 0);
    const CallerIdentity caller = this->hooks.identify(request.headers, route->isPublic);
    if (this->refuseUnidentified(request, *exchange, caller.verdict))
        return;

    CallPlan plan = this->makePlan(request, *route, SteadyClock::now());
    if (!worker.acceptsCall(plan.deadline))
        return this->refuse(request, *exchange, 503, reasonLeaving, shutdownRetryAfterMilliseconds);
    const auto admitted = std::make_shared<AdmittedRequest>(
        AdmittedRequest{std::move(request), exchange, *route, caller, std::move(plan),
                        std::make_shared<CallTracker>(this->hooks.callStarted, this->hooks.callEnded)});
    if (caller.account && caller.account->isLimited())
        return this->acquireAllowance(worker, admitted);
    this->forward(worker, admitted);
}

void CallerFrontend::acquireAllowance(Worker &worker, const std::shared_ptr<AdmittedRequest> &admitted) const
{
    admitted->exchange->onCallerDisconnected([tracker = admitted->tracker] { tracker->end(); });
    this->hooks.acquireAllowance(
        admitted->caller.account->name, [this, &worker, admitted](const AllowanceDecision &decision) {
            boost::asio::dispatch(worker.ioContext(), [this, &worker, admitted, decision] {
                this->allowanceDecided(worker, admitted, decision);
            });
        });
}

void CallerFrontend::allowanceDecided(Worker &worker, const std::shared_ptr<AdmittedRequest> &admitted,
                                      const AllowanceDecision &decision) const
{
    constexpr std::uint32_t statusTooManyRequests = 429;
    const std::string &account = admitted->caller.account->name;
    const bool isGranted = decision.verdict == AllowanceVerdict::Granted;
    admitted->allowanceAcquiredAt = SteadyClock::now();
    if (isGranted && !admitted->tracker->hasEnded() && worker.acceptsCall(admitted->plan.deadline))
        return this->forward(worker, admitted);
    if (isGranted)
        this->hooks.releaseAllowance(account, admitted->allowanceAcquiredAt);
    if (admitted->tracker->hasEnded())
        return; // The caller has left.
    const auto retryAfter =
        static_cast<std::uint32_t>(std::chrono::ceil<Milliseconds>(decision.retryAfter).count());
    if (isGranted)
        this->refuse(admitted->request, *admitted->exchange, 503, reasonLeaving,
                     shutdownRetryAfterMilliseconds);
    else
        this->refuse(admitted->request, *admitted->exchange,
                     decision.verdict == AllowanceVerdict::Exceeded ? statusTooManyRequests : 503,
                     allowanceVerdictNames.name(decision.verdict), retryAfter, account);
    admitted->tracker->end();
}

CallPlan CallerFrontend::makePlan(const HttpRequest &request, const RouteMatch &route, Instant arrived) const
{
    CallPlan plan;
    plan.cluster = route.cluster;
    plan.callClass = route.callClass;
    plan.idempotent = route.idempotent;
    plan.hedged = route.hedged;
    plan.maximumRetries = route.maximumRetries;
    plan.routeName = route.name;
    if (route.largeResponses && route.targetLatency > Milliseconds(0))
        plan.maximumZoneCost = route.targetLatency / zoneCostsWithinTarget;
    plan.configurationVersion = route.configurationVersion;
    std::optional<Milliseconds> requested;
    if (const auto milliseconds = parseInteger(findHeader(request.headers, this->names.deadline)))
        requested = Milliseconds(*milliseconds);
    plan.arrived = arrived;
    plan.deadline = arrived + callTimeout(requested, route.timeout, this->maximumTimeout);
    if (requested)
        plan.callerDeadline = arrived + *requested;
    return plan;
}

void CallerFrontend::forward(Worker &worker, const std::shared_ptr<AdmittedRequest> &admitted) const
{
    const RouteMatch &route = admitted->route;
    CallPlan plan = std::move(admitted->plan);
    const Instant arrived = plan.arrived;
    CallRequest call = this->makeCall(std::move(admitted->request), route, admitted->caller);
    plan.firstArrived = this->firstArrived(call.kind, plan);
    if (route.targetLatency > Milliseconds(0))
        plan.target = plan.firstArrived + route.targetLatency;
    if (call.callerCallId.empty())
        call.callerCallId = this->context.ids.next();
    RequestObserver &observer = this->context.observer;
    const auto span = std::make_shared<Span>(observer.openSpan(SpanName::Call, call.traceParent, arrived));
    span->field("route", route.name);
    call.traceParent = formatTraceParent(span->context());
    const std::string callerCallId = call.callerCallId;
    const auto forwarded = std::make_shared<ForwardedCall>(
        this->context, worker, std::move(plan), std::move(call),
        [this, &observer, admitted, span, callerCallId, arrived](CallResponse response) {
            const Instant now = SteadyClock::now();
            observer.callAnswered(admitted->route.callClass, response, now - arrived);
            span->field("outcome", outcomeNames.name(response.outcome));
            span->end(now);
            if (response.outcome == Outcome::NotRun && admitted->allowanceAcquiredAt != Instant{})
                this->hooks.releaseAllowance(admitted->caller.account->name, admitted->allowanceAcquiredAt);
            admitted->exchange->respond(this->makeHttpResponse(
                std::move(response), formatTraceParent(span->context()), callerCallId));
            admitted->tracker->end();
        });
    admitted->tracker->running = forwarded;
    admitted->exchange->onCallerDisconnected([tracker = admitted->tracker] {
        if (const auto self = tracker->running.lock())
            self->abandon();
        tracker->end();
    });
    forwarded->start();
}

Instant CallerFrontend::firstArrived(std::uint64_t kind, const CallPlan &plan) const
{
    if (!plan.callerDeadline)
        return plan.arrived;
    RefusedCallers &refused = this->context.refusedCallers;
    const std::lock_guard guard(refused.mutex);
    return refused.returning.matchRetry(plan.arrived, kind, *plan.callerDeadline).value_or(plan.arrived);
}

Milliseconds callTimeout(std::optional<Milliseconds> requested, Milliseconds routeTimeout,
                         Milliseconds maximum)
{
    if (!requested)
        return routeTimeout;
    return std::min(*requested, std::max(routeTimeout, maximum));
}

CallRequest CallerFrontend::makeCall(HttpRequest request, const RouteMatch &route,
                                     const CallerIdentity &caller) const
{
    CallRequest call;
    call.cluster = route.cluster;
    call.callClass = route.callClass;
    call.idempotent = route.idempotent;
    call.priority = priorityOfCall(
        {route.priority, caller.account ? std::optional(caller.account->priority) : std::nullopt,
         caller.keysRequired,
         caller.keysRequired && this->hooks.isNested(findHeader(request.headers, this->names.callId))});
    call.kind =
        kindOfCalls(route.name, caller.account ? std::optional(caller.account->priority) : std::nullopt);
    call.idempotencyKey = findHeader(request.headers, this->names.idempotencyKey);
    call.callerCallId = findHeader(request.headers, this->names.callId);
    call.traceParent = findHeader(request.headers, this->names.trace);
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    for (Header &header : request.headers) {
        // The gate sets these itself; in particular, a caller's claim about its origin is not trusted.
        const bool writtenByNode =
            isHopByHopHeader(header.name)
            || isOneOf(header.name, {this->names.callId, this->names.deadline, this->names.attempt,
                                     this->names.idempotencyKey, this->names.trace,
                                     this->names.expectedInstance, this->names.originService});
        // Upstreams must not learn keys, revoked ones included, and must be able to rely on the account.
        const bool isCredential =
            caller.keysRequired && isOneOf(header.name, {keyHeaderName, this->names.account});
        if (!writtenByNode && !isCredential)
            call.headers.push_back(std::move(header));
    }
    if (!this->names.originService.empty())
        call.headers.push_back({this->names.originService, this->originService});
    if (caller.account && !this->names.account.empty())
        call.headers.push_back({this->names.account, caller.account->name});
    call.body = std::move(request.body);
    return call;
}

// Fractions of a second let a refused caller retry within the few milliseconds that a slot takes to become
// free.
std::string CallerFrontend::formatRetryAfter(std::uint32_t milliseconds) const
{
    if (!this->names.retryAfterHasFractions)
        return std::to_string((milliseconds + 999) / 1000);
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%u.%03u", milliseconds / 1000, milliseconds % 1000);
    return text.data();
}

HttpResponse CallerFrontend::makeHttpResponse(CallResponse response, const std::string &traceParent,
                                              const std::string &callerCallId) const
{
    HttpResponse result;
    result.status = response.status;
    result.headers = std::move(response.headers);
    result.body = std::move(response.body);
    std::erase_if(result.headers, [this](const Header &header) {
        return isHopByHopHeader(header.name)
               || isOneOf(header.name, {this->names.callId, this->names.trace, this->names.outcome});
    });
    const auto add = [&result](const std::string &name, std::string value) {
        if (!name.empty())
            result.headers.push_back({name, std::move(value)});
    };
    add(this->names.outcome, std::string(outcomeNames.name(response.outcome)));
    if (!callerCallId.empty())
        add(this->names.callId, callerCallId);
    if (response.replayed)
        add(this->names.replayed, "true");
    if (!traceParent.empty())
        add(this->names.trace, traceParent);
    if (response.outcome == Outcome::Done)
        return result;
    add(this->names.reason, response.reason);
    if (response.retryAfterMilliseconds > 0) {
        result.headers.push_back({"Retry-After", this->formatRetryAfter(response.retryAfterMilliseconds)});
        add(this->names.retryAfterMilliseconds, std::to_string(response.retryAfterMilliseconds));
    }
    result.headers.push_back({"Content-Type", "text/plain"});
    result.body = response.reason + "\n";
    return result;
}

} // namespace Sagecrank
