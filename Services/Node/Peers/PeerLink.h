// This thread's connection to another node, on which many calls are under way at a time. Answers are paired
// with calls by number, so they may come late and in any order.
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
    Milliseconds silenceTimeout{
        1000};                       // With calls under way and nothing heard for this long, it is given up.
    Milliseconds idleTimeout{60000}; // Without calls it is closed after this.
    std::size_t maximumQueuedBytes = std::size_t{8} << 20; // More than this unsent, and calls are refused.
};

// Belongs to one io_context that one thread runs.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using ResponseCallback = std::function<void(CallResponse)>;
    using ConnectionLostHook = std::function<void(const Error &)>; // The connection broke with calls on it.

    PeerLink(boost::asio::io_context &context, std::string address, PeerLinkSettings settings,
             ConnectionLostHook lost);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // The answer comes exactly once, never from inside this call. Returns the number for cancel().
    std::uint64_t call(CallRequest request, ResponseCallback answer);

    // Tells the other side that nobody waits any more, and forgets the answer hook.
    void cancel(std::uint64_t callId);

    // Asks for the answer now when the call has not begun; its hook is called as for any other.
    void withdraw(std::uint64_t callId);

    // Silence is no reason to give up a call any more.
    void disableSilenceTimeout() { this->waitsThroughSilence = true; }

    // Something was sent that must be answered, and nothing was heard for longer than allowed.
    bool isSilent(Instant now) const
    {
        return this->unansweredSince && now - *this->unansweredSince > this->settings.silenceTimeout;
    }

    bool unusedSince(Instant before) const { return this->calls.empty() && this->usedAt < before; }

private:
    struct Pending
    {
        ResponseCallback answer;
        Bytes unsent; // The first frame while there is no connection; empty once it may have left.
        std::optional<CallRequest> held; // Its body has not left, so it has not run.
        Instant heldSince;
        bool headSent = false;

        bool reachedNobody() const { return !this->unsent.empty() || (this->held && !this->headSent); }
        bool provenNotRun() const { return !this->unsent.empty() || this->held; }
    };

    // Whether the other side grants bodies.
    enum class Grants : std::uint8_t { NotKnown, Yes, No };

    void connect();
    void opened(boost::asio::ip::tcp::socket socket);
    void closed(const Error &reason);
    void takeFrame(FrameType type, std::span<const char> payload);
    void takeHello(std::span<const char> payload);
    void takeGrant(std::span<const char> payload);
    void takeAnswer(std::span<const char> payload);
    void learnGrants(Grants learnt);
    void sendHeld(Pending &pending);
    void takeGoAway(std::span<const char> payload);
    void failUnsent(std::string_view reason);
    void give(std::uint64_t callId, CallResponse response);
    void expectAnswer(Instant now);
    void armHeartbeat();
    void heartbeat();

    boost::asio::io_context &context;
    const std::string address;
    const PeerLinkSettings settings;
    const ConnectionLostHook lost;
    std::shared_ptr<FramedConnection> connection; // Null while there is none.
    std::unordered_map<std::uint64_t, Pending> calls;
    std::uint64_t nextCallId = 1;
    boost::asio::steady_timer timer;
    Grants grants = Grants::NotKnown;
    bool connecting = false;
    bool otherLeaves = false; // Said on this connection; it takes no more calls.
    bool timerArmed = false;
    bool waitsThroughSilence = false;
    // The first sending that expects an answer since anything was received.
    std::optional<Instant> unansweredSince;
    Instant heartbeatDue;
    Instant usedAt;
    std::uint64_t pings = 0;
    Instant retryAt = Instant::min(); // No connection is tried before this.
    Duration backoff{};
};

} // namespace Sagecrank
