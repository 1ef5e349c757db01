// The HTTP side towards callers: a request becomes a call, the call's answer becomes a response whose status
// and headers say what is known of its effect and when to come back.
#pragma once

#include "ForwardedCall.h"
#include <Node/CallHeaders.h>

#include <LibNet/HttpServer.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Sagecrank {

struct RouteMatch
{
    std::string name;
    std::string cluster;
    CallClass callClass = CallClass::Interactive;
    bool idempotent = false;
    bool hedged = false;
    std::uint32_t maximumRetries = 0;
    Milliseconds timeout{1000};
    Milliseconds targetLatency{0};
    std::uint32_t priority = 1;
    std::uint64_t configurationVersion = 0;
};

struct CallerFrontendHooks
{
    // Nothing when no route matches. Reads the configuration snapshot; safe on every request thread.
    std::function<std::optional<RouteMatch>(std::string_view host, std::string_view method,
                                            std::string_view path)>
        route;
    std::function<bool()> hasConfiguration;
    // Every call that got past its checks begins and ends once, answered or given up by its caller.
    std::function<void()> callStarted;
    std::function<void()> callEnded;
};

// How long a call may take: what its caller asked for, else what its route says. A caller may ask for more
// than the node's maximum only where the operators gave the route more themselves.
Milliseconds callTimeout(std::optional<Milliseconds> asked, Milliseconds routes, Milliseconds maximum);

class CallerFrontend
{
public:
    // `originService` is the service that runs on this host.
    CallerFrontend(ForwardingContext &context, Milliseconds maximumTimeout, CallHeaders names,
                   std::string originService, CallerFrontendHooks hooks);

    // Whether the request may be handled before those ahead of it on its connection are answered.
    bool mayPipeline(const HttpRequest &request) const;
    void handle(Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) const;

private:
    std::optional<RouteMatch> routeOf(const HttpRequest &request) const;
    std::string_view problemOf(const HttpRequest &request) const;
    void refuse(const HttpRequest &request, HttpExchange &exchange, std::uint32_t status,
                std::string_view reason, std::uint32_t retryAfterMilliseconds) const;
    Instant firstArrived(std::uint64_t kind, const CallPlan &plan) const;
    CallRequest makeCall(HttpRequest request, const RouteMatch &route) const;
    HttpResponse makeAnswer(CallResponse response, const std::string &traceParent,
                            const std::string &callerCallId) const;
    std::string retryAfterText(std::uint32_t milliseconds) const;

    ForwardingContext &context;
    const Milliseconds maximumTimeout;
    const CallHeaders names;
    const std::string originService;
    const CallerFrontendHooks hooks;
};

} // namespace Sagecrank
