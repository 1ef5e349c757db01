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
// What one direction may hold back for a delay; after that it reads no more until some has passed.
constexpr std::size_t maximumHeldBytes = 4UL * 1024 * 1024;

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

// Two directions, each of which reads, holds what it read for the delay of that moment, and writes in order.
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
                                           return self->cut();
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

    void cut()
    {
        resetSocket(this->client);
        resetSocket(this->server);
        this->up.timer.cancel();
        this->down.timer.cancel();
    }

private:
    struct HeldChunk
    {
        Instant due;
        std::string bytes; // Empty for the end of the stream.
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
        std::deque<HeldChunk> held;
        std::size_t heldBytes = 0;
        bool silent = false; // For good: a connection that something between the ends has lost track of.
        bool writing = false;
        bool reading = false;
        bool ended = false;
    };

    void read(Flow &flow)
    {
        if (flow.reading || flow.ended || flow.heldBytes > maximumHeldBytes)
            return;
        flow.reading = true;
        flow.from.async_read_some(asio::buffer(flow.buffer),
                                  [self = this->shared_from_this(),
                                   &flow](const boost::system::error_code &error, std::size_t size) {
                                      flow.reading = false;
                                      self->received(flow, error, size);
                                  });
    }

    // A silent direction swallows what it reads, the end of the stream included, so that neither end can
    // tell.
    void received(Flow &flow, const boost::system::error_code &error, std::size_t size)
    {
        flow.ended = bool(error);
        if (!flow.silent && !this->faults.hole()) {
            const Instant due = SteadyClock::now() + this->faults.delay(flow.direction);
            flow.held.push_back({due, std::string(flow.buffer.data(), error ? 0 : size)});
            flow.heldBytes += size;
            this->write(flow);
        }
        this->read(flow);
    }

    void write(Flow &flow)
    {
        if (flow.writing || flow.held.empty())
            return;
        flow.writing = true;
        flow.timer.expires_at(flow.held.front().due);
        flow.timer.async_wait(
            [self = this->shared_from_this(), &flow](const boost::system::error_code &error) {
                if (!error)
                    self->writeFront(flow);
            });
    }

    void writeFront(Flow &flow)
    {
        if (flow.silent || this->faults.hole()) {
            flow.held.clear();
            flow.heldBytes = 0;
            flow.writing = false;
            return;
        }
        if (flow.held.front().bytes.empty()) {
            boost::system::error_code ignored;
            flow.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(flow.to, asio::buffer(flow.held.front().bytes),
                          [self = this->shared_from_this(), &flow](const boost::system::error_code &error,
                                                                   std::size_t size) {
                              flow.writing = false;
                              if (error)
                                  return self->cut();
                              flow.heldBytes -= size;
                              flow.held.pop_front();
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

void TcpRelay::cutConnections()
{
    for (const auto &weak : this->connections) {
        if (const auto connection = weak.lock())
            connection->cut();
    }
}

void TcpRelay::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket client) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error && this->faults.refusing()) {
            resetSocket(client);
        } else if (!error) {
            this->forgetEnded();
            const auto connection =
                std::make_shared<RelayedConnection>(this->context, std::move(client), this->faults);
            this->connections.push_back(connection);
            connection->start(this->target);
        }
        this->accept();
    });
}

void TcpRelay::forgetEnded()
{
    std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
}

} // namespace Sagecrank
