// Connecting, pairing answers with calls, and finding silent connections.
#include "PeerLink.h"

#include <Node/CallReasons.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

// Failure: a connection goes silent for good while new ones work, because something between the two ends lost
// track of it. Symptom: every call on it waits to its deadline. Probing at a quarter of the allowed silence
// bounds the wait.
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
                   LostHook lost)
    : context(context)
    , address(std::move(address))
    , settings(std::move(settings))
    , lost(std::move(lost))
    , timer(context)
{
}

// The connections keep themselves alive while they read, so they are closed here.
PeerLink::~PeerLink()
{
    std::vector<std::shared_ptr<Channel>> open = std::move(this->suspects);
    if (this->current)
        open.push_back(std::move(this->current));
    for (const auto &channel : open)
        channel->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "dropped"));
}

std::uint64_t PeerLink::call(CallRequest request, PeerCallHooks hooks)
{
    const std::uint64_t callId = this->nextCallId++;
    request.callId = callId;
    this->usedAt = SteadyClock::now();
    Pending &pending = this->calls[callId];
    pending.hooks = std::move(hooks);

    const bool congested =
        this->current && this->current->connection->bytesWaiting() > this->settings.maximumWaitingBytes;
    const bool unreachable = !this->current && !this->connecting && this->usedAt < this->retryAt;
    if (congested || unreachable) {
        const std::string_view reason = congested ? reasonPeerCongested : reasonPeerUnreachable;
        boost::asio::post(this->context, [self = this->shared_from_this(), callId, reason] {
            self->answerCall(callId, linkFailure(Outcome::NotRun, reason));
        });
        return callId;
    }
    Bytes frame = encodeFrame(FrameType::CallRequest, request);
    if (this->current) {
        pending.channel = this->current;
        this->current->connection->send(std::move(frame));
        this->expectAnswer(*this->current, this->usedAt);
        return callId;
    }
    pending.unsent = std::move(frame);
    if (!this->connecting)
        this->connect();
    return callId;
}

void PeerLink::cancel(std::uint64_t callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return;
    const std::shared_ptr<Channel> channel = found->second.channel;
    this->calls.erase(found);
    if (channel)
        channel->connection->send(encodeFrame(FrameType::CallCancel, CallCancel{callId}));
}

void PeerLink::withdraw(std::uint64_t callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return;
    if (!found->second.unsent.empty())
        return this->answerCall(callId, linkFailure(Outcome::NotRun, reasonPeerUnreachable));
    if (found->second.channel)
        found->second.channel->connection->send(encodeFrame(FrameType::CallWithdraw, CallCancel{callId}));
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
    const auto channel = std::make_shared<Channel>();
    FramedConnectionHooks hooks;
    hooks.frame = [link, channel](FrameType type, std::span<const char> payload) {
        if (const auto self = link.lock())
            self->takeFrame(channel, type, payload);
    };
    hooks.closed = [link, channel](const Error &reason) {
        if (const auto self = link.lock())
            self->closed(channel, reason);
    };
    this->backoff = Duration::zero();
    channel->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumFrameSize, std::move(hooks));
    this->current = channel;
    channel->connection->start();
    channel->connection->send(encodeFrame(FrameType::Hello, HelloMessage{this->settings.ownId, 1}));
    for (auto &[callId, pending] : this->calls) {
        if (pending.unsent.empty())
            continue;
        channel->connection->send(std::move(pending.unsent));
        pending.unsent.clear();
        pending.channel = channel;
    }
    this->expectAnswer(*channel, SteadyClock::now());
}

// A call that was handed to the connection may have run; one that was not has not.
void PeerLink::closed(const std::shared_ptr<Channel> &channel, const Error &reason)
{
    if (this->current == channel)
        this->current.reset();
    std::erase(this->suspects, channel);
    std::vector<std::uint64_t> ended;
    for (const auto &[callId, pending] : this->calls) {
        if (pending.channel == channel)
            ended.push_back(callId);
    }
    if (!ended.empty())
        this->lost(reason);
    for (const std::uint64_t callId : ended)
        this->answerCall(callId, linkFailure(Outcome::Unknown, reasonPeerLost));
}

void PeerLink::failUnsent(std::string_view reason)
{
    std::vector<std::uint64_t> unsent;
    for (const auto &[callId, pending] : this->calls) {
        if (!pending.unsent.empty())
            unsent.push_back(callId);
    }
    for (const std::uint64_t callId : unsent)
        this->answerCall(callId, linkFailure(Outcome::NotRun, reason));
}

void PeerLink::takeFrame(const std::shared_ptr<Channel> &channel, FrameType type,
                         std::span<const char> payload)
{
    channel->unansweredSince.reset();
    channel->answered = true;
    if (type == FrameType::Pong)
        return;
    if (type != FrameType::CallResponse)
        return channel->connection->close(
            makeError(ErrorKind::InvalidInput, "read peer frame", this->address, "unexpected type"));
    Result<CallResponse> response = decode<CallResponse>(payload, "read call answer", this->address);
    if (!response)
        return channel->connection->close(response.error());
    const std::uint64_t callId = response.value().callId;
    this->answerCall(callId, std::move(response).assume_value());
}

void PeerLink::answerCall(std::uint64_t callId, CallResponse response)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end())
        return; // It was cancelled meanwhile.
    const PeerCallHooks hooks = std::move(found->second.hooks);
    this->calls.erase(found);
    hooks.answer(std::move(response));
}

bool PeerLink::carriesCalls(const std::shared_ptr<Channel> &channel) const
{
    return std::ranges::any_of(this->calls,
                               [&channel](const auto &entry) { return entry.second.channel == channel; });
}

// The clock of a silence starts with the first unanswered sending and not with each: calls whose own
// deadlines are shorter than the silence would otherwise put its end off for ever.
void PeerLink::expectAnswer(Channel &channel, Instant now)
{
    if (!channel.unansweredSince)
        channel.unansweredSince = now;
    this->armHeartbeat();
}

void PeerLink::armHeartbeat()
{
    if (this->timerArmed)
        return;
    this->timerArmed = true;
    const Duration interval = this->settings.silence / probesPerSilence;
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
    const Instant now = SteadyClock::now();
    // This process itself was held up: answers may lie unread, so each silence is counted anew.
    const bool heldUp = now - this->heartbeatDue > this->settings.silence / 2;
    std::vector<std::shared_ptr<Channel>> channels = this->suspects;
    if (this->current)
        channels.push_back(this->current);
    for (const auto &channel : channels)
        this->heartbeatOf(channel, now, heldUp);
    this->closeReplaced(now);
    if (this->current || !this->suspects.empty())
        this->armHeartbeat();
}

void PeerLink::heartbeatOf(const std::shared_ptr<Channel> &channel, Instant now, bool heldUp)
{
    if (heldUp && channel->unansweredSince)
        channel->unansweredSince = now;
    this->noteProgress(*channel, now);
    const Duration silent = channel->unansweredSince ? now - *channel->unansweredSince : Duration::zero();
    const bool inUse = this->carriesCalls(channel);
    if (channel->suspectedAt && (!inUse || silent > this->settings.longestSilence))
        return this->closeSuspect(channel, inUse ? "silent" : "replaced");
    if (!channel->suspectedAt && silent > this->settings.silence)
        return this->suspect(channel, now);
    if (inUse || channel->unansweredSince) {
        channel->connection->send(encodeFrame(FrameType::Ping, Heartbeat{++this->pings}));
        return this->expectAnswer(*channel, now);
    }
    if (now - this->usedAt > this->settings.idleTimeout)
        channel->connection->close(
            makeError(ErrorKind::Unavailable, "keep connection", this->address, "not used"));
}

// Bytes that came are a sign of life, of a frame that is not whole as well. Bytes that left are one only when
// the socket was full before: then the other side has taken some.
void PeerLink::noteProgress(Channel &channel, Instant now)
{
    const FramedConnection &connection = *channel.connection;
    const bool received = connection.bytesReceived() != channel.bytesReceived || connection.hasUnreadBytes();
    const bool taken = channel.sendingBlocked && connection.bytesSent() != channel.bytesSent;
    if (channel.unansweredSince && (received || taken))
        channel.unansweredSince = now;
    channel.bytesReceived = connection.bytesReceived();
    channel.bytesSent = connection.bytesSent();
    channel.sendingBlocked = connection.bytesWaiting() != 0;
}

void PeerLink::suspect(const std::shared_ptr<Channel> &channel, Instant now)
{
    channel->suspectedAt = now;
    this->current.reset();
    this->suspects.push_back(channel);
    std::vector<std::function<void()>> hooks;
    for (auto &[callId, pending] : this->calls) {
        if (pending.channel == channel && pending.hooks.silent)
            hooks.push_back(std::exchange(pending.hooks.silent, nullptr));
    }
    if (hooks.empty() && !this->carriesCalls(channel))
        return this->closeSuspect(channel, "silent");
    this->lost(makeError(ErrorKind::Timeout, "wait for heartbeat", this->address, "suspected"));
    if (!this->connecting)
        this->connect();
    for (const auto &silent : hooks)
        silent();
}

// A younger connection has been answered. An older one on the same path would have been answered before it,
// but for lost packets, which the further silence allows for.
void PeerLink::closeReplaced(Instant now)
{
    if (!this->current || !this->current->answered)
        return;
    const std::vector<std::shared_ptr<Channel>> open = this->suspects;
    for (const auto &channel : open) {
        const bool silentSince =
            channel->unansweredSince && *channel->unansweredSince < *channel->suspectedAt;
        if (silentSince && now - *channel->suspectedAt > this->settings.silence)
            this->closeSuspect(channel, "silent beside a younger connection");
    }
}

void PeerLink::closeSuspect(const std::shared_ptr<Channel> &channel, std::string_view reason)
{
    channel->connection->close(
        makeError(ErrorKind::Timeout, "wait for heartbeat", this->address, std::string(reason)));
}

} // namespace Sagecrank
