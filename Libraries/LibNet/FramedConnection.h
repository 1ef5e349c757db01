// A TCP connection that carries frames. All calls and hooks run on the one thread of its io_context. The
// connection closes itself on any error and reports the closure once.
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
    std::function<void()> onDrained = {};        // All queued frames have been written; may be empty.
};

class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    FramedConnection(boost::asio::ip::tcp::socket socket, std::size_t maximumFrame,
                     FramedConnectionHooks hooks);

    // Starts reading. The hooks are kept until the connection has closed.
    void start();

    // Queues a whole frame. Queued frames are written with one gathered write.
    void send(Bytes frame);

    void close(Error reason);

    // Half-closes the connection: frames already queued are written first and later ones are discarded.
    // Frames are still received until the peer closes.
    void shutdownSend();

    bool isOpen() const { return this->open; }
    std::uint64_t bytesSent() const { return this->sent; }

    // Bytes queued and not yet accepted by the socket. It grows when the peer stops reading, so senders can
    // refuse new calls before memory runs out.
    std::size_t bytesQueued() const { return this->queuedBytes; }

    const std::string &peerName() const { return this->peer; }

private:
    void readSome();
    void writeQueued();
    void shutdownSocketSend();

    boost::asio::ip::tcp::socket socket;
    FrameReader reader;
    FramedConnectionHooks hooks;
    std::string peer;
    std::array<char, 16384> buffer{};
    std::vector<Bytes> queued;  // Not yet handed to the socket.
    std::vector<Bytes> writing; // Must not change until its write completes.
    std::size_t queuedBytes = 0;
    std::uint64_t sent = 0;
    bool open = true;
    bool writeInProgress = false;
    bool shutdownRequested = false; // Takes effect once the queue is empty.
};

// Parses "ip:port"; names are not resolved. Port 0 is accepted only with `allowPortZero`.
Result<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(const std::string &address,
                                                        bool allowPortZero = false);

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

// Binds and listens. With `reusePort` (SO_REUSEPORT), several acceptors of this process can listen on the
// same address.
Result<void> openListener(boost::asio::ip::tcp::acceptor &acceptor,
                          const boost::asio::ip::tcp::endpoint &endpoint, bool reusePort);

// Connects with a timeout, which also applies when the address never responds.
void connectFramed(boost::asio::io_context &context, const std::string &address, Duration timeout,
                   std::function<void(Result<boost::asio::ip::tcp::socket>)> done);

} // namespace Sagecrank
