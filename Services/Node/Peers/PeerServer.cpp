// One session for each connection of another node.
#include "PeerServer.h"

#include <Node/CallReasons.h>
#include <Node/Gate/GateCall.h>

#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Sagecrank {

using boost::asio::ip::tcp;

namespace {

class PeerSession;

} // namespace

struct PeerServer::State
{
    State(RequestThread home, LocalGate &gate, BodyGrantQueue &bodies, RequestObserver &observer)
        : home(home)
        , gate(gate)
        , bodies(bodies)
        , observer(observer)
        , acceptor(home.context)
    {
    }

    RequestThread home;
    LocalGate &gate;
    BodyGrantQueue &bodies;
    RequestObserver &observer;
    tcp::acceptor acceptor;
    std::atomic<std::size_t> connectionsWithUnsentResponses = 0;
    std::unordered_set<PeerSession *> sessions; // With an open connection.
};

namespace {

// Bounds how often a call that waits for its body looks at the line.
constexpr Duration shortestLineCheck = Milliseconds(1);

// An answer that left earlier has been read by now, or its path is lost.
constexpr Duration answerTravelTime = Milliseconds(1000);

// A call whose body is still with its sender.
struct CallAhead
{
    CallAhead(boost::asio::io_context &context, CallHead head, BodyGrantQueue::Id name)
        : head(std::move(head))
        , name(name)
        , arrived(SteadyClock::now())
        , timer(context)
    {
    }

    // With the time that is left of it by now.
    CallRequest callNow() const
    {
        CallRequest call = this->head.call;
        const auto waited = static_cast<std::uint64_t>(
            std::chrono::duration_cast<Microseconds>(SteadyClock::now() - this->arrived).count());
        call.remainingMicroseconds -= std::min(call.remainingMicroseconds, waited);
        // At least one: a call whose target has passed is not one without a target.
        if (call.remainingTargetMicroseconds > 0)
            call.remainingTargetMicroseconds -= std::min(call.remainingTargetMicroseconds - 1, waited);
        return call;
    }

    // The next moment from which on a body that takes so long is too late for something.
    Instant tooLateFrom(Duration bodyTakes) const
    {
        const Instant start = this->arrived - bodyTakes;
        const Instant target = start + Microseconds(this->head.call.remainingTargetMicroseconds);
        const bool bound = this->head.call.remainingTargetMicroseconds > 0 && !this->head.call.lateAccepted;
        return bound ? target : start + Microseconds(this->head.call.remainingMicroseconds);
    }

    CallHead head;
    BodyGrantQueue::Id name;
    Instant arrived;
    bool granted = false;
    boost::asio::steady_timer timer; // Runs while it waits for its grant.
};

class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    explicit PeerSession(std::shared_ptr<PeerServer::State> server)
        : server(std::move(server))
    {
    }

    void start(tcp::socket socket)
    {
        FramedConnectionHooks hooks;
        hooks.onFrame = [self = this->shared_from_this()](FrameType type, std::span<const char> payload) {
            self->takeFrame(type, payload);
        };
        hooks.onClosed = [self = this->shared_from_this()](const Error &reason) { self->closed(reason); };
        hooks.onDrained = [self = this->shared_from_this()] { self->setUnsent(false); };
        const auto opened =
            std::make_shared<FramedConnection>(std::move(socket), maximumFrameSize, std::move(hooks));
        this->connection = opened;
        this->peer = opened->peerName();
        this->server->sessions.insert(this);
        opened->start();
    }

    // The other node closes once it has read all answers; a reset by what it still sends would cut them
    // short.
    void goAway()
    {
        this->leaving = true;
        this->awaitsClose = this->answeredAt && SteadyClock::now() - *this->answeredAt < answerTravelTime;
        const auto waiting = this->ahead;
        for (const auto &[callId, call] : waiting)
            this->refuseUnsent(*call, refusalReasonNames.name(RefusalReason::Draining));
        this->send(encodeFrame(FrameType::GoAway, GoAway{this->lastCallId}));
        if (const auto open = this->connection.lock())
            open->shutdownSend();
    }

    bool closeIsAwaited() const { return this->awaitsClose; }

private:
    void takeFrame(FrameType type, std::span<const char> payload)
    {
        if (this->leaving)
            return;
        switch (type) {
        case FrameType::Hello:
            return this->takeHello(payload);
        case FrameType::Ping:
            return this->answerPing(payload);
        case FrameType::CallRequest:
            return this->takeCall(payload);
        case FrameType::CallHead:
            return this->takeHead(payload);
        case FrameType::CallBody:
            return this->takeBody(payload);
        case FrameType::CallCancel:
            return this->takeCancel(payload, &LocalGate::cancel);
        case FrameType::CallWithdraw:
            return this->takeCancel(payload, &LocalGate::refuseIfQueued);
        default:
            this->close(makeError(ErrorKind::InvalidInput, "read peer frame", "", "unexpected type"));
        }
    }

    // A node of an older version takes no Hello in answer. A node whose link is not told has nothing to grant
    // by: bodies come with their calls.
    void takeHello(std::span<const char> payload)
    {
        const Result<HelloMessage> hello = decode<HelloMessage>(payload, "read hello", this->peer);
        if (!hello)
            return this->close(hello.error());
        if (hello.value().protocol >= bodyGrantProtocolVersion && this->server->bodies.isLimited())
            this->send(encodeFrame(FrameType::Hello, HelloMessage{}));
    }

    void answerPing(std::span<const char> payload)
    {
        const Result<Heartbeat> ping = decode<Heartbeat>(payload, "read ping", this->peer);
        if (!ping)
            return this->close(ping.error());
        this->send(encodeFrame(FrameType::Pong, ping.value()));
    }

    void takeCall(std::span<const char> payload)
    {
        Result<CallRequest> request = decode<CallRequest>(payload, "read call", this->peer);
        if (!request)
            return this->close(request.error());
        if (this->isKnown(request.value().callId))
            return this->refuseFrame("read call", "a call number is used twice");
        this->submit(std::move(request).assume_value(), {});
    }

    void noteTaken(std::uint64_t callId) { this->lastCallId = std::max(this->lastCallId, callId); }

    bool isKnown(std::uint64_t callId) const
    {
        return this->calls.contains(callId) || this->ahead.contains(callId);
    }

    void refuseFrame(const std::string &operation, const std::string &problem)
    {
        this->close(makeError(ErrorKind::InvalidInput, operation, "", problem));
    }

    // `told` is given the answer before it leaves.
    void submit(CallRequest request, std::function<void(CallResponse &)> told)
    {
        const std::uint64_t callId = request.callId;
        this->noteTaken(callId);
        this->calls.emplace(callId, nullptr);
        const auto call = this->server->gate.submit(
            this->server->home, std::move(request),
            [self = this->shared_from_this(), told = std::move(told)](CallResponse response) {
                self->calls.erase(response.callId);
                if (told)
                    told(response);
                self->answer(response);
            });
        // It may have been answered inside submit.
        const auto found = this->calls.find(callId);
        if (found != this->calls.end())
            found->second = call;
    }

    void takeHead(std::span<const char> payload)
    {
        Result<CallHead> taken = decode<CallHead>(payload, "read call head", this->peer);
        if (!taken)
            return this->close(taken.error());
        CallHead head = std::move(taken).assume_value();
        const std::uint64_t callId = head.call.callId;
        if (this->isKnown(callId))
            return this->refuseFrame("read call head", "a call number is used twice");
        if (!head.call.body.empty() || head.bodyBytes == 0 || head.bodyBytes > maximumBodySize)
            return this->refuseFrame("read call head", "the length of its body");
        BodyGrantQueue &bodies = this->server->bodies;
        const auto call =
            std::make_shared<CallAhead>(this->server->home.context, std::move(head), bodies.nextId());
        this->noteTaken(callId);
        this->ahead.emplace(callId, call);
        const std::uint32_t priority = call->head.call.priority;
        if (this->refuseAhead(*call, bodies.expectedWait(call->head.bodyBytes, priority)))
            return;
        const BodyGrantResult answer =
            bodies.request(this->server->home.context, call->name, call->head.bodyBytes, priority,
                           [session = this->weak_from_this(), waiting = std::weak_ptr<CallAhead>(call)] {
                               const auto self = session.lock();
                               const auto turn = waiting.lock();
                               if (self && turn)
                                   self->takeTurn(*turn);
                           });
        switch (answer) {
        case BodyGrantResult::Granted:
            return this->grant(*call);
        case BodyGrantResult::Queued:
            return this->watch(call);
        case BodyGrantResult::QueueFull:
            return this->refuseUnsent(*call, reasonPeerCongested);
        }
    }

    // Its time has gone on while it waited, and so has the gate.
    void takeTurn(CallAhead &call)
    {
        if (!this->refuseAhead(call, this->server->bodies.transferTime(call.head.bodyBytes)))
            this->grant(call);
    }

    void grant(CallAhead &call)
    {
        call.granted = true;
        call.timer.cancel();
        this->send(encodeFrame(FrameType::CallGrant, CallGrant{call.head.call.callId}));
    }

    // A grant whose body does not come, or time that runs out, is nobody's message.
    void watch(const std::shared_ptr<CallAhead> &call)
    {
        const BodyGrantQueue &bodies = this->server->bodies;
        const Instant late = call->tooLateFrom(bodies.transferTime(call->head.bodyBytes));
        const Instant next = std::min(late, bodies.nextExpiry().value_or(late));
        call->timer.expires_at(std::max(next, SteadyClock::now() + shortestLineCheck));
        call->timer.async_wait([session = this->weak_from_this(), waiting = std::weak_ptr<CallAhead>(call)](
                                   const boost::system::error_code &error) {
            const auto self = session.lock();
            const auto call = waiting.lock();
            if (error || !self || !call || call->granted)
                return;
            BodyGrantQueue &bodies = self->server->bodies;
            bodies.advance();
            if (!self->refuseAhead(*call, bodies.transferTime(call->head.bodyBytes)))
                self->watch(call);
        });
    }

    bool refuseAhead(const CallAhead &call, Duration bodyTakes)
    {
        return this->server->gate.tryRefuseBeforeBody(this->server->home, call.callNow(), bodyTakes,
                                                      this->answerAhead());
    }

    void refuseUnsent(const CallAhead &call, std::string_view reason)
    {
        BodyGrantQueue &bodies = this->server->bodies;
        const Duration retryAfter = bodies.expectedWait(call.head.bodyBytes, call.head.call.priority);
        this->server->gate.refuseUnsubmitted(this->server->home, call.callNow(), reason, retryAfter,
                                             this->answerAhead());
    }

    LocalGate::AnswerHook answerAhead()
    {
        return [self = this->shared_from_this()](CallResponse response) {
            self->endAhead(response.callId);
            self->answer(response);
        };
    }

    void endAhead(std::uint64_t callId)
    {
        const auto found = this->ahead.find(callId);
        if (found == this->ahead.end())
            return;
        const std::shared_ptr<CallAhead> call = found->second;
        this->ahead.erase(found);
        call->timer.cancel();
        this->server->bodies.release(call->name);
    }

    void takeBody(std::span<const char> payload)
    {
        Result<CallBody> body = decode<CallBody>(payload, "read call body", this->peer);
        if (!body)
            return this->close(body.error());
        const auto found = this->ahead.find(body.value().callId);
        if (found == this->ahead.end() || !found->second->granted)
            return this->refuseFrame("read call body", "it was not granted");
        const std::shared_ptr<CallAhead> call = found->second;
        if (body.value().body.size() != call->head.bodyBytes)
            return this->refuseFrame("read call body", "not of the length that its head says");
        this->endAhead(body.value().callId);
        CallRequest request = call->callNow();
        request.body = std::move(body.value().body);
        const std::uint32_t priority = request.priority;
        // A call of this kind waits for its body's turn before it waits for a slot.
        this->submit(std::move(request), [server = this->server, priority](CallResponse &response) {
            const Duration line = server->bodies.expectedWait(0, priority);
            response.expectedWaitMicroseconds +=
                static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(line).count());
        });
    }

    using Cancel = void (LocalGate::*)(const std::shared_ptr<GateCall> &);

    void takeCancel(std::span<const char> payload, Cancel cancelCall)
    {
        const Result<CallCancel> cancel = decode<CallCancel>(payload, "read cancel", this->peer);
        if (!cancel)
            return this->close(cancel.error());
        const auto waiting = this->ahead.find(cancel.value().callId);
        if (waiting != this->ahead.end())
            return this->takeBack(waiting->second, cancelCall == &LocalGate::refuseIfQueued);
        const auto found = this->calls.find(cancel.value().callId);
        if (found == this->calls.end())
            return;
        const std::shared_ptr<GateCall> call = found->second;
        (this->server->gate.*cancelCall)(call);
    }

    // A body that was granted may be on its way, and then the gate answers.
    void takeBack(const std::shared_ptr<CallAhead> &call, bool wantsAnswer)
    {
        if (!wantsAnswer)
            this->endAhead(call->head.call.callId);
        else if (!call->granted)
            this->refuseUnsent(*call, reasonCancelled);
    }

    // The node that sent the calls cannot be answered any more: what waits is taken out, what may be cut off
    // is.
    void closed(const Error &reason)
    {
        this->server->sessions.erase(this);
        this->setUnsent(false);
        if (reason.kind == ErrorKind::InvalidInput || reason.kind == ErrorKind::TooLarge)
            this->server->observer.peerFrameInvalid(this->peer, reason);
        const auto waiting = std::move(this->ahead);
        this->ahead.clear();
        for (const auto &[callId, call] : waiting) {
            call->timer.cancel();
            this->server->bodies.release(call->name);
        }
        const auto open = this->calls;
        for (const auto &[callId, call] : open) {
            if (call)
                this->server->gate.cancel(call);
        }
    }

    void answer(const CallResponse &response)
    {
        const auto open = this->connection.lock();
        if (!open || !open->isOpen())
            return;
        this->setUnsent(true);
        this->answeredAt = SteadyClock::now();
        open->send(encodeFrame(FrameType::CallResponse, response));
    }

    void setUnsent(bool some)
    {
        if (some == this->unsent)
            return;
        this->unsent = some;
        this->server->connectionsWithUnsentResponses += some ? 1 : -1;
    }

    void send(Bytes frame)
    {
        if (const auto open = this->connection.lock())
            open->send(std::move(frame));
    }

    void close(Error reason)
    {
        if (const auto open = this->connection.lock())
            open->close(std::move(reason));
    }

    std::shared_ptr<PeerServer::State> server;
    std::weak_ptr<FramedConnection>
        connection; // It keeps itself alive while it reads, and its hooks keep this.
    std::string peer;
    std::unordered_map<std::uint64_t, std::shared_ptr<GateCall>> calls; // Not answered yet.
    std::unordered_map<std::uint64_t, std::shared_ptr<CallAhead>> ahead;
    std::uint64_t lastCallId = 0; // The highest that was taken.
    bool unsent = false;          // Answers wait to leave.
    bool leaving = false;         // Nothing is taken any more.
    bool awaitsClose = false;     // The other side may not have read its last answer.
    std::optional<Instant> answeredAt;
};

void acceptNext(const std::shared_ptr<PeerServer::State> &state)
{
    state->acceptor.async_accept([state](const boost::system::error_code &error, tcp::socket socket) {
        if (!state->acceptor.is_open())
            return;
        if (!error)
            std::make_shared<PeerSession>(state)->start(std::move(socket));
        acceptNext(state);
    });
}

} // namespace

PeerServer::PeerServer(RequestThread home, LocalGate &gate, BodyGrantQueue &bodies, RequestObserver &observer)
    : state(std::make_shared<State>(home, gate, bodies, observer))
{
}

PeerServer::~PeerServer()
{
    this->stopAccepting();
}

Result<void> PeerServer::listen(const std::string &address)
{
    const tcp::endpoint endpoint = TRY(parseTcpEndpoint(address, true));
    TRY_VOID(openListener(this->state->acceptor, endpoint, true));
    acceptNext(this->state);
    return success();
}

std::string PeerServer::address() const
{
    boost::system::error_code ignored;
    return formatEndpoint(this->state->acceptor.local_endpoint(ignored));
}

void PeerServer::goAway()
{
    this->stopAccepting();
    const std::unordered_set<PeerSession *> open = this->state->sessions;
    for (PeerSession *session : open)
        session->goAway();
}

std::size_t PeerServer::pendingCloses() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->state->sessions, &PeerSession::closeIsAwaited));
}

std::size_t PeerServer::connectionsWithUnsentResponses() const
{
    return this->state->connectionsWithUnsentResponses;
}

void PeerServer::stopAccepting()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

} // namespace Sagecrank
