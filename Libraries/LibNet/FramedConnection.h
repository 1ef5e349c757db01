// A TCP connection that carries frames. It lives on one io_context that one thread runs; all calls and hooks
// happen there. It closes itself on any error and says so once.
#pragma once

#include <LibCore/Time.h>
#include <LibWire/Frame.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sagecrank {

struct FramedConnectionHooks
{
    std::function<void(FrameType, std::span<const char>)> onFrame;
    std::function<void(const Error &)> onClosed; // Once, also after close().
    std::function<void()> onDrained = {};        // All that was queued has left; may be empty.
};

class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    FramedConnection(boost::asio::ip::tcp::socket socket, std::size_t maximumFrame,
                     FramedConnectionHooks hooks);

    // Begins to read. The hooks are kept until the connection has closed.
    void start();

    // Queues whole frames; frames that wait are written together.
    void send(Bytes frame);

    void close(Error reason);

    // No frame is queued after it. What was queued leaves first, then the other side reads an end; frames are
    // still received until it closes.
    void shutdownSend();

    bool isOpen() const { return this->open; }
    std::uint64_t bytesSent() const { return this->sent; }

    // Bytes that were queued and not yet taken by the socket. A peer that stops reading lets it grow,
    // so that senders can refuse before memory runs out.
    std::size_t bytesQueued() const { return this->waitingBytes; }

    const std::string &peerName() const { return this->peer; }

private:
    void readSome();
    void writeWaiting();
    void shutDownSending();

    boost::asio::ip::tcp::socket socket;
    FrameReader reader;
    FramedConnectionHooks hooks;
    std::string peer;
    std::array<char, 16384> buffer{};
    std::vector<Bytes> waiting; // Not yet handed to the socket.
    std::vector<Bytes> writing; // Stays untouched until its write ends.
    std::size_t waitingBytes = 0;
    std::uint64_t sent = 0;
    bool open = true;
    bool writeInProgress = false;
    bool sendingEnds = false; // Once all that waits has left.
};

// "ip:port" to an endpoint; names are not resolved. Port 0, "any free port", has to be allowed by the caller.
Result<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(const std::string &address, bool anyPort = false);

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

// Binds and listens. With `share`, several acceptors of this process take connections on the same address.
Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor,
                          const boost::asio::ip::tcp::endpoint &endpoint, bool share);

// Connects within the time limit, which also covers an address that never answers.
void connectFramed(boost::asio::io_context &context, const std::string &address, Duration timeout,
                   std::function<void(Result<boost::asio::ip::tcp::socket>)> done);

} // namespace Sagecrank
