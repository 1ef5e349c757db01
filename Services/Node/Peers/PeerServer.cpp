// Implements the sessions that serve other nodes' connections.
#include "PeerServer.h"
#include "PendingBodyCall.h"

#include <Node/CallReasons.h>
#include <Node/Gate/GateCall.h>

#include <LibNet/AcceptRetry.h>

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
    State(RequestThread home, LocalGate &gate, BodyGrantQueue &bodies, BodyMemory &bodyMemory,
          RequestObserver &observer, Duration idleTimeout)
        : home(home)
        , gate(gate)
        , bodies(bodies)
        , bodyMemory(bodyMemory)
        , observer(observer)
        , idleTimeout(idleTimeout)
        , acceptor(home.context)
    {
    }

    RequestThread home;
    LocalGate &gate;
    BodyGrantQueue &bodies;
    BodyMemory &bodyMemory;
    RequestObserver &observer;
    const Duration idleTimeout; // See PeerServer's constructor.
    tcp::acceptor acceptor;
    std::atomic<std::size_t> connectionsWithUnsentResponses = 0;
    std::unordered_set<PeerSession *> sessions; // With an open connection.
};

namespace {

// Bounds how often a call that awaits a grant checks the queue.
constexpr Duration minimumGrantCheckInterval = Milliseconds(1);

// A response sent longer ago has been read by the peer, or its path is broken.
constexpr Duration maximumResponseTransitTime = Milliseconds(1000);

// By then calls whose bodies are held have been answered.
constexpr Duration noMemoryRetryAfter = Milliseconds(200);

class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    explicit PeerSession(std::shared_ptr<PeerServer::State> server)
        : server(std::move(server))
        , lastFrameAt(SteadyClock::now())
        , idleTimer(this->server->home.context)
    {
    }

    void start(tcp::socket socket)
    {
        FramedConnectionHooks hooks;
        hooks.onFrame = [self = this->shared_from_this()](FrameType type, std::span<const char> payload) {
            self->handleFrame(type, payload);
        };
        hooks.onClosed = [self = this->shared_from_this()](const Error &reason) {
            self->handleClosed(reason);
        };
        hooks.onDrained = [self = this->shared_from_this()] { self->setHasUnsentResponses(false); };
        const auto opened =
            std::make_shared<FramedConnection>(std::move(socket), maximumFrameSize, std::move(hooks));
        this->connection = opened;
        this->peer = opened->peerName();
        this->server->sessions.insert(this);
        opened->start();
        this->armIdleTimer();
    }

    // The peer closes after it has read all responses. If this side closed while the peer still sends, a TCP
    // reset could destroy them.
    void goAway()
    {
        this->goingAway = true;
        this->awaitsPeerClose =
            this->lastResponseAt && SteadyClock::now() - *this->lastResponseAt < maximumResponseTransitTime;
        const auto waiting = this->pendingBodyCalls;
        for (const auto &[callId, call] : waiting)
            this->refusePendingBodyCall(*call, refusalReasonNames.name(RefusalReason::Draining));
        this->send(encodeFrame(FrameType::GoAway, GoAway{this->lastCallId}));
        if (const auto open = this->connection.lock())
            open->shutdownSend();
    }

    bool isAwaitingClose() const { return this->awaitsPeerClose; }

private:
    // A peer that vanished without a reset would otherwise keep its descriptor here for good.
    void armIdleTimer()
    {
        this->idleTimer.expires_at(this->lastFrameAt + this->server->idleTimeout);
        this->idleTimer.async_wait(
            [session = this->weak_from_this()](const boost::system::error_code &error) {
                const auto self = session.lock();
                if (error || !self)
                    return;
                if (SteadyClock::now() < self->lastFrameAt + self->server->idleTimeout)
                    return self->armIdleTimer();
                self->close(makeError(ErrorKind::Timeout, "wait for peer", "", "idle timeout"));
            });
    }

    void handleFrame(FrameType type, std::span<const char> payload)
    {
        this->lastFrameAt = SteadyClock::now();
        if (this->goingAway)
            return;
        switch (type) {
        case FrameType::Hello:
            return this->handleHello(payload);
        case FrameType::Ping:
            return this->handlePing(payload);
        case FrameType::CallRequest:
            return this->handleCall(payload);
        case FrameType::CallHead:
            return this->handleCallHead(payload);
        case FrameType::CallBody:
            return this->handleBody(payload);
        case FrameType::CallCancel:
            return this->handleCancel(payload, &LocalGate::cancel);
        case FrameType::CallWithdraw:
            return this->handleCancel(payload, &LocalGate::refuseIfQueued);
        default:
            this->close(makeError(ErrorKind::InvalidInput, "read peer frame", "", "unexpected type"));
        }
    }

    // Older peers do not accept a Hello in reply. Without a configured link rate this node grants no bodies:
    // they arrive with their calls.
    void handleHello(std::span<const char> payload)
    {
        const Result<HelloMessage> hello = decode<HelloMessage>(payload, "read hello", this->peer);
        if (!hello)
            return this->close(hello.error());
        if (hello.value().protocol >= bodyGrantProtocolVersion && this->server->bodies.isLimited())
            this->send(encodeFrame(FrameType::Hello, HelloMessage{}));
    }

    void handlePing(std::span<const char> payload)
    {
        const Result<Heartbeat> ping = decode<Heartbeat>(payload, "read ping", this->peer);
        if (!ping)
            return this->close(ping.error());
        this->send(encodeFrame(FrameType::Pong, ping.value()));
    }

    void handleCall(std::span<const char> payload)
    {
        Result<CallRequest> request = decode<CallRequest>(payload, "read call", this->peer);
        if (!request)
            return this->close(request.error());
        if (this->isDuplicate(request.value().callId))
            return this->closeForProtocolError("read call", "duplicate call id");
        CallRequest call = std::move(request).assume_value();
        if (call.body.empty())
            return this->submit(std::move(call), {});
        BodyMemory::Reservation memory = this->reserve(call.body.size());
        if (!memory)
            return this->refuseForMemory(std::move(call));
        this->submit(std::move(call), [memory = std::move(memory)](CallResponse &) {});
    }

    BodyMemory::Reservation reserve(std::uint64_t bodyBytes)
    {
        return this->server->bodyMemory.tryReserve(bodyBytes, bodyBytes);
    }

    void refuseForMemory(CallRequest call)
    {
        this->recordCallId(call.callId);
        this->server->gate.refuseUnsubmitted(
            this->server->home, std::move(call), reasonNoMemory, noMemoryRetryAfter,
            [self = this->shared_from_this()](CallResponse response) { self->sendResponse(response); });
    }

    void recordCallId(std::uint64_t callId) { this->lastCallId = std::max(this->lastCallId, callId); }

    bool isDuplicate(std::uint64_t callId) const
    {
        return this->calls.contains(callId) || this->pendingBodyCalls.contains(callId);
    }

    void closeForProtocolError(const std::string &operation, const std::string &problem)
    {
        this->close(makeError(ErrorKind::InvalidInput, operation, "", problem));
    }

    // `beforeSend` may modify the response before it is sent.
    void submit(CallRequest request, std::function<void(CallResponse &)> beforeSend)
    {
        const std::uint64_t callId = request.callId;
        this->recordCallId(callId);
        this->calls.emplace(callId, nullptr);
        const auto call = this->server->gate.submit(
            this->server->home, std::move(request),
            [self = this->shared_from_this(), beforeSend = std::move(beforeSend)](CallResponse response) {
                self->calls.erase(response.callId);
                if (beforeSend)
                    beforeSend(response);
                self->sendResponse(response);
            });
        // submit() may already have completed the call.
        const auto found = this->calls.find(callId);
        if (found != this->calls.end())
            found->second = call;
    }

    void handleCallHead(std::span<const char> payload)
    {
        Result<CallHead> decoded = decode<CallHead>(payload, "read call head", this->peer);
        if (!decoded)
            return this->close(decoded.error());
        CallHead head = std::move(decoded).assume_value();
        const std::uint64_t callId = head.call.callId;
        if (this->isDuplicate(callId))
            return this->closeForProtocolError("read call head", "duplicate call id");
        if (!head.call.body.empty() || head.bodyBytes == 0 || head.bodyBytes > maximumBodySize)
            return this->closeForProtocolError("read call head", "invalid body length");
        BodyMemory::Reservation memory = this->reserve(head.bodyBytes);
        if (!memory)
            return this->refuseForMemory(std::move(head.call));
        BodyGrantQueue &bodies = this->server->bodies;
        const auto call =
            std::make_shared<PendingBodyCall>(this->server->home.context, std::move(head), bodies.nextId());
        call->memory = std::move(memory);
        this->recordCallId(callId);
        this->pendingBodyCalls.emplace(callId, call);
        const std::uint32_t priority = call->head.call.priority;
        if (this->refuseIfLate(*call, bodies.expectedWait(call->head.bodyBytes, priority)))
            return;
        const BodyGrantResult result = bodies.request(
            this->server->home.context, call->id, call->head.bodyBytes, priority,
            [session = this->weak_from_this(), waiting = std::weak_ptr<PendingBodyCall>(call)] {
                const auto self = session.lock();
                const auto call = waiting.lock();
                if (self && call)
                    self->handleGranted(*call);
            });
        switch (result) {
        case BodyGrantResult::Granted:
            return this->grant(*call);
        case BodyGrantResult::Queued:
            return this->awaitGrant(call);
        case BodyGrantResult::QueueFull:
            return this->refusePendingBodyCall(*call, reasonPeerCongested);
        }
    }

    // Time has passed and the gate's state has changed since the call was queued, so it is checked again.
    void handleGranted(PendingBodyCall &call)
    {
        if (!this->refuseIfLate(call, this->server->bodies.transferTime(call.head.bodyBytes)))
            this->grant(call);
    }

    void grant(PendingBodyCall &call)
    {
        call.granted = true;
        call.timer.cancel();
        this->send(encodeFrame(FrameType::CallGrant, CallGrant{call.head.call.callId}));
    }

    // No message announces an expired grant or a missed deadline, so a timer checks for both.
    void awaitGrant(const std::shared_ptr<PendingBodyCall> &call)
    {
        const BodyGrantQueue &bodies = this->server->bodies;
        const Instant late = call->latestGrantTime(bodies.transferTime(call->head.bodyBytes));
        const Instant next = std::min(late, bodies.nextExpiry().value_or(late));
        call->timer.expires_at(std::max(next, SteadyClock::now() + minimumGrantCheckInterval));
        call->timer.async_wait(
            [session = this->weak_from_this(),
             waiting = std::weak_ptr<PendingBodyCall>(call)](const boost::system::error_code &error) {
                const auto self = session.lock();
                const auto call = waiting.lock();
                if (error || !self || !call || call->granted)
                    return;
                BodyGrantQueue &bodies = self->server->bodies;
                bodies.advance();
                if (!self->refuseIfLate(*call, bodies.transferTime(call->head.bodyBytes)))
                    self->awaitGrant(call);
            });
    }

    bool refuseIfLate(const PendingBodyCall &call, Duration transferTime)
    {
        return this->server->gate.tryRefuseBeforeBody(this->server->home, call.remainingCall(), transferTime,
                                                      this->pendingBodyCallback());
    }

    void refusePendingBodyCall(const PendingBodyCall &call, std::string_view reason)
    {
        BodyGrantQueue &bodies = this->server->bodies;
        const Duration retryAfter = bodies.expectedWait(call.head.bodyBytes, call.head.call.priority);
        this->server->gate.refuseUnsubmitted(this->server->home, call.remainingCall(), reason, retryAfter,
                                             this->pendingBodyCallback());
    }

    LocalGate::AnswerHook pendingBodyCallback()
    {
        return [self = this->shared_from_this()](CallResponse response) {
            self->removePendingBodyCall(response.callId);
            self->sendResponse(response);
        };
    }

    void removePendingBodyCall(std::uint64_t callId)
    {
        const auto found = this->pendingBodyCalls.find(callId);
        if (found == this->pendingBodyCalls.end())
            return;
        const std::shared_ptr<PendingBodyCall> call = found->second;
        this->pendingBodyCalls.erase(found);
        call->timer.cancel();
        this->server->bodies.release(call->id);
    }

    void handleBody(std::span<const char> payload)
    {
        Result<CallBody> body = decode<CallBody>(payload, "read call body", this->peer);
        if (!body)
            return this->close(body.error());
        const auto found = this->pendingBodyCalls.find(body.value().callId);
        if (found == this->pendingBodyCalls.end() || !found->second->granted)
            return this->closeForProtocolError("read call body", "the body was not granted");
        const std::shared_ptr<PendingBodyCall> call = found->second;
        if (body.value().body.size() != call->head.bodyBytes)
            return this->closeForProtocolError("read call body", "the body length differs from the head");
        this->removePendingBodyCall(body.value().callId);
        CallRequest request = call->remainingCall();
        request.body = std::move(body.value().body);
        const std::uint32_t priority = request.priority;
        // A call of this kind waits for a grant before it waits for a slot, so the reported wait includes
        // both.
        this->submit(std::move(request), [server = this->server, priority,
                                          memory = std::move(call->memory)](CallResponse &response) {
            const Duration grantWait = server->bodies.expectedWait(0, priority);
            response.expectedWaitMicroseconds +=
                static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(grantWait).count());
        });
    }

    using Cancel = void (LocalGate::*)(const std::shared_ptr<GateCall> &);

    void handleCancel(std::span<const char> payload, Cancel cancelCall)
    {
        const Result<CallCancel> cancel = decode<CallCancel>(payload, "read cancel", this->peer);
        if (!cancel)
            return this->close(cancel.error());
        const auto waiting = this->pendingBodyCalls.find(cancel.value().callId);
        if (waiting != this->pendingBodyCalls.end())
            return this->cancelPendingBodyCall(waiting->second, cancelCall == &LocalGate::refuseIfQueued);
        const auto found = this->calls.find(cancel.value().callId);
        if (found == this->calls.end())
            return;
        const std::shared_ptr<GateCall> call = found->second;
        (this->server->gate.*cancelCall)(call);
    }

    // A granted body may be in transit; the gate then responds to the call.
    void cancelPendingBodyCall(const std::shared_ptr<PendingBodyCall> &call, bool wantsResponse)
    {
        if (!wantsResponse)
            this->removePendingBodyCall(call->head.call.callId);
        else if (!call->granted)
            this->refusePendingBodyCall(*call, reasonCancelled);
    }

    // The peer can no longer receive responses: queued calls are removed, and running ones are cancelled
    // where that is safe.
    void handleClosed(const Error &reason)
    {
        this->server->sessions.erase(this);
        this->idleTimer.cancel();
        this->setHasUnsentResponses(false);
        if (reason.kind == ErrorKind::InvalidInput || reason.kind == ErrorKind::TooLarge)
            this->server->observer.peerFrameInvalid(this->peer, reason);
        const auto waiting = std::move(this->pendingBodyCalls);
        this->pendingBodyCalls.clear();
        for (const auto &[callId, call] : waiting) {
            call->timer.cancel();
            this->server->bodies.release(call->id);
        }
        const auto open = this->calls;
        for (const auto &[callId, call] : open) {
            if (call)
                this->server->gate.cancel(call);
        }
    }

    void sendResponse(const CallResponse &response)
    {
        const auto open = this->connection.lock();
        if (!open || !open->isOpen())
            return;
        this->setHasUnsentResponses(true);
        this->lastResponseAt = SteadyClock::now();
        open->send(encodeFrame(FrameType::CallResponse, response));
    }

    void setHasUnsentResponses(bool value)
    {
        if (value == this->hasUnsentResponses)
            return;
        this->hasUnsentResponses = value;
        this->server->connectionsWithUnsentResponses += value ? 1 : -1;
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
    // Weak: the connection keeps itself alive while reading, and its hooks keep this session alive.
    std::weak_ptr<FramedConnection> connection;
    std::string peer;
    std::unordered_map<std::uint64_t, std::shared_ptr<GateCall>> calls; // Awaiting a response.
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingBodyCall>> pendingBodyCalls;
    std::uint64_t lastCallId = 0;    // The highest id accepted.
    bool hasUnsentResponses = false; // Some responses have not been sent.
    bool goingAway = false;          // No further frames are handled.
    bool awaitsPeerClose = false;    // The peer may not have read its last response.
    std::optional<Instant> lastResponseAt;
    Instant lastFrameAt;
    boost::asio::steady_timer idleTimer;
};

void acceptNext(const std::shared_ptr<PeerServer::State> &state)
{
    state->acceptor.async_accept([state](const boost::system::error_code &error, tcp::socket socket) {
        if (!state->acceptor.is_open())
            return;
        if (!error)
            std::make_shared<PeerSession>(state)->start(std::move(socket));
        continueAccepting(state->acceptor, error, [state] { acceptNext(state); });
    });
}

} // namespace

PeerServer::PeerServer(RequestThread home, LocalGate &gate, BodyGrantQueue &bodies, BodyMemory &bodyMemory,
                       RequestObserver &observer, Duration idleTimeout)
    : state(std::make_shared<State>(home, gate, bodies, bodyMemory, observer, idleTimeout))
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
        std::ranges::count_if(this->state->sessions, &PeerSession::isAwaitingClose));
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
