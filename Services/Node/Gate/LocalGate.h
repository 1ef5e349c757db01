// The gate of the upstream next to this node, including its I/O: claims idempotency keys, asks LibDecide
// which calls may start, sends them to the upstream, and reports whether each call ran.
#pragma once

#include "ClaimHooks.h"
#include "QuarantineHooks.h"
#include <Node/CallHeaders.h>
#include <Node/RequestObserver.h>
#include <Node/Upstream/UpstreamAnnouncement.h>

#include <LibDecide/Admission.h>
#include <LibDecide/CrashQuarantine.h>
#include <LibDecide/LinkBacklog.h>
#include <LibDecide/NamedLimit.h>
#include <LibHistory/HistoryRecorder.h>
#include <LibNet/HttpClient.h>
#include <LibWire/PeerMessages.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// The parts of a request thread that the gate uses.
struct RequestThread
{
    boost::asio::io_context &context;
    HttpClient &client;
};

class GateCall;

// How a call ended that ran at the upstream.
struct UpstreamOutcome
{
    std::uint64_t kind = 0; // Hash of its route.
    bool failed = false;    // An error answer, an invalid one, or none.
    Duration runTime{};
};

// What the gate learns about its upstream from the upstream's answers. Any of them may be empty. Called on
// the request thread.
struct UpstreamHooks
{
    std::function<void(const UpstreamOutcome &)> callEnded;
    // The instance states in an answer that it leaves. Called once for each instance. `startedAt` is in Unix
    // milliseconds, as the instance announced it.
    std::function<void(const std::string &instance, std::uint64_t startedAt)> leaving;
};

// Retry delay if it is not known when the upstream will be available.
inline constexpr Duration unreachableRetryAfter = std::chrono::seconds(1);

class LocalGate
{
public:
    using AnswerHook = std::function<void(CallResponse)>;

    // The observer outlives the gate.

    LocalGate(std::string nodeId, AdmissionHooks admission, CallHeaders headerNames, ClaimHooks claims,
              QuarantineHooks quarantine, HistoryRecorder &history, RequestObserver &observer,
              UpstreamHooks upstreamHooks = {}, double linkBytesPerSecond = 0);

    // Called on the request thread, where `answer` is called as well, exactly once.
    std::shared_ptr<GateCall> submit(RequestThread thread, CallRequest request, AnswerHook answer);

    // For a call whose body will have arrived after `bodyTransferTime`: answers the call and returns true if
    // it would be refused then. Keeps no state otherwise.
    bool tryRefuseBeforeBody(RequestThread thread, CallRequest request, Duration bodyTransferTime,
                             AnswerHook answer);

    // Refuses a call that was not passed to submit().
    void refuseUnsubmitted(RequestThread thread, CallRequest request, std::string_view reason,
                           Duration retryAfter, AnswerHook answer);

    // The caller gave up. A queued call is removed. A running call is cut off only if it may run again: after
    // cutting off a reservation, nobody would know whether it had run.
    void cancel(const std::shared_ptr<GateCall> &call);

    // The caller's node is shutting down: a queued call is refused, a running one goes on.
    void refuseIfQueued(const std::shared_ptr<GateCall> &call);

    // These functions may be called from any thread.
    void announce(const UpstreamAnnouncement &announcement);
    void refuseQueuedCalls();                             // This node is shutting down.
    void setMaximumQueue(std::uint32_t maximumQueue);     // From the configuration of the service.
    void setLargeKinds(std::vector<std::uint64_t> kinds); // Of calls with large responses.

    std::uint32_t inFlight() const { return this->callCount.load(); } // Claiming, queued or running.
    std::uint32_t queued() const;
    std::uint32_t running() const;
    UpstreamAnnouncement announcement() const;
    bool runs(std::string_view callerCallId) const; // Whether the upstream runs a call with this id.

private:
    bool serves(const std::string &cluster) const;
    std::optional<GateDecision> refusalFor(const CallAttributes &attributes);
    void claimKey(const std::shared_ptr<GateCall> &call);
    void afterClaim(const std::shared_ptr<GateCall> &call, const ClaimResponse &answer);
    void replay(const std::shared_ptr<GateCall> &call, const RecordedOutcome &outcome);
    void answerUnknown(const std::shared_ptr<GateCall> &call, std::string_view reason, std::uint32_t status,
                       Duration retryAfter);
    void offer(const std::shared_ptr<GateCall> &call);
    void applyActions(std::vector<GateAction> actions);
    void openStepSpan(GateCall &call, SpanName name);
    static void closeStepSpan(GateCall &call);
    void scheduleQueueCheck(const std::shared_ptr<GateCall> &call);
    void scheduleNextStart(RequestThread thread);
    void advance();
    void start(const std::shared_ptr<GateCall> &call);
    void upstreamAnswered(const std::shared_ptr<GateCall> &call, HttpResponse response);
    void upstreamFailed(const std::shared_ptr<GateCall> &call, const HttpFailure &failure);
    UpstreamCondition conditionFor(const UpstreamAnnouncement &announcement) const;
    void readSignals(GateCall &call, const HttpResponse &response, bool isRefusal);
    void recordOutcome(const GateCall &call, bool failed) const;
    void recordAnswer(const GateCall &call);
    void recordFailure(const GateCall &call, const HttpFailure &failure);
    void handleUpstreamExit();
    void checkUpstream(RequestThread thread, const std::string &address);
    void recheckUpstream(RequestThread thread, const std::string &address, Instant checkStartedAt);
    void upstreamChecked(RequestThread thread, const std::string &address, Instant checkStartedAt,
                         Reachability reachability);
    void freeSlot(const std::shared_ptr<GateCall> &call, CallOutcome outcome);
    void refuse(const std::shared_ptr<GateCall> &call, std::string_view reason, Duration retryAfter);
    void logRefusal(const GateCall &call, std::string_view reason, Duration retryAfter) const;
    void answer(const std::shared_ptr<GateCall> &call, CallResponse response);
    CallAttributes attributesOf(const GateCall &call, Instant now) const;
    void addLoad(const GateCall &call, CallResponse &response) const;
    void recordAnswered(const GateCall &call, const CallResponse &response);
    Instant sendTimeOf(GateCall &call, const CallResponse &response);
    void sendAnswer(const std::shared_ptr<GateCall> &call, CallResponse response);
    HttpRequest upstreamRequest(const GateCall &call, Duration remaining) const;
    bool provesNotRun(const HttpResponse &response) const;
    bool isValidAnswer(const HttpResponse &response) const;
    void handleProvenNotRun(const std::shared_ptr<GateCall> &call, const HttpResponse &response);

    const std::string nodeId;
    const CallHeaders headerNames;
    const ClaimHooks claims;
    const QuarantineHooks quarantine;
    HistoryRecorder &history;
    RequestObserver &observer;
    const UpstreamHooks upstreamHooks;

    mutable std::mutex mutex; // Guards the members below; never held during I/O.
    const AdmissionHooks admission;
    LinkBacklog link;
    UpstreamAnnouncement current;
    CrashDetector crashDetector;
    NamedLimit namedLimit;              // Of the current instance.
    bool isLeaving = false;             // The current instance stated in an answer that it leaves.
    bool upstreamCheckUnderWay = false; // After a broken connection.
    bool nextStartScheduled = false;    // By a timer.
    std::unordered_map<Ticket, std::shared_ptr<GateCall>> queuedCalls; // Exactly the queued tickets.
    std::multiset<std::string, std::less<>> runningCallIds;            // Of callers; those that hold a slot.

    std::atomic<std::uint32_t> callCount = 0;
};

} // namespace Sagecrank
