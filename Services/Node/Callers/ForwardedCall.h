// One caller's call on its way: placed, sent, perhaps sent again, answered exactly once.
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

// What the route says of a call, copied so that no snapshot is held while the call waits.
struct CallPlan
{
    std::string cluster;
    CallClass callClass = CallClass::Interactive;
    bool idempotent = false;
    bool hedged = false;
    std::uint32_t maximumRetries = 0;
    std::uint64_t configurationVersion = 0;
    std::string routeName;
    Instant arrived;
    Instant deadline;
    std::optional<Instant> target;         // An answer after it is worth less to the caller.
    std::optional<Instant> callerDeadline; // When the caller goes, if it said so.
    Instant firstArrived;                  // Its first try; `arrived` unless it was refused and came back.
};

// The callers that this node has refused, shared by its request threads.
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

    // `request` carries everything but the numbers of an attempt.
    ForwardedCall(ForwardingContext &context, Worker &worker, CallPlan plan, CallRequest request,
                  ResponseCallback answer);

    void start();

    // The caller has gone: nothing is answered any more, and what may be cut off is.
    void abandon();

    // This node is about to end. First each call that has not begun anywhere is taken back and refused; in
    // the end what still runs is answered "unknown", since no answer can be passed on any more.
    void withdraw();
    void finishAsUnknown();

private:
    // Where an attempt goes, copied out of the view.
    struct Target
    {
        Candidate candidate;
        bool sameHost = false;
        bool lateAccepted = true; // There is no other place to try.
    };

    struct Attempt
    {
        Target target;
        Instant startedAt;
        bool open = true;
        std::shared_ptr<GateCall> local; // Set when the upstream is beside this node.
        std::shared_ptr<PeerLink> link;  // Set when it is beside another.
        std::uint64_t peerCallId = 0;    // On the link.
        std::optional<Span> span;        // Set from its sending on.
        bool leaves = false;             // Its gate said that it takes nothing new.
    };

    bool placeAndSend();
    void sendTo(Target target);
    bool tryAfterRefusal();
    bool sendForLateAnswer();
    bool chooseTarget(Target &target);
    void send(std::size_t index);
    void attemptEnded(std::size_t index, CallResponse response);
    void tellPlacer(const Attempt &attempt, const CallResponse &response, Instant now);
    bool tryAgain(const CallResponse &response, Instant now);
    void finish(CallResponse response);
    void noteRefused(const CallResponse &response);
    bool isLate(Instant now) const { return this->plan.target && now >= *this->plan.target; }
    void finishUnknown(std::string_view reason);
    void cancelOpenAttempts();
    void armDeadline();
    void armHedge();
    bool anyOpen() const;
    CallSummary summary() const;

    ForwardingContext &context;
    Worker &worker;
    const CallPlan plan;
    const CallRequest request;
    ResponseCallback answer; // Empty once answered or abandoned.
    std::shared_ptr<ServiceState> service;
    std::vector<Attempt> attempts;
    std::vector<std::string> triedIds;
    std::optional<CallResponse> upstreamFailure; // The last answer of an upstream that was a failure.
    bool ending = false;                         // It is not sent again.
    bool lateAnswerAsked = false;                // Of a gate that had refused.
    bool mayHaveRun = false;                     // Some attempt ended otherwise than "not run".
    std::uint32_t refusals = 0;                  // By gates, before an upstream saw the call.
    std::uint32_t upstreamsReached = 0;          // Attempts that were sent to an upstream, or may have been.
    boost::asio::steady_timer deadlineTimer;
    boost::asio::steady_timer hedgeTimer;
};

} // namespace Sagecrank
