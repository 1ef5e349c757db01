// Connecting, pairing answers with calls, and finding silent connections.
#include "PeerLink.h"

#include <Node/CallReasons.h>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Sagecrank {

namespace {

// Failure: a connection goes silent for good while new ones work, because something between the two ends lost
// track of it. Symptom: every call on it waits to its deadline. Probing at a quarter of the allowed silence
// and closing after all of it bounds the wait, and the next call opens a connection that works.
constexpr int probesPerSilence = 4;

constexpr Duration firstBackoff = Milliseconds(50);
constexpr Duration longestBackoff = Milliseconds(2000);

CallResponse linkFailure(Outcome outcome, std::string_view reason)
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
                   ConnectionLostHook lost)
    : context(context)
    , address(std::move(address))
    , settings(std::move(settings))
    , lost(std::move(lost))
    , timer(context)
{
}

// The connection keeps itself alive while it reads, so it has to be told.
PeerLink::~PeerLink()
{
    if (this->connection)
        this->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "dropped"));
}

std::uint64_t PeerLink::call(CallRequest request, ResponseCallback answer)
{
    const std::uint64_t callId = this->nextCallId++;
    request.callId = callId;
    this->usedAt = SteadyClock::now();
    this->calls[callId].answer = std::move(answer);

    const bool congested =
        this->connection && this->connection->bytesQueued() > this->settings.maximumQueuedBytes;
    const bool gone = this->connection && this->otherLeaves;
    const bool unreachable = gone || (!this->connection && !this->connecting && this->usedAt < this->retryAt);
    if (congested || unreachable) {
        const std::string_view reason = congested ? reasonPeerCongested : reasonPeerUnreachable;
        boost::asio::post(this->context, [self = this->shared_from_this(), callId, reason] {
            self->give(callId, linkFailure(Outcome::NotRun, reason));
        });
        return callId;
    }
    if (request.body.size() >= minimumGrantedBodySize) {
        Pending &pending = this->calls[callId];
        pending.held = std::move(request);
        pending.heldSince = this->usedAt;
        if (this->connection && this->grants != Grants::NotKnown)
            this->sendHeld(pending);
        else if (!this->connection && !this->connecting)
            this->connect();
        return callId;
    }
    Bytes frame = encodeFrame(FrameType::CallRequest, request);
    if (this->connection) {
        this->connection->send(std::move(frame));
        this->expectAnswer(this->usedAt);
        return callId;
    }
    this->calls[callId].unsent = std::move(frame);
    if (!this->connecting)
        this->connect();
    return callId;
}

void PeerLink::cancel(std::uint64_t callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return;
    const bool sent = !found->second.reachedNobody();
    this->calls.erase(found);
    if (sent && this->connection)
        this->connection->send(encodeFrame(FrameType::CallCancel, CallCancel{callId}));
}

void PeerLink::withdraw(std::uint64_t callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return;
    if (found->second.reachedNobody())
        return this->give(callId, linkFailure(Outcome::NotRun, reasonPeerUnreachable));
    if (found->second.held) {
        if (this->connection)
            this->connection->send(encodeFrame(FrameType::CallCancel, CallCancel{callId}));
        return this->give(callId, linkFailure(Outcome::NotRun, reasonCancelled));
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
                          return self->opened(std::move(socket).assume_value());
                      self->backoff = std::clamp(self->backoff * 2, firstBackoff, longestBackoff);
                      self->retryAt = SteadyClock::now() + self->backoff;
                      self->failUnsent(reasonPeerUnreachable);
                  });
}

void PeerLink::opened(boost::asio::ip::tcp::socket socket)
{
    const std::weak_ptr<PeerLink> link = this->weak_from_this();
    FramedConnectionHooks hooks;
    hooks.onFrame = [link](FrameType type, std::span<const char> payload) {
        if (const auto self = link.lock())
            self->takeFrame(type, payload);
    };
    hooks.onClosed = [link](const Error &reason) {
        if (const auto self = link.lock())
            self->closed(reason);
    };
    this->backoff = Duration::zero();
    this->unansweredSince.reset();
    this->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumFrameSize, std::move(hooks));
    this->connection->start();
    this->grants = Grants::NotKnown;
    this->otherLeaves = false;
    this->connection->send(encodeFrame(FrameType::Hello, HelloMessage{this->settings.ownId}));
    // A node that grants no bodies answers this first.
    this->connection->send(encodeFrame(FrameType::Ping, Heartbeat{++this->pings}));
    for (auto &[callId, pending] : this->calls) {
        if (!pending.unsent.empty())
            this->connection->send(std::move(pending.unsent));
        pending.unsent.clear();
    }
    this->expectAnswer(SteadyClock::now());
}

// A call that was handed to the connection whole may have run; one that was not has not.
void PeerLink::closed(const Error &reason)
{
    if (!this->calls.empty())
        this->lost(reason);
    this->connection.reset();
    std::unordered_map<std::uint64_t, Pending> ended;
    ended.swap(this->calls);
    for (auto &[callId, pending] : ended) {
        const Outcome outcome = pending.provenNotRun() ? Outcome::NotRun : Outcome::Unknown;
        pending.answer(linkFailure(outcome, reasonPeerLost));
    }
}

void PeerLink::failUnsent(std::string_view reason)
{
    std::vector<ResponseCallback> hooks;
    for (auto entry = this->calls.begin(); entry != this->calls.end();) {
        if (!entry->second.reachedNobody()) {
            ++entry;
            continue;
        }
        hooks.push_back(std::move(entry->second.answer));
        entry = this->calls.erase(entry);
    }
    for (const ResponseCallback &hook : hooks)
        hook(linkFailure(Outcome::NotRun, reason));
}

void PeerLink::takeFrame(FrameType type, std::span<const char> payload)
{
    this->unansweredSince.reset();
    if (type == FrameType::Hello)
        return this->takeHello(payload);
    if (type == FrameType::GoAway)
        return this->takeGoAway(payload);
    this->learnGrants(Grants::No);
    switch (type) {
    case FrameType::Pong:
        return;
    case FrameType::CallGrant:
        return this->takeGrant(payload);
    case FrameType::CallResponse:
        return this->takeAnswer(payload);
    default:
        this->connection->close(
            makeError(ErrorKind::InvalidInput, "read peer frame", this->address, "unexpected type"));
    }
}

void PeerLink::takeHello(std::span<const char> payload)
{
    const Result<HelloMessage> hello = decode<HelloMessage>(payload, "read hello", this->address);
    if (!hello)
        return this->connection->close(hello.error());
    this->learnGrants(hello.value().protocol >= bodyGrantProtocolVersion ? Grants::Yes : Grants::No);
}

// What the other side says first decides; its Hello comes before all else when it grants bodies.
void PeerLink::learnGrants(Grants learnt)
{
    if (this->grants != Grants::NotKnown)
        return;
    this->grants = learnt;
    for (auto &[callId, pending] : this->calls) {
        if (pending.held)
            this->sendHeld(pending);
    }
}

void PeerLink::sendHeld(Pending &pending)
{
    const Instant now = SteadyClock::now();
    CallRequest &call = *pending.held;
    const auto waited =
        static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(now - pending.heldSince).count());
    call.remainingMicroseconds -= std::min(call.remainingMicroseconds, waited);
    // At least one: a call whose target has passed is not one without a target.
    if (call.remainingTargetMicroseconds > 0)
        call.remainingTargetMicroseconds -= std::min(call.remainingTargetMicroseconds - 1, waited);
    if (this->grants == Grants::No) {
        this->connection->send(encodeFrame(FrameType::CallRequest, call));
        pending.held.reset();
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
    this->expectAnswer(now);
}

void PeerLink::takeGrant(std::span<const char> payload)
{
    const Result<CallGrant> grant = decode<CallGrant>(payload, "read grant", this->address);
    if (!grant)
        return this->connection->close(grant.error());
    const auto found = this->calls.find(grant.value().callId);
    if (found == this->calls.end())
        return; // It was cancelled meanwhile.
    Pending &pending = found->second;
    if (!pending.headSent || !pending.held)
        return this->connection->close(
            makeError(ErrorKind::InvalidInput, "read grant", this->address, "no body waits for it"));
    const CallBody body{found->first, std::move(pending.held->body)};
    pending.held.reset();
    this->connection->send(encodeFrame(FrameType::CallBody, body));
    this->expectAnswer(SteadyClock::now());
}

// Failure: a call crosses the end of the node that it is sent to. Symptom: its caller is told that nobody
// knows whether it ran, and may not send it again.
void PeerLink::takeGoAway(std::span<const char> payload)
{
    const Result<GoAway> said = decode<GoAway>(payload, "read go-away", this->address);
    if (!said)
        return this->connection->close(said.error());
    this->otherLeaves = true;
    std::vector<std::uint64_t> notTaken;
    for (const auto &[callId, pending] : this->calls) {
        if (callId > said.value().lastCallId || pending.held)
            notTaken.push_back(callId);
    }
    for (const std::uint64_t callId : notTaken)
        this->give(callId, linkFailure(Outcome::NotRun, reasonPeerLeaving));
    if (this->calls.empty() && this->connection)
        this->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "the other node leaves"));
}

void PeerLink::takeAnswer(std::span<const char> payload)
{
    Result<CallResponse> response = decode<CallResponse>(payload, "read call answer", this->address);
    if (!response)
        return this->connection->close(response.error());
    const std::uint64_t callId = response.value().callId;
    this->give(callId, std::move(response).assume_value());
}

void PeerLink::give(std::uint64_t callId, CallResponse response)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return; // It was cancelled meanwhile.
    const ResponseCallback hook = std::move(found->second.answer);
    this->calls.erase(found);
    hook(std::move(response));
}

// The clock of a silence starts with the first unanswered sending and not with each: calls whose own
// deadlines are shorter than the silence would otherwise put its end off for ever.
void PeerLink::expectAnswer(Instant now)
{
    if (!this->unansweredSince)
        this->unansweredSince = now;
    this->armHeartbeat();
}

void PeerLink::armHeartbeat()
{
    if (this->timerArmed)
        return;
    this->timerArmed = true;
    const Duration interval = this->settings.silenceTimeout / probesPerSilence;
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
    // This process itself was held up: answers may lie unread, so the silence is counted anew.
    if (this->unansweredSince && now - this->heartbeatDue > this->settings.silenceTimeout / 2)
        this->unansweredSince = now;
    if (this->isSilent(now) && !this->waitsThroughSilence)
        return this->connection->close(
            makeError(ErrorKind::Timeout, "wait for heartbeat", this->address, "silent"));
    if (!this->calls.empty() || this->unansweredSince) {
        this->connection->send(encodeFrame(FrameType::Ping, Heartbeat{++this->pings}));
        return this->expectAnswer(now);
    }
    if (now - this->usedAt > this->settings.idleTimeout)
        return this->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "not used"));
    this->armHeartbeat();
}

} // namespace Sagecrank
