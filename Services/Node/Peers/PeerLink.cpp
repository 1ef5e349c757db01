// Implements connecting, matching responses to calls and detecting silent connections.
#include "PeerLink.h"

#include <LibCore/HttpStatus.h>
#include <Node/CallReasons.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Sagecrank {

namespace {

// A middlebox may drop the state of a connection, which then stays silent for good while new ones work. Every
// call on it would wait until its deadline. Heartbeats at a quarter of the silence timeout, and closing after
// all of it, bound the wait; the next call opens a new connection.
constexpr int probesPerSilenceTimeout = 4;

constexpr std::uint32_t statusBadGateway = 502;

constexpr Duration initialBackoff = Milliseconds(50);
constexpr Duration maximumBackoff = Milliseconds(2000);

CallResponse makeFailure(Outcome outcome, std::string_view reason)
{
    CallResponse response;
    response.outcome = outcome;
    response.reason = reason;
    response.status = outcome == Outcome::NotRun ? 503 : 504;
    response.retryAfterMilliseconds = 1000;
    return response;
}

} // namespace

PeerLink::PeerLink(boost::asio::io_context &context, std::string address, PeerLinkSettings settings,
                   ConnectionLostHook onConnectionLost)
    : context(context)
    , address(std::move(address))
    , settings(std::move(settings))
    , onConnectionLost(std::move(onConnectionLost))
    , timer(context)
{
}

// The connection keeps itself alive while reading, so it must be closed explicitly.
PeerLink::~PeerLink()
{
    if (this->connection)
        this->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "dropped"));
}

std::uint64_t PeerLink::call(CallRequest request, ResponseCallback callback)
{
    const std::uint64_t callId = this->nextCallId++;
    request.callId = callId;
    this->lastUsedAt = SteadyClock::now();
    this->calls[callId].callback = std::move(callback);

    const bool congested =
        this->connection && this->connection->bytesQueued() > this->settings.maximumQueuedBytes;
    const bool goingAway = this->connection && this->peerGoingAway;
    const bool unreachable =
        goingAway || (!this->connection && !this->connecting && this->lastUsedAt < this->retryAt);
    if (congested || unreachable) {
        const std::string_view reason = congested ? reasonPeerCongested : reasonPeerUnreachable;
        boost::asio::post(this->context, [self = this->shared_from_this(), callId, reason] {
            self->complete(callId, makeFailure(Outcome::NotRun, reason));
        });
        return callId;
    }
    if (request.body.size() >= minimumGrantedBodySize) {
        Pending &pending = this->calls[callId];
        pending.heldRequest = std::move(request);
        pending.heldSince = this->lastUsedAt;
        if (this->connection && this->grantSupport != GrantSupport::Unknown)
            this->sendHeldRequest(pending);
        else if (!this->connection && !this->connecting)
            this->connect();
        return callId;
    }
    Bytes frame = encodeFrame(FrameType::CallRequest, request);
    if (this->connection) {
        this->connection->send(std::move(frame));
        this->expectReply(this->lastUsedAt);
        return callId;
    }
    this->calls[callId].unsentFrame = std::move(frame);
    if (!this->connecting)
        this->connect();
    return callId;
}

void PeerLink::cancel(std::uint64_t callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return;
    const bool sent = !found->second.nothingSent();
    this->calls.erase(found);
    if (sent && this->connection)
        this->connection->send(encodeFrame(FrameType::CallCancel, CallCancel{callId}));
}

void PeerLink::withdraw(std::uint64_t callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return;
    if (found->second.nothingSent())
        return this->complete(callId, makeFailure(Outcome::NotRun, reasonPeerUnreachable));
    if (found->second.heldRequest) {
        if (this->connection)
            this->connection->send(encodeFrame(FrameType::CallCancel, CallCancel{callId}));
        return this->complete(callId, makeFailure(Outcome::NotRun, reasonCancelled));
    }
    if (this->connection)
        this->connection->send(encodeFrame(FrameType::CallWithdraw, CallCancel{callId}));
}

void PeerLink::connect()
{
    this->connecting = true;
    connectFramed(this->context, this->address, this->settings.connectTimeout,
                  [self = this->shared_from_this()](Result<boost::asio::ip::tcp::socket> socket) {
                      self->connecting = false;
                      if (socket)
                          return self->handleConnected(std::move(socket).assume_value());
                      self->backoff = std::clamp(self->backoff * 2, initialBackoff, maximumBackoff);
                      self->retryAt = SteadyClock::now() + self->backoff;
                      self->failUnsentCalls(reasonPeerUnreachable);
                  });
}

void PeerLink::handleConnected(boost::asio::ip::tcp::socket socket)
{
    const std::weak_ptr<PeerLink> link = this->weak_from_this();
    FramedConnectionHooks hooks;
    hooks.onFrame = [link](FrameType type, std::span<const char> payload) {
        if (const auto self = link.lock())
            self->handleFrame(type, payload);
    };
    hooks.onClosed = [link](const Error &reason) {
        if (const auto self = link.lock())
            self->handleClosed(reason);
    };
    this->backoff = Duration::zero();
    this->awaitingReplySince.reset();
    this->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumFrameSize, std::move(hooks));
    this->connection->start();
    this->grantSupport = GrantSupport::Unknown;
    this->peerGoingAway = false;
    this->connection->send(encodeFrame(FrameType::Hello, HelloMessage{this->settings.ownId}));
    // A node that does not grant bodies replies to this one first, which shows that no Hello will come.
    this->connection->send(encodeFrame(FrameType::Ping, Heartbeat{++this->lastPingSequence}));
    for (auto &[callId, pending] : this->calls) {
        if (!pending.unsentFrame.empty())
            this->connection->send(std::move(pending.unsentFrame));
        pending.unsentFrame.clear();
    }
    this->expectReply(SteadyClock::now());
}

// Calls that were sent completely may have run; the others have not.
void PeerLink::handleClosed(const Error &reason)
{
    if (!this->calls.empty())
        this->onConnectionLost(reason);
    this->connection.reset();
    std::unordered_map<std::uint64_t, Pending> ended;
    ended.swap(this->calls);
    for (auto &[callId, pending] : ended) {
        const Outcome outcome = pending.provablyNotRun() ? Outcome::NotRun : Outcome::Unknown;
        pending.callback(makeFailure(outcome, reasonPeerLost));
    }
}

void PeerLink::failUnsentCalls(std::string_view reason)
{
    std::vector<ResponseCallback> callbacks;
    for (auto entry = this->calls.begin(); entry != this->calls.end();) {
        if (!entry->second.nothingSent()) {
            ++entry;
            continue;
        }
        callbacks.push_back(std::move(entry->second.callback));
        entry = this->calls.erase(entry);
    }
    for (const ResponseCallback &callback : callbacks)
        callback(makeFailure(Outcome::NotRun, reason));
}

void PeerLink::handleFrame(FrameType type, std::span<const char> payload)
{
    this->awaitingReplySince.reset();
    if (type == FrameType::Hello)
        return this->handleHello(payload);
    if (type == FrameType::GoAway)
        return this->handleGoAway(payload);
    this->setGrantSupport(GrantSupport::No);
    switch (type) {
    case FrameType::Pong:
        return;
    case FrameType::CallGrant:
        return this->handleGrant(payload);
    case FrameType::CallResponse:
        return this->handleResponse(payload);
    default:
        this->connection->close(
            makeError(ErrorKind::InvalidInput, "read peer frame", this->address, "unexpected type"));
    }
}

void PeerLink::handleHello(std::span<const char> payload)
{
    const Result<HelloMessage> hello = decode<HelloMessage>(payload, "read hello", this->address);
    if (!hello)
        return this->connection->close(hello.error());
    this->setGrantSupport(hello.value().protocol >= bodyGrantProtocolVersion ? GrantSupport::Yes
                                                                             : GrantSupport::No);
}

// The peer's first frame decides: a peer that grants bodies sends its Hello before anything else.
void PeerLink::setGrantSupport(GrantSupport support)
{
    if (this->grantSupport != GrantSupport::Unknown)
        return;
    this->grantSupport = support;
    for (auto &[callId, pending] : this->calls) {
        if (pending.heldRequest)
            this->sendHeldRequest(pending);
    }
}

void PeerLink::sendHeldRequest(Pending &pending)
{
    const Instant now = SteadyClock::now();
    CallRequest &call = *pending.heldRequest;
    const auto waited =
        static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(now - pending.heldSince).count());
    call.remainingMicroseconds -= std::min(call.remainingMicroseconds, waited);
    // At least 1, since 0 means that the call has no target.
    if (call.remainingTargetMicroseconds > 0)
        call.remainingTargetMicroseconds -= std::min(call.remainingTargetMicroseconds - 1, waited);
    if (this->grantSupport == GrantSupport::No) {
        this->connection->send(encodeFrame(FrameType::CallRequest, call));
        pending.heldRequest.reset();
    } else {
        CallHead head;
        std::string body = std::move(call.body);
        call.body.clear();
        head.bodyBytes = body.size();
        head.call = call;
        call.body = std::move(body);
        pending.headSent = true;
        this->connection->send(encodeFrame(FrameType::CallHead, head));
    }
    this->expectReply(now);
}

void PeerLink::handleGrant(std::span<const char> payload)
{
    const Result<CallGrant> grant = decode<CallGrant>(payload, "read grant", this->address);
    if (!grant)
        return this->connection->close(grant.error());
    const auto found = this->calls.find(grant.value().callId);
    if (found == this->calls.end())
        return; // Cancelled meanwhile.
    Pending &pending = found->second;
    if (!pending.headSent || !pending.heldRequest)
        return this->connection->close(
            makeError(ErrorKind::InvalidInput, "read grant", this->address, "no call awaits this grant"));
    const CallBody body{found->first, std::move(pending.heldRequest->body)};
    pending.heldRequest.reset();
    this->connection->send(encodeFrame(FrameType::CallBody, body));
    this->expectReply(SteadyClock::now());
}

// A call may be in transit while its target node shuts down. GoAway tells which calls the peer has not
// accepted; without it their outcome would be unknown and callers could not retry them.
void PeerLink::handleGoAway(std::span<const char> payload)
{
    const Result<GoAway> goAway = decode<GoAway>(payload, "read go-away", this->address);
    if (!goAway)
        return this->connection->close(goAway.error());
    this->peerGoingAway = true;
    std::vector<std::uint64_t> notAccepted;
    for (const auto &[callId, pending] : this->calls) {
        if (callId > goAway.value().lastCallId || pending.heldRequest)
            notAccepted.push_back(callId);
    }
    for (const std::uint64_t callId : notAccepted)
        this->complete(callId, makeFailure(Outcome::NotRun, reasonPeerLeaving));
    if (this->calls.empty() && this->connection)
        this->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "the peer is shutting down"));
}

void PeerLink::handleResponse(std::span<const char> payload)
{
    Result<CallResponse> response = decode<CallResponse>(payload, "read call response", this->address);
    if (!response)
        return this->connection->close(response.error());
    const std::uint64_t callId = response.value().callId;
    if (response.value().outcome == Outcome::Done && !isFinalStatus(response.value().status)) {
        CallResponse failure = makeFailure(Outcome::Unknown, reasonSpoilt);
        failure.status = statusBadGateway;
        return this->complete(callId, std::move(failure));
    }
    this->complete(callId, std::move(response).assume_value());
}

void PeerLink::complete(std::uint64_t callId, CallResponse response)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return; // Cancelled meanwhile.
    const ResponseCallback callback = std::move(found->second.callback);
    this->calls.erase(found);
    callback(std::move(response));
}

// The silence timeout counts from the first frame without a reply, not from the latest one. Otherwise a
// steady flow of calls with deadlines shorter than the timeout would postpone it forever.
void PeerLink::expectReply(Instant now)
{
    if (!this->awaitingReplySince)
        this->awaitingReplySince = now;
    this->armHeartbeat();
}

void PeerLink::armHeartbeat()
{
    if (this->timerArmed)
        return;
    this->timerArmed = true;
    const Duration interval = this->settings.silenceTimeout / probesPerSilenceTimeout;
    this->heartbeatDue = SteadyClock::now() + interval;
    this->timer.expires_at(this->heartbeatDue);
    this->timer.async_wait([link = this->weak_from_this()](const boost::system::error_code &error) {
        const auto self = link.lock();
        if (!self || error)
            return;
        self->timerArmed = false;
        self->heartbeat();
    });
}

void PeerLink::heartbeat()
{
    if (!this->connection)
        return;
    const Instant now = SteadyClock::now();
    // This process was stalled and replies may be waiting unread, so the silence timeout restarts.
    if (this->awaitingReplySince && now - this->heartbeatDue > this->settings.silenceTimeout / 2)
        this->awaitingReplySince = now;
    if (this->isSilent(now) && !this->silenceTimeoutDisabled)
        return this->connection->close(
            makeError(ErrorKind::Timeout, "wait for heartbeat", this->address, "silent"));
    if (!this->calls.empty() || this->awaitingReplySince) {
        this->connection->send(encodeFrame(FrameType::Ping, Heartbeat{++this->lastPingSequence}));
        return this->expectReply(now);
    }
    if (now - this->lastUsedAt > this->settings.idleTimeout)
        return this->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "idle timeout"));
    this->armHeartbeat();
}

} // namespace Sagecrank
