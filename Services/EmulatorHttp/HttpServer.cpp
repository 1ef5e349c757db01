// The server's connections. A read is always pending while a request is worked on, so that a caller that
// closes its connection is noticed at once and its work can be cancelled.
#include <EmulatorHttp/HttpServer.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <charconv>
#include <optional>

namespace Sagecrank {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readSize = 8192;
constexpr std::uint64_t maximumBody = 16'777'216; // A section of configuration is far smaller.
constexpr std::uint32_t maximumHeader = 16'384;

class Exchange;

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Tcp::socket socket, asio::io_context &context, HttpHandler handler)
        : socket(std::move(socket))
        , ioContext(context)
        , handler(std::move(handler))
    {
    }

    void start();
    void answer(Exchange *from, HttpResponse response);
    void drop(Exchange *from);
    asio::io_context &context() { return this->ioContext; }

private:
    void freshParser();
    void read();
    void onRead(error_code error, std::size_t size);
    void parse();
    void refuseMalformed();
    void write(HttpResponse answer, bool headOnly);
    void onWritten(error_code error);
    void close();

    Tcp::socket socket;
    asio::io_context &ioContext;
    HttpHandler handler;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::shared_ptr<Exchange> current; // The request that is being worked on; at most one.
    bool reading = false;              // At most one read is pending.
    bool keepAlive = true;
};

class Exchange : public HttpExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<Connection> connection, http::request<http::string_body> request)
        : connection(std::move(connection))
        , request(std::move(request))
    {
    }

    std::string_view method() const override
    {
        return {this->request.method_string().data(), this->request.method_string().size()};
    }
    std::string_view target() const override
    {
        return {this->request.target().data(), this->request.target().size()};
    }
    std::string_view body() const override { return this->request.body(); }
    std::string_view field(std::string_view name) const override
    {
        const auto value = this->request[beast::string_view(name.data(), name.size())];
        return {value.data(), value.size()};
    }
    asio::io_context &context() override { return this->connection->context(); }

    void answer(HttpResponse response) override
    {
        asio::dispatch(this->connection->context(),
                       [self = this->shared_from_this(), response = std::move(response)]() mutable {
                           self->connection->answer(self.get(), std::move(response));
                       });
    }

    void drop() override
    {
        asio::dispatch(this->connection->context(),
                       [self = this->shared_from_this()] { self->connection->drop(self.get()); });
    }

    void whenGone(std::function<void()> hook) override { this->goneHook = std::move(hook); }

    void gone()
    {
        const auto hook = std::exchange(this->goneHook, nullptr);
        if (hook)
            hook();
    }

    void forgetHook() { this->goneHook = nullptr; }
    bool wantsKeepAlive() const { return this->request.keep_alive(); }
    bool isHead() const { return this->request.method() == http::verb::head; }

private:
    std::shared_ptr<Connection> connection;
    http::request<http::string_body> request;
    std::function<void()> goneHook;
};

void Connection::start()
{
    error_code ignored;
    this->socket.set_option(Tcp::no_delay(true), ignored);
    this->freshParser();
    this->read();
}

void Connection::freshParser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(maximumBody);
    this->parser->header_limit(maximumHeader);
}

void Connection::read()
{
    if (this->reading || !this->socket.is_open())
        return;
    this->reading = true;
    this->socket.async_read_some(
        this->buffer.prepare(readSize),
        [self = this->shared_from_this()](error_code error, std::size_t size) { self->onRead(error, size); });
}

void Connection::onRead(error_code error, std::size_t size)
{
    this->reading = false;
    if (error) {
        this->close();
        return;
    }
    this->buffer.commit(size);
    if (this->current)
        return; // A pipelined request waits in the buffer; no more is read until the first is answered.
    this->parse();
}

void Connection::parse()
{
    while (this->buffer.size() > 0) {
        error_code error;
        const std::size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == http::error::need_more)
            break;
        if (error) {
            this->refuseMalformed();
            return;
        }
        if (this->parser->is_done()) {
            this->current = std::make_shared<Exchange>(this->shared_from_this(), this->parser->release());
            this->freshParser();
            this->keepAlive = this->current->wantsKeepAlive();
            this->read();
            this->handler(this->current);
            return;
        }
        if (used == 0)
            break;
    }
    this->read();
}

void Connection::refuseMalformed()
{
    this->keepAlive = false;
    this->write(HttpResponse{400, "text/plain", {}, "the request is malformed or too large\n"}, false);
}

void Connection::answer(Exchange *from, HttpResponse answer)
{
    if (this->current.get() != from)
        return;
    from->forgetHook();
    this->write(std::move(answer), from->isHead());
}

void Connection::write(HttpResponse answer, bool headOnly)
{
    this->response = {};
    this->response.version(11);
    this->response.result(answer.status);
    this->response.keep_alive(this->keepAlive);
    this->response.set(http::field::content_type, answer.contentType);
    for (const auto &[name, value] : answer.fields)
        this->response.set(name, value);
    this->response.body() = std::move(answer.body);
    this->response.prepare_payload();
    if (headOnly)
        this->response.body().clear();
    http::async_write(
        this->socket, this->response,
        [self = this->shared_from_this()](error_code error, std::size_t) { self->onWritten(error); });
}

void Connection::onWritten(error_code error)
{
    this->current.reset();
    if (error || !this->keepAlive) {
        this->close();
        return;
    }
    this->parse();
}

void Connection::drop(Exchange *from)
{
    if (this->current.get() != from)
        return;
    from->forgetHook();
    this->close();
}

void Connection::close()
{
    error_code ignored;
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    const std::shared_ptr<Exchange> open = std::exchange(this->current, nullptr);
    if (open)
        open->gone();
}

} // namespace

class HttpServer::Acceptor : public std::enable_shared_from_this<HttpServer::Acceptor>
{
public:
    Acceptor(std::vector<asio::io_context *> contexts, HttpHandler handler)
        : contexts(std::move(contexts))
        , acceptor(*this->contexts.front())
        , handler(std::move(handler))
    {
    }

    Result<void> listen(const Tcp::endpoint &endpoint)
    {
        error_code error;
        this->acceptor.open(endpoint.protocol(), error);
        if (!error)
            this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (!error)
            this->acceptor.bind(endpoint, error);
        if (!error)
            this->acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return makeError(ErrorKind::Unavailable, "listen", endpoint.address().to_string(),
                             error.message());
        this->accept();
        return success();
    }

    Tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }

    void stop()
    {
        asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
            error_code ignored;
            self->acceptor.close(ignored);
        });
    }

private:
    void accept()
    {
        asio::io_context &context = *this->contexts[this->next++ % this->contexts.size()];
        this->acceptor.async_accept(
            context, [self = this->shared_from_this(), &context](error_code error, Tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    auto connection = std::make_shared<Connection>(std::move(socket), context, self->handler);
                    asio::post(context, [connection] { connection->start(); });
                }
                self->accept();
            });
    }

    std::vector<asio::io_context *> contexts;
    Tcp::acceptor acceptor;
    HttpHandler handler;
    std::size_t next = 0;
};

HttpServer::HttpServer(std::vector<asio::io_context *> contexts, HttpHandler handler)
    : acceptor(std::make_shared<Acceptor>(std::move(contexts), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->acceptor->stop();
}

Result<void> HttpServer::listen(const Tcp::endpoint &endpoint)
{
    return this->acceptor->listen(endpoint);
}

Tcp::endpoint HttpServer::endpoint() const
{
    return this->acceptor->endpoint();
}

Result<Tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto malformed = [&] {
        return makeError(ErrorKind::InvalidInput, "read address", std::string(text), "expected ip:port");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return malformed();
    error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error)
        return malformed();
    return Tcp::endpoint(address, port);
}

} // namespace Sagecrank
