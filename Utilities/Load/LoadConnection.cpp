// Implements LoadConnection.h with Beast. The request message and the read buffer are reused.
#include <Load/LoadConnection.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace Sagecrank {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readBufferBytes = 16384;

} // namespace

struct LoadConnection::Transport
{
    explicit Transport(asio::io_context &context)
        : socket(context)
    {
    }

    asio::ip::tcp::socket socket;
    http::request<http::string_body> message;
    std::array<char, readBufferBytes> buffer{};
};

LoadConnection::LoadConnection(asio::io_context &context, asio::ip::tcp::endpoint endpoint,
                               Callbacks callbacks)
    : transport(std::make_unique<Transport>(context))
    , endpoint(std::move(endpoint))
    , callbacks(std::move(callbacks))
{
    this->transport->message.version(11);
    this->transport->message.set(http::field::host, this->endpoint.address().to_string());
}

LoadConnection::~LoadConnection() = default;

void LoadConnection::send(const OutgoingRequest &request)
{
    this->busy = true;
    this->reader.reset();
    auto &message = this->transport->message;
    message.method_string(request.method);
    message.target(request.target);
    message.set("Sagecrank-Call-Id", request.callId);
    if (request.deadline.empty())
        message.erase("Sagecrank-Deadline-Ms");
    else
        message.set("Sagecrank-Deadline-Ms", request.deadline);
    if (request.key.empty())
        message.erase("Idempotency-Key");
    else
        message.set("Idempotency-Key", request.key);
    message.body() = request.body;
    message.prepare_payload();
    if (this->transport->socket.is_open())
        this->write();
    else
        this->connect();
}

void LoadConnection::connect()
{
    this->transport->socket.async_connect(
        this->endpoint,
        [self = this->shared_from_this(), generation = this->generation](const error_code &error) {
            if (generation != self->generation || !self->busy)
                return;
            if (error)
                return self->fail("connect");
            error_code ignored;
            self->transport->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
}

void LoadConnection::write()
{
    http::async_write(this->transport->socket, this->transport->message,
                      [self = this->shared_from_this(),
                       generation = this->generation](const error_code &error, std::size_t) {
                          if (error && generation == self->generation)
                              self->fail("send");
                      });
    this->read();
}

void LoadConnection::read()
{
    if (this->reading)
        return;
    this->reading = true;
    this->transport->socket.async_read_some(asio::buffer(this->transport->buffer),
                                            [self = this->shared_from_this(), generation = this->generation](
                                                const error_code &error, std::size_t size) {
                                                if (generation != self->generation)
                                                    return;
                                                self->reading = false;
                                                if (error)
                                                    return self->fail("closed");
                                                self->onBytesRead(size);
                                            });
}

void LoadConnection::onBytesRead(std::size_t size)
{
    if (!this->busy)
        return this->close(); // No request is outstanding.
    const ReadProgress progress = this->reader.feed(std::string_view(this->transport->buffer.data(), size));
    if (progress == ReadProgress::Malformed)
        return this->fail("malformed");
    if (progress == ReadProgress::Incomplete)
        return this->read();
    this->busy = false;
    if (!this->reader.response().keepAlive)
        this->close();
    this->callbacks.onResponse(*this, this->reader.response());
}

void LoadConnection::abort(const std::string &reason)
{
    this->fail(reason);
}

void LoadConnection::fail(const std::string &reason)
{
    this->close();
    if (!this->busy)
        return;
    this->busy = false;
    this->callbacks.onFailure(*this, reason);
}

void LoadConnection::close()
{
    ++this->generation;
    this->reading = false;
    error_code ignored;
    this->transport->socket.close(ignored);
}

} // namespace Sagecrank
