// A request thread's connection to another node, which multiplexes many calls. Responses are matched to calls
// by id, so they may arrive late and in any order.
#pragma once

#include <LibCore/Time.h>
#include <LibNet/FramedConnection.h>
#include <LibWire/PeerMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

struct PeerLinkSettings
{
    std::string ownId;
    Milliseconds connectTimeout{500};
    // Closes a connection that awaits a reply and receives nothing for this long.
    Milliseconds silenceTimeout{1000};
    Milliseconds idleTimeout{60000};                       // Closes a connection without calls.
    std::size_t maximumQueuedBytes = std::size_t{8} << 20; // Calls are refused above it.
};

// Used only on the one thread of its io_context.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using ResponseCallback = std::function<void(CallResponse)>;
    // Runs when the connection is lost with calls pending.
    using ConnectionLostHook = std::function<void(const Error &)>;

    PeerLink(boost::asio::io_context &context, std::string address, PeerLinkSettings settings,
             ConnectionLostHook onConnectionLost);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // The callback runs exactly once, never from inside this function. Returns the id for cancel().
    std::uint64_t call(CallRequest request, ResponseCallback callback);

    // Cancels the call at the peer and drops its callback.
    void cancel(std::uint64_t callId);

    // Cancels the call at the peer only if it has not started. Its callback still runs.
    void withdraw(std::uint64_t callId);

    // From now on, a silent connection stays open until its calls reach their deadlines.
    void disableSilenceTimeout() { this->silenceTimeoutDisabled = true; }

    // Whether a response is due and nothing has been received for longer than the silence timeout.
    bool isSilent(Instant now) const
    {
        return this->awaitingReplySince && now - *this->awaitingReplySince > this->settings.silenceTimeout;
    }

    bool unusedSince(Instant before) const { return this->calls.empty() && this->lastUsedAt < before; }

private:
    struct Pending
    {
        ResponseCallback callback;
        Bytes unsentFrame; // The first frame while not connected; empty once it may have been sent.
        std::optional<CallRequest> heldRequest; // Its body has not been sent, so it has not run.
        Instant heldSince;
        bool headSent = false;

        bool nothingSent() const
        {
            return !this->unsentFrame.empty() || (this->heldRequest && !this->headSent);
        }
        bool provablyNotRun() const { return !this->unsentFrame.empty() || this->heldRequest; }
    };

    // Whether the peer grants bodies.
    enum class GrantSupport : std::uint8_t { Unknown, Yes, No };

    void connect();
    void handleConnected(boost::asio::ip::tcp::socket socket);
    void handleClosed(const Error &reason);
    void handleFrame(FrameType type, std::span<const char> payload);
    void handleHello(std::span<const char> payload);
    void handleGrant(std::span<const char> payload);
    void handleResponse(std::span<const char> payload);
    void setGrantSupport(GrantSupport support);
    void sendHeldRequest(Pending &pending);
    void handleGoAway(std::span<const char> payload);
    void failUnsentCalls(std::string_view reason);
    void complete(std::uint64_t callId, CallResponse response);
    void expectReply(Instant now);
    void armHeartbeat();
    void heartbeat();

    boost::asio::io_context &context;
    const std::string address;
    const PeerLinkSettings settings;
    const ConnectionLostHook onConnectionLost;
    std::shared_ptr<FramedConnection> connection; // Null while not connected.
    std::unordered_map<std::uint64_t, Pending> calls;
    std::uint64_t nextCallId = 1;
    boost::asio::steady_timer timer;
    GrantSupport grantSupport = GrantSupport::Unknown;
    bool connecting = false;
    bool peerGoingAway = false; // GoAway was received; the peer accepts no more calls.
    bool timerArmed = false;
    bool silenceTimeoutDisabled = false;
    // When the first frame that expects a reply was sent since anything was received.
    std::optional<Instant> awaitingReplySince;
    Instant heartbeatDue;
    Instant lastUsedAt;
    std::uint64_t lastPingSequence = 0;
    Instant retryAt = Instant::min(); // Backoff: no connection attempt before this.
    Duration backoff{};
};

} // namespace Sagecrank
