// A caller's call in progress: selects an upstream, sends the call, retries or hedges it, and completes it
// exactly once.
#pragma once

#include "CallIds.h"
#include "UpstreamView.h"
#include "Worker.h"
#include <Node/Gate/LocalGate.h>

#include <LibConfig/Model.h>
#include <LibCore/RcuPointer.h>
#include <LibDecide/RetryMatcher.h>
#include <LibHistory/HistoryRecorder.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

// The route's settings for a call, copied so that no configuration snapshot is held while the call is in
// progress.
struct CallPlan
{
    std::string cluster;
    CallClass callClass = CallClass::Interactive;
    bool idempotent = false;
    bool hedged = false;
    std::uint32_t maximumRetries = 0;
    // The most that leaving the zone may cost in placement.
    Duration maximumZoneCost = Duration::max();
    std::uint64_t configurationVersion = 0;
    std::string routeName;
    Instant arrived;
    Instant deadline;
    std::optional<Instant> target;         // Latency target; a later response is worth less to the caller.
    std::optional<Instant> callerDeadline; // The deadline that the caller stated, if any.
    // The arrival of the caller's first try; differs from `arrived` if that was refused and the caller
    // retries.
    Instant firstArrived;
};

// Callers that this node has refused and that may retry; shared by the request threads.
struct RefusedCallers
{
    std::mutex mutex;
    RetryMatcher returning;
};

// Shared by all calls of a node.
struct ForwardingContext
{
    const std::string nodeId;
    LocalGate &gate;
    RcuPointer<UpstreamView> &view;
    CallIds &ids;
    HistoryRecorder &history;
    RequestObserver &observer;
    RefusedCallers &refusedCallers;
    const QuarantineHooks quarantine;
};

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall>
{
public:
    using ResponseCallback = std::function<void(CallResponse)>;

    // `request` contains everything except the fields that differ between attempts.
    ForwardedCall(ForwardingContext &context, Worker &worker, CallPlan plan, CallRequest request,
                  ResponseCallback callback);

    void start();

    // The caller has disconnected: cancels all attempts and drops the callback.
    void abandon();

    // For shutdown. withdraw() cancels attempts that have not started, whose calls are then refused.
    // finishAsUnknown() completes a call that still runs, since its response could no longer be delivered.
    void withdraw();
    void finishAsUnknown();

private:
    // The destination of an attempt, copied from the view.
    struct Target
    {
        Candidate candidate;
        bool sameHost = false;
        bool lateAccepted = true; // No other gate is left to try.
    };

    struct Attempt
    {
        Target target;
        Instant startedAt;
        bool open = true;
        std::shared_ptr<GateCall> local; // Set when the upstream is on this host.
        std::shared_ptr<PeerLink> link;  // Set when it is on another host.
        std::uint64_t peerCallId = 0;    // The call's id on the link.
        std::optional<Span> span;        // Set once the attempt has been sent.
        bool mayAcceptLate = false;      // The gate may accept the call if it may be answered late.
    };

    bool placeAndSend();
    void startAttempt(Target target);
    bool retryAfterRefusal();
    bool retryAcceptingLateResponse();
    bool chooseTarget(Target &target);
    bool chooseFrom(const UpstreamGroup &group, Target &target, Instant now);
    void send(std::size_t index);
    void handleAttemptResponse(std::size_t index, CallResponse response);
    void reportToLoadBalancer(const Attempt &attempt, const CallResponse &response, Instant now);
    bool retry(const CallResponse &response, Instant now);
    void finish(CallResponse response);
    void recordRefusal(const CallResponse &response);
    bool isLate(Instant now) const { return this->plan.target && now >= *this->plan.target; }
    void finishUnknown(std::string_view reason);
    void cancelOpenAttempts();
    void armDeadline();
    void armHedge();
    bool hasOpenAttempt() const;
    CallSummary summary() const;

    ForwardingContext &context;
    Worker &worker;
    const CallPlan plan;
    const CallRequest request;
    ResponseCallback callback; // Empty once the call is completed or abandoned.
    std::shared_ptr<ServiceState> service;
    std::vector<Attempt> attempts;
    std::vector<std::string> triedUpstreamIds;
    std::optional<CallResponse> upstreamErrorResponse; // The last 5xx response.
    bool retriesDisabled = false;                      // Set during shutdown.
    bool lateResponseRequested = false;                // From a gate that had refused the call.
    bool mayHaveRun = false;                           // Some attempt had an outcome other than NotRun.
    std::uint32_t refusalCount = 0;                    // By gates, before the call reached an upstream.
    std::uint32_t upstreamAttempts = 0;                // Attempts that reached an upstream, or may have.
    boost::asio::steady_timer deadlineTimer;
    boost::asio::steady_timer hedgeTimer;
};

} // namespace Sagecrank
