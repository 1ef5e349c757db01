// Translates between HTTP and calls.
#include "CallerFrontend.h"

#include <algorithm>
#include <charconv>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumKeyLength = 256;
constexpr std::size_t maximumCallIdLength = 256;

// Headers that the node reads itself and writes anew for each hop.
bool isOwnHeader(std::string_view name)
{
    static constexpr std::string_view own[] = {
        "Host",        "Connection",           "Content-Length",    "Transfer-Encoding",
        "traceparent", "Idempotency-Key",      "Sagecrank-Call-Id", "Sagecrank-Attempt",
        "Keep-Alive",  "Sagecrank-Deadline-Ms"};
    return std::any_of(std::begin(own), std::end(own),
                       [name](std::string_view header) { return sameHeaderName(header, name); });
}

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

void refuse(HttpExchange &exchange, std::uint32_t status, std::string_view reason,
            std::uint32_t retryAfterMilliseconds)
{
    HttpResponse response = makeResponse(status, "text/plain", std::string(reason) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", std::string(outcomeNames.name(Outcome::NotRun))});
    response.headers.push_back({"Sagecrank-Reason", std::string(reason)});
    if (retryAfterMilliseconds > 0) {
        response.headers.push_back({"Retry-After", std::to_string((retryAfterMilliseconds + 999) / 1000)});
        response.headers.push_back({"Sagecrank-Retry-After-Ms", std::to_string(retryAfterMilliseconds)});
    }
    exchange.respond(std::move(response));
}

// Nothing when the request can be taken, else what is wrong with it.
std::string_view problemOf(const HttpRequest &request)
{
    if (request.target.empty() || request.target.front() != '/')
        return "bad_target";
    if (findHeader(request.headers, "Idempotency-Key").size() > maximumKeyLength)
        return "idempotency_key_too_long";
    if (findHeader(request.headers, "Sagecrank-Call-Id").size() > maximumCallIdLength)
        return "call_id_too_long";
    const std::string_view deadline = findHeader(request.headers, "Sagecrank-Deadline-Ms");
    if (deadline.empty())
        return {};
    const std::optional<std::int64_t> milliseconds = wholeNumber(deadline);
    return milliseconds && *milliseconds > 0 ? std::string_view() : "bad_deadline";
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

CallerFrontend::CallerFrontend(ForwardingContext &context, Milliseconds maximumTimeout,
                               CallerFrontendHooks hooks)
    : context(context)
    , maximumTimeout(maximumTimeout)
    , hooks(std::move(hooks))
{
}

void CallerFrontend::handle(Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) const
{
    const std::string_view problem = problemOf(request);
    if (!problem.empty()) {
        this->context.observer.requestInvalid(problem);
        return refuse(*exchange, 400, problem, 0);
    }
    const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
    const std::optional<RouteChoice> route = this->hooks.route(request.method, path);
    if (!route && !this->hooks.holdsConfiguration())
        return refuse(*exchange, 503, "no_configuration_yet", 1000);
    if (!route)
        return refuse(*exchange, 404, "no_route", 0);

    CallPlan plan;
    plan.cluster = route->cluster;
    plan.callClass = route->callClass;
    plan.idempotent = route->idempotent;
    plan.hedged = route->hedged;
    plan.maximumRetries = route->maximumRetries;
    plan.configurationVersion = route->configurationVersion;
    const Instant arrived = SteadyClock::now();
    std::optional<Milliseconds> asked;
    if (const auto milliseconds = wholeNumber(findHeader(request.headers, "Sagecrank-Deadline-Ms")))
        asked = Milliseconds(*milliseconds);
    plan.deadline = arrived + callTimeout(asked, route->timeout, this->maximumTimeout);

    CallRequest call = makeCall(std::move(request), *route);
    if (call.callerCallId.empty())
        call.callerCallId = this->context.ids.next();
    const auto open = std::make_shared<OpenCall>(this->hooks.began, this->hooks.ended);
    RequestObserver &observer = this->context.observer;
    const auto span = std::make_shared<Span>(observer.openSpan(SpanName::Call, call.traceParent, arrived));
    span->field("route", route->name);
    call.traceParent = formatTraceParent(span->context());
    const std::string callerCallId = call.callerCallId;
    const auto forwarded = std::make_shared<ForwardedCall>(
        this->context, worker, std::move(plan), std::move(call),
        [&observer, exchange, open, span, route = *route, callerCallId, arrived](CallResponse response) {
            const Instant now = SteadyClock::now();
            observer.callAnswered(route.cluster, route.callClass, response, now - arrived);
            span->field("outcome", outcomeNames.name(response.outcome));
            span->end(now);
            exchange->respond(
                makeAnswer(std::move(response), formatTraceParent(span->context()), callerCallId));
            open->end();
        });
    open->running = forwarded;
    exchange->onAbandoned([open] {
        if (const auto self = open->running.lock())
            self->abandon();
        open->end();
    });
    forwarded->start();
}

Milliseconds callTimeout(std::optional<Milliseconds> asked, Milliseconds routes, Milliseconds maximum)
{
    if (!asked)
        return routes;
    return std::min(*asked, std::max(routes, maximum));
}

CallRequest CallerFrontend::makeCall(HttpRequest request, const RouteChoice &route)
{
    CallRequest call;
    call.cluster = route.cluster;
    call.callClass = route.callClass;
    call.idempotent = route.idempotent;
    call.idempotencyKey = findHeader(request.headers, "Idempotency-Key");
    call.callerCallId = findHeader(request.headers, "Sagecrank-Call-Id");
    call.traceParent = findHeader(request.headers, "traceparent");
    call.method = std::move(request.method);
    call.target = std::move(request.target);
    for (Header &header : request.headers) {
        if (!isOwnHeader(header.name))
            call.headers.push_back(std::move(header));
    }
    call.body = std::move(request.body);
    return call;
}

HttpResponse CallerFrontend::makeAnswer(CallResponse response, const std::string &traceParent,
                                        const std::string &callerCallId)
{
    HttpResponse answer;
    answer.status = response.status;
    answer.headers = std::move(response.headers);
    answer.body = std::move(response.body);
    std::erase_if(answer.headers, [](const Header &header) {
        return isOwnHeader(header.name) || sameHeaderName(header.name, "Sagecrank-Outcome");
    });
    answer.headers.push_back({"Sagecrank-Outcome", std::string(outcomeNames.name(response.outcome))});
    answer.headers.push_back({"Sagecrank-Call-Id", callerCallId});
    if (response.replayed)
        answer.headers.push_back({"Sagecrank-Replayed", "true"});
    if (!traceParent.empty())
        answer.headers.push_back({"traceparent", traceParent});
    if (response.outcome == Outcome::Done)
        return answer;
    answer.headers.push_back({"Sagecrank-Reason", response.reason});
    const std::uint32_t milliseconds = std::max<std::uint32_t>(response.retryAfterMilliseconds, 1);
    answer.headers.push_back({"Retry-After", std::to_string((milliseconds + 999) / 1000)});
    answer.headers.push_back({"Sagecrank-Retry-After-Ms", std::to_string(milliseconds)});
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.body = response.reason + "\n";
    return answer;
}

} // namespace Sagecrank
