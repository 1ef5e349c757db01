// Writes requests by Beast into a message that is kept, reads answers into a buffer that is kept.
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

constexpr std::size_t readSize = 16384;

} // namespace

struct LoadConnection::Wire
{
    explicit Wire(asio::io_context &context)
        : socket(context)
    {
    }

    asio::ip::tcp::socket socket;
    http::request<http::string_body> message;
    std::array<char, readSize> buffer{};
};

LoadConnection::LoadConnection(asio::io_context &context, asio::ip::tcp::endpoint endpoint,
                               Callbacks callbacks)
    : wire(std::make_unique<Wire>(context))
    , endpoint(std::move(endpoint))
    , callbacks(std::move(callbacks))
{
    this->wire->message.version(11);
    this->wire->message.set(http::field::host, this->endpoint.address().to_string());
}

LoadConnection::~LoadConnection() = default;

void LoadConnection::send(const OutgoingRequest &request)
{
    this->busy = true;
    this->reader.reset();
    auto &message = this->wire->message;
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
    if (this->wire->socket.is_open())
        this->write();
    else
        this->connect();
}

void LoadConnection::connect()
{
    this->wire->socket.async_connect(
        this->endpoint, [self = this->shared_from_this(), mine = this->generation](const error_code &error) {
            if (mine != self->generation || !self->busy)
                return;
            if (error)
                return self->fail("connect");
            error_code ignored;
            self->wire->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
}

void LoadConnection::write()
{
    http::async_write(
        this->wire->socket, this->wire->message,
        [self = this->shared_from_this(), mine = this->generation](const error_code &error, std::size_t) {
            if (error && mine == self->generation)
                self->fail("send");
        });
    this->read();
}

void LoadConnection::read()
{
    if (this->reading)
        return;
    this->reading = true;
    this->wire->socket.async_read_some(asio::buffer(this->wire->buffer),
                                       [self = this->shared_from_this(),
                                        mine = this->generation](const error_code &error, std::size_t size) {
                                           if (mine != self->generation)
                                               return;
                                           self->reading = false;
                                           if (error)
                                               return self->fail("closed");
                                           self->received(size);
                                       });
}

void LoadConnection::received(std::size_t size)
{
    if (!this->busy)
        return this->close(); // Bytes that nobody asked for.
    const ReadProgress progress = this->reader.feed(std::string_view(this->wire->buffer.data(), size));
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
    this->wire->socket.close(ignored);
}

} // namespace Sagecrank
