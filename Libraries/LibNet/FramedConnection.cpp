// Implements framed reads and writes, address parsing, listening and connecting.
#include <LibNet/FramedConnection.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <charconv>

namespace Sagecrank {

using boost::asio::ip::tcp;

FramedConnection::FramedConnection(tcp::socket socket, std::size_t maximumFrame, FramedConnectionHooks hooks)
    : socket(std::move(socket))
    , reader(maximumFrame)
    , hooks(std::move(hooks))
{
    boost::system::error_code error;
    const tcp::endpoint remote = this->socket.remote_endpoint(error);
    if (!error)
        this->peer = formatEndpoint(remote);
    this->socket.set_option(tcp::no_delay(true), error);
}

void FramedConnection::start()
{
    this->readSome();
}

void FramedConnection::send(Bytes frame)
{
    if (!this->open || this->shutdownRequested)
        return;
    this->queuedBytes += frame.size();
    this->queued.push_back(std::move(frame));
    if (!this->writeInProgress)
        this->writeQueued();
}

void FramedConnection::shutdownSend()
{
    this->shutdownRequested = true;
    if (this->open && !this->writeInProgress)
        this->shutdownSocketSend();
}

void FramedConnection::shutdownSocketSend()
{
    boost::system::error_code ignored; // A lost connection is reported by the pending read.
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void FramedConnection::close(Error reason)
{
    if (!this->open)
        return;
    this->open = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    if (reason.peer.empty())
        reason.peer = this->peer;
    const FramedConnectionHooks closingHooks = std::move(this->hooks);
    this->hooks = {};
    if (closingHooks.onClosed)
        closingHooks.onClosed(reason);
}

void FramedConnection::readSome()
{
    this->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            if (!self->open)
                return;
            if (error)
                return self->close(makeError(ErrorKind::Unavailable, "read from peer", "", error.message()));
            const auto frame = [&self](FrameType type, std::span<const char> payload) {
                if (self->open)
                    self->hooks.onFrame(type, payload);
            };
            const Result<void> parsed = self->reader.feed({self->buffer.data(), size}, frame);
            if (!parsed)
                return self->close(parsed.error());
            if (self->open)
                self->readSome();
        });
}

void FramedConnection::writeQueued()
{
    this->writeInProgress = true;
    this->writing.swap(this->queued);
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(this->writing.size());
    for (const Bytes &frame : this->writing)
        buffers.emplace_back(frame.data(), frame.size());
    boost::asio::async_write(
        this->socket, buffers,
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->writing.clear();
            self->writeInProgress = false;
            if (!self->open)
                return;
            if (error)
                return self->close(makeError(ErrorKind::Unavailable, "write to peer", "", error.message()));
            self->sent += size;
            self->queuedBytes -= size;
            if (!self->queued.empty())
                return self->writeQueued();
            if (self->shutdownRequested)
                self->shutdownSocketSend();
            if (self->hooks.onDrained)
                self->hooks.onDrained();
        });
}

Result<tcp::endpoint> parseTcpEndpoint(const std::string &address, bool allowPortZero)
{
    const auto fail = [&address](const std::string &message) {
        return makeError(ErrorKind::InvalidInput, "read address", address, message);
    };
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return fail("wanted ip:port");
    unsigned port = 0;
    const char *last = address.data() + address.size();
    const auto [end, problem] = std::from_chars(address.data() + colon + 1, last, port);
    if (problem != std::errc() || end != last || port > 65535 || (port == 0 && !allowPortZero))
        return fail("the port is not a number from 1 to 65535");
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (error)
        return fail("the host is not an IP number");
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

std::string formatEndpoint(const tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Result<void> openListener(tcp::acceptor &acceptor, const tcp::endpoint &endpoint, bool reusePort)
{
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    try {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        if (reusePort)
            acceptor.set_option(ReusePort(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error &error) {
        return makeError(ErrorKind::Unavailable, "listen", formatEndpoint(endpoint), error.code().message());
    }
    return success();
}

void connectFramed(boost::asio::io_context &context, const std::string &address, Duration timeout,
                   std::function<void(Result<tcp::socket>)> done)
{
    const Result<tcp::endpoint> endpoint = parseTcpEndpoint(address);
    if (!endpoint)
        return done(endpoint.error());
    auto socket = std::make_shared<tcp::socket>(context);
    auto timer = std::make_shared<boost::asio::steady_timer>(context, timeout);
    // Closing the socket fails the connect below, whose handler is the only caller of `done`.
    timer->async_wait([socket](const boost::system::error_code &error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(endpoint.value(), [socket, timer, address,
                                             done = std::move(done)](const boost::system::error_code &error) {
        timer->cancel();
        if (error)
            return done(makeError(ErrorKind::Unavailable, "connect to peer", address, error.message()));
        if (!socket->is_open())
            return done(makeError(ErrorKind::Unavailable, "connect to peer", address, "no answer in time"));
        done(std::move(*socket));
    });
}

} // namespace Sagecrank
