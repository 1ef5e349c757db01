// One call inside the local gate. Everything except its position in the queue is used only on its request
// thread.
#pragma once

#include "LocalGate.h"
#include "UpstreamSignals.h"

#include <boost/asio/steady_timer.hpp>

namespace Sagecrank {

enum class GateCallStage : std::uint8_t {
    Claiming, // Waits for the claim of its idempotency key.
    Queued,   // Waits for a slot.
    Running,  // Sent, or about to be sent, to the upstream.
    Ended,
};

// Returns the key under which the call is claimed. An idempotency key identifies one operation at one
// address: the same key with another path or method is a different operation. The service is not part of it,
// since a new configuration version may route the path to another service between two attempts.
std::string claimKeyOf(const CallRequest &request);

class GateCall
{
public:
    GateCall(RequestThread thread, CallRequest request, LocalGate::AnswerHook answer,
             RequestObserver &observer)
        : thread(thread)
        , request(std::move(request))
        , answer(std::move(answer))
        , arrivedAt(SteadyClock::now())
        , deadline(this->arrivedAt + Microseconds(this->request.remainingMicroseconds))
        , claimKey(claimKeyOf(this->request))
        , waitTimer(thread.context)
        , gateSpan(observer.openSpan(SpanName::Gate, this->request.traceParent, this->arrivedAt))
    {
    }

    bool hasIdempotencyKey() const { return !this->request.idempotencyKey.empty(); }

    // A call with an idempotency key runs at most once, even if it is also marked idempotent, so it is not
    // cut off either.
    bool isCancellable() const { return this->request.idempotent && !this->hasIdempotencyKey(); }

    // Links number their calls from 1.
    bool isFromPeer() const { return this->request.callId != 0; }

    CallAttributes attributes() const
    {
        CallAttributes attributes;
        attributes.callClass = this->request.callClass;
        attributes.deadline = this->deadline;
        attributes.kind = this->request.kind;
        attributes.priority = this->request.priority;
        attributes.lateAccepted = this->request.lateAccepted;
        if (this->request.remainingTargetMicroseconds > 0)
            attributes.target = this->arrivedAt + Microseconds(this->request.remainingTargetMicroseconds);
        return attributes;
    }

    // The attributes of the same call if it arrived at `now`.
    CallAttributes attributesIfArrivedAt(Instant now) const
    {
        CallAttributes attributes = this->attributes();
        attributes.deadline += now - this->arrivedAt;
        if (attributes.target)
            *attributes.target += now - this->arrivedAt;
        return attributes;
    }

    RequestThread thread;
    CallRequest request;
    LocalGate::AnswerHook answer;
    Instant arrivedAt;
    Instant deadline; // By this host's clock.
    Instant startedAt;
    std::string upstreamAddress;
    std::string upstreamInstance;
    std::uint64_t upstreamStartedAt = 0; // As the instance announced it.
    std::string claimKey;                // Empty without an idempotency key.
    Ticket ticket = 0;
    GateCallStage stage = GateCallStage::Claiming;
    bool usesLink = false;    // Counted as a call whose large response will cross the host's link.
    bool claimed = false;     // This attempt holds the claim of its key.
    bool sent = false;        // Some of it may have been sent to the upstream.
    bool cancelled = false;   // The caller gave up, so the call must not start.
    UpstreamSignals signals;  // Of the upstream's answer.
    ConnectionUse answeredOn; // Of the upstream's answer.
    HttpClient::Handle sending;
    boost::asio::steady_timer waitTimer; // Runs while the call is queued.
    Span gateSpan;
    std::optional<Span> stepSpan; // Span of the current step: claim, queue or upstream.
};

} // namespace Sagecrank
