// One call inside the local gate. All of it but the ticket's place in the queue belongs to its home thread.
#pragma once

#include "LocalGate.h"

#include <boost/asio/steady_timer.hpp>

namespace Sagecrank {

enum class GateCallStage : std::uint8_t {
    Claiming, // Waits for its idempotency key.
    Waiting,  // Waits for a slot.
    Running,  // Sent, or about to be sent, to the upstream.
    Ended,
};

// A key names one piece of work at one address: the same key at another path or with another method is other
// work. The service is left out on purpose, since a new version may send the path to another one between two
// attempts.
std::string claimKeyOf(const CallRequest &request);

class GateCall
{
public:
    GateCall(RequestThread home, CallRequest request, LocalGate::AnswerHook answer, RequestObserver &observer)
        : home(home)
        , request(std::move(request))
        , answer(std::move(answer))
        , arrived(SteadyClock::now())
        , deadline(this->arrived + Microseconds(this->request.remainingMicroseconds))
        , claimName(claimKeyOf(this->request))
        , waitTimer(home.context)
        , gateSpan(observer.openSpan(SpanName::Gate, this->request.traceParent, this->arrived))
    {
    }

    bool keyed() const { return !this->request.idempotencyKey.empty(); }

    // A keyed call runs at most once even when it calls itself idempotent, so it is not cut off either.
    bool mayBeCutOff() const { return this->request.idempotent && !this->keyed(); }

    CallAttributes facts() const
    {
        CallAttributes facts;
        facts.callClass = this->request.callClass;
        facts.deadline = this->deadline;
        facts.kind = this->request.kind;
        facts.priority = this->request.priority;
        facts.lateAccepted = this->request.lateAccepted;
        if (this->request.remainingTargetMicroseconds > 0)
            facts.target = this->arrived + Microseconds(this->request.remainingTargetMicroseconds);
        return facts;
    }

    // Of a call like this one that arrives at `now`.
    CallAttributes factsAnew(Instant now) const
    {
        CallAttributes facts = this->facts();
        facts.deadline += now - this->arrived;
        if (facts.target)
            *facts.target += now - this->arrived;
        return facts;
    }

    RequestThread home;
    CallRequest request;
    LocalGate::AnswerHook answer;
    Instant arrived;
    Instant deadline; // By this host's clock.
    Instant started;
    std::string upstreamAddress;
    std::string upstreamInstance;
    std::string claimName; // Under which its key is claimed; empty without a key.
    Ticket ticket = 0;
    GateCallStage stage = GateCallStage::Claiming;
    bool claimed = false;   // Its key is held by this attempt.
    bool sent = false;      // Some of it may have left for the upstream.
    bool cancelled = false; // The caller gave up; nothing of it starts any more.
    HttpClient::Handle sending;
    boost::asio::steady_timer waitTimer; // Runs while the call waits in the queue.
    Span gateSpan;
    std::optional<Span> stepSpan; // Of the claim, the queue or the upstream, whichever is under way.
};

} // namespace Sagecrank
