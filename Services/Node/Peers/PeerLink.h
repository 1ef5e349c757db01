// This thread's way to another node, on which many calls are under way at a time. Answers are paired with
// calls by number, so they may come late and in any order.
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
    Milliseconds silence{1000}; // With an answer due and no bytes moving for this long, it is suspected.
    Milliseconds longestSilence{4000};                      // A suspected connection is given up after this.
    Milliseconds idleTimeout{60000};                        // Without calls it is closed after this.
    std::size_t maximumWaitingBytes = std::size_t{8} << 20; // More than this unsent, and calls are refused.
};

struct PeerCallHooks
{
    std::function<void(CallResponse)> answer; // Exactly once, unless the call is cancelled.
    // The connection that carries the call is suspected; the answer may still come. At most once, before it.
    std::function<void()> silent;
};

// Belongs to one io_context that one thread runs.
//
// A connection on which nothing moves may be dead, or its path may be full. New calls go over another one,
// and the suspected one is kept until it speaks, until the other one has answered where it did not, or until
// its time is up: what runs behind a full path still gets its answer.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using LostHook =
        std::function<void(const Error &)>; // A connection broke, or is suspected, with calls on it.

    PeerLink(boost::asio::io_context &context, std::string address, PeerLinkSettings settings, LostHook lost);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // No hook is called from inside this call. Returns the number for cancel().
    std::uint64_t call(CallRequest request, PeerCallHooks hooks);

    // Tells the other side that nobody waits any more, and forgets the hooks.
    void cancel(std::uint64_t callId);

    // Asks for the answer now when the call has not begun; its hook is called as for any other.
    void withdraw(std::uint64_t callId);

    bool unusedSince(Instant before) const { return this->calls.empty() && this->usedAt < before; }

private:
    // One TCP connection and what is known of its life.
    struct Channel
    {
        std::shared_ptr<FramedConnection> connection; // Never null.
        std::optional<Instant> unansweredSince;       // The first sending since bytes last moved.
        std::optional<Instant> suspectedAt;
        std::uint64_t bytesReceived = 0; // At the last heartbeat, like the next two.
        std::uint64_t bytesSent = 0;
        bool sendingBlocked = false;
        bool answered = false; // A frame has come on it.
    };

    struct Pending
    {
        PeerCallHooks hooks;
        Bytes unsent; // The whole frame while there is no connection; empty once it may have left.
        std::shared_ptr<Channel> channel; // That carries it; null while it is unsent.
    };

    void connect();
    void opened(boost::asio::ip::tcp::socket socket);
    void closed(const std::shared_ptr<Channel> &channel, const Error &reason);
    void takeFrame(const std::shared_ptr<Channel> &channel, FrameType type, std::span<const char> payload);
    void failUnsent(std::string_view reason);
    void answerCall(std::uint64_t callId, CallResponse response);
    void expectAnswer(Channel &channel, Instant now);
    void armHeartbeat();
    void heartbeat();
    void heartbeatOf(const std::shared_ptr<Channel> &channel, Instant now, bool heldUp);
    void noteProgress(Channel &channel, Instant now);
    void suspect(const std::shared_ptr<Channel> &channel, Instant now);
    void closeReplaced(Instant now);
    void closeSuspect(const std::shared_ptr<Channel> &channel, std::string_view reason);
    bool carriesCalls(const std::shared_ptr<Channel> &channel) const;

    boost::asio::io_context &context;
    const std::string address;
    const PeerLinkSettings settings;
    const LostHook lost;
    std::shared_ptr<Channel> current;               // For new calls; null while there is none.
    std::vector<std::shared_ptr<Channel>> suspects; // Oldest first; none of them is `current`.
    std::unordered_map<std::uint64_t, Pending> calls;
    std::uint64_t nextCallId = 1;
    boost::asio::steady_timer timer;
    bool connecting = false;
    bool timerArmed = false;
    Instant heartbeatDue;
    Instant usedAt;
    std::uint64_t pings = 0;
    Instant retryAt = Instant::min(); // No connection is tried before this.
    Duration backoff{};
};

} // namespace Sagecrank
