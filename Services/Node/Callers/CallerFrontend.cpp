// Translates between HTTP and calls.
#include "CallerFrontend.h"

#include <Node/CallReasons.h>
#include <Node/HopHeaders.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <initializer_list>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumKeyLength = 256;
constexpr std::size_t maximumCallIdLength = 256;

// A node that has just started reads its first version within some hundred milliseconds.
constexpr std::uint32_t noConfigurationRetryAfter = 300;

// A node that is replaced by another process is back within this.
constexpr std::uint32_t leavingRetryAfter = 1000;

bool isOneOf(std::string_view name, std::initializer_list<std::string_view> names)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view other) {
        return !other.empty() && headerNamesEqual(other, name);
    });
}

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Says once that a call began and once that it ended, however it ends.
class OpenCall
{
public:
    OpenCall(const std::function<void()> &began, std::function<void()> ended)
        : ended(std::move(ended))
    {
        began();
    }
    ~OpenCall() { this->end(); }
    OpenCall(const OpenCall &) = delete;
    OpenCall &operator=(const OpenCall &) = delete;

    void end()
    {
        if (!this->over)
            this->ended();
        this->over = true;
    }

    std::weak_ptr<ForwardedCall> running; // The connection must not keep a call alive that has ended.

private:
    std::function<void()> ended;
    bool over = false;
};

} // namespace

CallerFrontend::CallerFrontend(ForwardingContext &context, Milliseconds maximumTimeout, CallHeaders names,
                               std::string originService, CallerFrontendHooks hooks)
    : context(context)
    , maximumTimeout(maximumTimeout)
    , names(std::move(names))
    , originService(std::move(originService))
    , hooks(std::move(hooks))
{
}

// Nothing when the request can be taken, else what is wrong with it.
std::string_view CallerFrontend::problemOf(const HttpRequest &request) const
{
    if (request.target.empty() || request.target.front() != '/')
        return "bad_target";
    if (findHeader(request.headers, this->names.idempotencyKey).size() > maximumKeyLength)
        return "idempotency_key_too_long";
    if (findHeader(request.headers, this->names.callId).size() > maximumCallIdLength)
        return "call_id_too_long";
    const std::string_view deadline = findHeader(request.headers, this->names.deadline);
    if (deadline.empty())
        return {};
    const std::optional<std::int64_t> milliseconds = wholeNumber(deadline);
    return milliseconds && *milliseconds > 0 ? std::string_view() : "bad_deadline";
}

void CallerFrontend::refuse(const HttpRequest &request, HttpExchange &exchange, std::uint32_t status,
                            std::string_view reason, std::uint32_t retryAfterMilliseconds) const
{
    CallResponse response;
    response.outcome = Outcome::NotRun;
    response.status = status;
    response.reason = reason;
    response.retryAfterMilliseconds = retryAfterMilliseconds;
    const std::string callId(findHeader(request.headers, this->names.callId));
    this->context.observer.requestRefused(callId, status, reason);
    exchange.respond(this->makeAnswer(std::move(response), {}, callId));
}

std::optional<RouteMatch> CallerFrontend::routeOf(const HttpRequest &request) const
{
    const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
    return this->hooks.route(findHeader(request.headers, "Host"), request.method, path);
}

// What no route serves is refused without running, so it may be refused at once as well.
bool CallerFrontend::mayPipeline(const HttpRequest &request) const
{
    const std::optional<RouteMatch> route = this->routeOf(request);
    return !route || (route->idempotent && findHeader(request.headers, this->names.idempotencyKey).empty());
}

void CallerFrontend::handle(Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) const
{
    const std::string_view problem = this->problemOf(request);
    if (!problem.empty()) {
        this->context.observer.requestInvalid(problem);
        return this->refuse(request, *exchange, 400, problem, 0);
    }
    if (worker.rejectsNewCalls())
        return this->refuse(request, *exchange, 503, reasonLeaving, leavingRetryAfter);
    const std::optional<RouteMatch> route = this->routeOf(request);
    if (!route && !this->hooks.hasConfiguration())
        return this->refuse(request, *exchange, 503, "no_configuration_yet", noConfigurationRetryAfter);
    if (!route)
        return this->refuse(request, *exchange, 404, "no_route", 0);

    CallPlan plan;
    plan.cluster = route->cluster;
    plan.callClass = route->callClass;
    plan.idempotent = route->idempotent;
    plan.hedged = route->hedged;
    plan.maximumRetries = route->maximumRetries;
    plan.routeName = route->name;
    plan.configurationVersion = route->configurationVersion;
    const Instant arrived = SteadyClock::now();
    std::optional<Milliseconds> asked;
    if (const auto milliseconds = wholeNumber(findHeader(request.headers, this->names.deadline)))
        asked = Milliseconds(*milliseconds);
    plan.arrived = arrived;
    plan.deadline = arrived + callTimeout(asked, route->timeout, this->maximumTimeout);
    if (asked)
        plan.callerDeadline = arrived + *asked;

    CallRequest call = this->makeCall(std::move(request), *route);
    plan.firstArrived = this->firstArrived(call.kind, plan);
    if (route->targetLatency > Milliseconds(0))
        plan.target = plan.firstArrived + route->targetLatency;
    if (call.callerCallId.empty())
        call.callerCallId = this->context.ids.next();
    const auto open = std::make_shared<OpenCall>(this->hooks.callStarted, this->hooks.callEnded);
    RequestObserver &observer = this->context.observer;
    const auto span = std::make_shared<Span>(observer.openSpan(SpanName::Call, call.traceParent, arrived));
    span->field("route", route->name);
    call.traceParent = formatTraceParent(span->context());
    const std::string callerCallId = call.callerCallId;
    const auto forwarded = std::make_shared<ForwardedCall>(
        this->context, worker, std::move(plan), std::move(call),
        [this, &observer, exchange, open, span, route = *route, callerCallId,
         arrived](CallResponse response) {
            const Instant now = SteadyClock::now();
            observer.callAnswered(route.callClass, response, now - arrived);
            span->field("outcome", outcomeNames.name(response.outcome));
            span->end(now);
            exchange->respond(
                this->makeAnswer(std::move(response), formatTraceParent(span->context()), callerCallId));
            open->end();
        });
    open->running = forwarded;
    exchange->onCallerDisconnected([open] {
        if (const auto self = open->running.lock())
            self->abandon();
        open->end();
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

Milliseconds callTimeout(std::optional<Milliseconds> asked, Milliseconds routes, Milliseconds maximum)
{
    if (!asked)
        return routes;
    return std::min(*asked, std::max(routes, maximum));
}

CallRequest CallerFrontend::makeCall(HttpRequest request, const RouteMatch &route) const
{
    CallRequest call;
    call.cluster = route.cluster;
    call.callClass = route.callClass;
    call.idempotent = route.idempotent;
    call.priority = route.priority;
    call.kind = std::hash<std::string>{}(route.name);
    call.idempotencyKey = findHeader(request.headers, this->names.idempotencyKey);
    call.callerCallId = findHeader(request.headers, this->names.callId);
    call.traceParent = findHeader(request.headers, this->names.trace);
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    for (Header &header : request.headers) {
        // The gate writes these anew; what a caller says of its own origin is not believed.
        const bool own =
            isHopHeader(header.name)
            || isOneOf(header.name, {this->names.callId, this->names.deadline, this->names.attempt,
                                     this->names.idempotencyKey, this->names.trace,
                                     this->names.expectedInstance, this->names.originService});
        if (!own)
            call.headers.push_back(std::move(header));
    }
    if (!this->names.originService.empty())
        call.headers.push_back({this->names.originService, this->originService});
    call.body = std::move(request.body);
    return call;
}

// Fractions let a refused caller come back after the few milliseconds that a slot takes to get free.
std::string CallerFrontend::retryAfterText(std::uint32_t milliseconds) const
{
    if (!this->names.retryAfterHasFractions)
        return std::to_string((milliseconds + 999) / 1000);
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%u.%03u", milliseconds / 1000, milliseconds % 1000);
    return text.data();
}

HttpResponse CallerFrontend::makeAnswer(CallResponse response, const std::string &traceParent,
                                        const std::string &callerCallId) const
{
    HttpResponse answer;
    answer.status = response.status;
    answer.headers = std::move(response.headers);
    answer.body = std::move(response.body);
    std::erase_if(answer.headers, [this](const Header &header) {
        return isHopHeader(header.name)
               || isOneOf(header.name, {this->names.callId, this->names.trace, this->names.outcome});
    });
    const auto add = [&answer](const std::string &name, std::string value) {
        if (!name.empty())
            answer.headers.push_back({name, std::move(value)});
    };
    add(this->names.outcome, std::string(outcomeNames.name(response.outcome)));
    if (!callerCallId.empty())
        add(this->names.callId, callerCallId);
    if (response.replayed)
        add(this->names.replayed, "true");
    if (!traceParent.empty())
        add(this->names.trace, traceParent);
    if (response.outcome == Outcome::Done)
        return answer;
    add(this->names.reason, response.reason);
    if (response.retryAfterMilliseconds > 0) {
        answer.headers.push_back({"Retry-After", this->retryAfterText(response.retryAfterMilliseconds)});
        add(this->names.retryAfterMilliseconds, std::to_string(response.retryAfterMilliseconds));
    }
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.body = response.reason + "\n";
    return answer;
}

} // namespace Sagecrank
