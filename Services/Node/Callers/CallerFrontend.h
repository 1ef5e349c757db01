// The HTTP interface for callers. It turns a request into a call and the call's result into a response, whose
// status and headers tell what is known about the call's effect and when to retry.
#pragma once

#include "ForwardedCall.h"
#include <LibAccount/AllowanceClient.h>
#include <Node/Accounts/CallerAccounts.h>
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
    bool isPublic = false;
    bool largeResponses = false;
    std::uint64_t configurationVersion = 0;
};

struct CallerFrontendHooks
{
    // Returns nothing when no route matches. Reads the configuration snapshot; callable from every request
    // thread.
    std::function<std::optional<RouteMatch>(std::string_view host, std::string_view method,
                                            std::string_view path)>
        route;
    std::function<bool()> hasConfiguration;
    // Whether the upstream on this host makes the call for a call that it runs.
    std::function<bool(std::string_view callId)> isNested;
    // The account of the caller's key. Callable from every request thread.
    std::function<CallerIdentity(const std::vector<Header> &headers, bool isPublicRoute)> identify;
    // Takes a token of the account's allowance for one call. The callback may run on any thread.
    std::function<void(std::string_view account, AllowanceClient::Callback)> acquireAllowance;
    // The call that a token was taken for did not run.
    std::function<void(std::string_view account, Instant acquiredAt)> releaseAllowance;
    // Run once each for every valid request, which ends by its response or by the caller's disconnect.
    std::function<void()> callStarted;
    std::function<void()> callEnded;
};

// The timeout of a call: the one that the caller requested, or else the one of its route. A requested timeout
// is limited to the node's maximum, or to the route's timeout if that is longer.
Milliseconds callTimeout(std::optional<Milliseconds> requested, Milliseconds routeTimeout,
                         Milliseconds maximum);

// Identifies calls that share their statistics and their priority at the gates: those of a route, and of
// accounts with the same priority.
std::uint64_t kindOfCalls(const std::string &routeName, std::optional<std::uint32_t> accountPriority);

class CallerFrontend
{
public:
    // `originService` is the service that runs on this host.
    CallerFrontend(ForwardingContext &context, Milliseconds maximumTimeout, CallHeaders names,
                   std::string originService, CallerFrontendHooks hooks);

    // Whether a pipelined request may run before earlier requests on its connection have been answered.
    bool mayPipeline(const HttpRequest &request) const;
    void handle(Worker &worker, HttpRequest request, std::shared_ptr<HttpExchange> exchange) const;

private:
    struct AdmittedRequest;

    std::optional<RouteMatch> findRoute(const HttpRequest &request) const;
    std::string_view validate(const HttpRequest &request) const;
    void refuse(const HttpRequest &request, HttpExchange &exchange, std::uint32_t status,
                std::string_view reason, std::uint32_t retryAfterMilliseconds,
                std::string_view account = {}) const;
    void acquireAllowance(Worker &worker, const std::shared_ptr<AdmittedRequest> &admitted) const;
    void allowanceDecided(Worker &worker, const std::shared_ptr<AdmittedRequest> &admitted,
                          const AllowanceDecision &decision) const;
    void forward(Worker &worker, const std::shared_ptr<AdmittedRequest> &admitted) const;
    CallPlan makePlan(const HttpRequest &request, const RouteMatch &route, Instant arrived) const;
    Instant firstArrived(std::uint64_t kind, const CallPlan &plan) const;
    CallRequest makeCall(HttpRequest request, const RouteMatch &route, const CallerIdentity &caller) const;
    bool refuseUnidentified(const HttpRequest &request, HttpExchange &exchange, KeyVerdict verdict) const;
    HttpResponse makeHttpResponse(CallResponse response, const std::string &traceParent,
                                  const std::string &callerCallId) const;
    std::string formatRetryAfter(std::uint32_t milliseconds) const;

    ForwardingContext &context;
    const Milliseconds maximumTimeout;
    const CallHeaders names;
    const std::string originService;
    const CallerFrontendHooks hooks;
};

} // namespace Sagecrank
