// The gate of the upstream beside this node, with its input and output: it claims idempotency keys, asks
// LibDecide what may start, sends calls to the upstream, and says of each call whether it ran.
#pragma once

#include "ClaimHooks.h"
#include "QuarantineHooks.h"
#include <Node/CallHeaders.h>
#include <Node/RequestObserver.h>
#include <Node/Upstream/UpstreamAnnouncement.h>

#include <LibDecide/Admission.h>
#include <LibDecide/CrashQuarantine.h>
#include <LibHistory/HistoryRecorder.h>
#include <LibNet/HttpClient.h>
#include <LibWire/PeerMessages.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// A request thread, as the gate needs it.
struct RequestThread
{
    boost::asio::io_context &context;
    HttpClient &client;
};

class GateCall;

// When a caller is told to come back although nothing is known about when the upstream will be well.
inline constexpr Duration unreachableRetryAfter = std::chrono::seconds(1);

class LocalGate
{
public:
    using AnswerHook = std::function<void(CallResponse)>;

    // The observer outlives the gate.

    LocalGate(std::string nodeId, AdmissionHooks admission, CallHeaders names, ClaimHooks claims,
              QuarantineHooks quarantine, HistoryRecorder &history, RequestObserver &observer);

    // Runs on the home's thread, and so does the answer, which comes exactly once.
    std::shared_ptr<GateCall> submit(RequestThread home, CallRequest request, AnswerHook answer);

    // Of a call whose body is here after `bodyTakes`: answers it when it would be refused then, and keeps
    // nothing of it otherwise.
    bool tryRefuseBeforeBody(RequestThread home, CallRequest request, Duration bodyTakes, AnswerHook answer);

    // Answers a call that submit() was not given.
    void refuseUnsubmitted(RequestThread home, CallRequest request, std::string_view reason,
                           Duration retryAfter, AnswerHook answer);

    // The caller gave up. A call that waits is taken out; one that runs is cut off only when it may be run
    // again, since cutting a reservation off leaves nobody knowing whether it ran.
    void cancel(const std::shared_ptr<GateCall> &call);

    // The caller's node is about to end: a call that waits is refused, one that runs goes on.
    void refuseIfQueued(const std::shared_ptr<GateCall> &call);

    // From any thread.
    void announce(const UpstreamAnnouncement &announcement);
    void refuseQueuedCalls();                         // This node is about to end: all that waits is refused.
    void setMaximumQueue(std::uint32_t maximumQueue); // As the configuration says for the service.

    std::uint32_t inFlight() const { return this->callsInside.load(); } // Waiting, claiming or running.
    std::uint32_t queued() const;
    std::uint32_t running() const;
    UpstreamAnnouncement announcement() const;

private:
    bool serves(const std::string &cluster) const;
    std::optional<GateDecision> refusalOf(const CallAttributes &facts);
    void claimKey(const std::shared_ptr<GateCall> &call);
    void afterClaim(const std::shared_ptr<GateCall> &call, const ClaimAnswer &answer);
    void replay(const std::shared_ptr<GateCall> &call, const RecordedOutcome &outcome);
    void answerUnknown(const std::shared_ptr<GateCall> &call, std::string_view reason, std::uint32_t status,
                       Duration retryAfter);
    void offer(const std::shared_ptr<GateCall> &call);
    void perform(std::vector<GateAction> actions);
    void openStep(GateCall &call, SpanName name);
    static void closeStep(GateCall &call);
    void watchQueue(const std::shared_ptr<GateCall> &call);
    void advance();
    void begin(const std::shared_ptr<GateCall> &call);
    void upstreamAnswered(const std::shared_ptr<GateCall> &call, HttpResponse response);
    void upstreamFailed(const std::shared_ptr<GateCall> &call, const HttpFailure &failure);
    void noteAnswer(const GateCall &call);
    void noteFailure(const GateCall &call, const HttpFailure &failure);
    void noteUpstreamEnded();
    void checkUpstream(RequestThread home, const std::string &address);
    void lookAgain(RequestThread home, const std::string &address, Instant begun);
    void upstreamChecked(RequestThread home, const std::string &address, Instant begun, Reachability found);
    void freeSlot(const std::shared_ptr<GateCall> &call, CallOutcome end);
    void refuse(const std::shared_ptr<GateCall> &call, std::string_view reason, Duration retryAfter);
    void tellRefusal(const GateCall &call, std::string_view reason, Duration retryAfter) const;
    void answer(const std::shared_ptr<GateCall> &call, CallResponse response);
    HttpRequest upstreamRequest(const GateCall &call, Duration remaining) const;
    bool provesNotRun(const HttpResponse &response) const;
    bool isOwnAnswer(const HttpResponse &response) const;
    void upstreamRefused(const std::shared_ptr<GateCall> &call, const HttpResponse &response);

    const std::string nodeId;
    const CallHeaders names;
    const ClaimHooks claims;
    const QuarantineHooks quarantine;
    HistoryRecorder &history;
    RequestObserver &observer;

    mutable std::mutex mutex; // Guards what follows; never held over input or output.
    const AdmissionHooks gate;
    UpstreamAnnouncement current;
    CrashDetector witness;
    bool upstreamCheckUnderWay = false;                            // After a broken connection.
    std::unordered_map<Ticket, std::shared_ptr<GateCall>> waiting; // Exactly the queued tickets.

    std::atomic<std::uint32_t> callsInside = 0;
};

} // namespace Sagecrank
