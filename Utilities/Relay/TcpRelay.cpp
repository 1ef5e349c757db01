// Forwards the bytes of TCP connections with the delays and faults of the link.
#include "TcpRelay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <string>
#include <utility>

namespace Sagecrank {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t readBytes = 16UL * 1024;
// Delayed bytes above which one direction stops reading until some are forwarded.
constexpr std::size_t maximumDelayedBytes = 4UL * 1024 * 1024;

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

// Has two directions. Each of them reads, keeps the data for the delay in force at that time, and writes it
// in order.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(asio::io_context &context, tcp::socket client, LinkFaults &faults)
        : client(std::move(client))
        , server(context)
        , faults(faults)
        , up(context, RelayDirection::Up, this->client, this->server)
        , down(context, RelayDirection::Down, this->server, this->client)
    {
    }

    void start(const tcp::endpoint &target)
    {
        this->server.async_connect(target,
                                   [self = this->shared_from_this()](const boost::system::error_code &error) {
                                       if (error)
                                           return self->reset();
                                       boost::system::error_code ignored;
                                       self->client.set_option(tcp::no_delay(true), ignored);
                                       self->server.set_option(tcp::no_delay(true), ignored);
                                       self->read(self->up);
                                       self->read(self->down);
                                   });
    }

    void silence(bool silenceUp, bool silenceDown)
    {
        this->up.silent = this->up.silent || silenceUp;
        this->down.silent = this->down.silent || silenceDown;
    }

    void reset()
    {
        resetSocket(this->client);
        resetSocket(this->server);
        this->up.timer.cancel();
        this->down.timer.cancel();
    }

private:
    struct DelayedChunk
    {
        Instant dueTime;
        std::string bytes; // Empty at the end of the stream.
    };

    struct Flow
    {
        Flow(asio::io_context &context, RelayDirection direction, tcp::socket &from, tcp::socket &to)
            : direction(direction)
            , from(from)
            , to(to)
            , timer(context)
        {
        }

        const RelayDirection direction;
        tcp::socket &from;
        tcp::socket &to;
        asio::steady_timer timer;
        std::array<char, readBytes> buffer{};
        std::deque<DelayedChunk> delayed;
        std::size_t delayedBytes = 0;
        bool silent = false; // Permanent, as when a firewall or NAT has lost the state of a connection.
        bool writing = false;
        bool reading = false;
        bool ended = false;
    };

    void read(Flow &flow)
    {
        if (flow.reading || flow.ended || flow.delayedBytes > maximumDelayedBytes)
            return;
        flow.reading = true;
        flow.from.async_read_some(asio::buffer(flow.buffer),
                                  [self = this->shared_from_this(),
                                   &flow](const boost::system::error_code &error, std::size_t size) {
                                      flow.reading = false;
                                      self->received(flow, error, size);
                                  });
    }

    // A silent direction discards what it reads, including the end of the stream, so that neither end
    // notices.
    void received(Flow &flow, const boost::system::error_code &error, std::size_t size)
    {
        flow.ended = bool(error);
        if (!flow.silent && !this->faults.blackholed()) {
            const Instant dueTime = SteadyClock::now() + this->faults.delay(flow.direction);
            flow.delayed.push_back({dueTime, std::string(flow.buffer.data(), error ? 0 : size)});
            flow.delayedBytes += size;
            this->write(flow);
        }
        this->read(flow);
    }

    void write(Flow &flow)
    {
        if (flow.writing || flow.delayed.empty())
            return;
        flow.writing = true;
        flow.timer.expires_at(flow.delayed.front().dueTime);
        flow.timer.async_wait(
            [self = this->shared_from_this(), &flow](const boost::system::error_code &error) {
                if (!error)
                    self->writeFront(flow);
            });
    }

    void writeFront(Flow &flow)
    {
        if (flow.silent || this->faults.blackholed()) {
            flow.delayed.clear();
            flow.delayedBytes = 0;
            flow.writing = false;
            return;
        }
        if (flow.delayed.front().bytes.empty()) {
            boost::system::error_code ignored;
            flow.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(flow.to, asio::buffer(flow.delayed.front().bytes),
                          [self = this->shared_from_this(), &flow](const boost::system::error_code &error,
                                                                   std::size_t size) {
                              flow.writing = false;
                              if (error)
                                  return self->reset();
                              flow.delayedBytes -= size;
                              flow.delayed.pop_front();
                              self->write(flow);
                              self->read(flow);
                          });
    }

    tcp::socket client;
    tcp::socket server;
    LinkFaults &faults;
    Flow up;
    Flow down;
};

TcpRelay::TcpRelay(asio::io_context &context, const tcp::endpoint &listen, tcp::endpoint target,
                   LinkFaults &faults)
    : context(context)
    , acceptor(context, listen)
    , target(std::move(target))
    , faults(faults)
{
    this->accept();
}

void TcpRelay::silenceConnections(bool up, bool down)
{
    for (const auto &weak : this->connections) {
        if (const auto connection = weak.lock())
            connection->silence(up, down);
    }
}

void TcpRelay::resetConnections()
{
    for (const auto &weak : this->connections) {
        if (const auto connection = weak.lock())
            connection->reset();
    }
}

void TcpRelay::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket client) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error && this->faults.refusesNewConnections()) {
            resetSocket(client);
        } else if (!error) {
            this->removeClosed();
            const auto connection =
                std::make_shared<RelayedConnection>(this->context, std::move(client), this->faults);
            this->connections.push_back(connection);
            connection->start(this->target);
        }
        this->accept();
    });
}

void TcpRelay::removeClosed()
{
    std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
}

} // namespace Sagecrank
