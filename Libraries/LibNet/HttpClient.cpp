// Implements the HTTP/1.1 client on Boost.Beast.
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpWire.h>

#include <boost/asio/post.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Sagecrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct HttpClient::Pool
{
    struct IdleConnection
    {
        std::unique_ptr<HttpStream> stream;
        Instant expiresAt;
    };

    Pool(boost::asio::io_context &context, HttpClientSettings settings)
        : context(context)
        , settings(settings)
    {
    }

    std::unique_ptr<HttpStream> acquire(const std::string &address);
    bool hasUsable(const std::string &address) const;
    void release(const std::string &address, std::unique_ptr<HttpStream> stream, Duration idleTimeout);

    boost::asio::io_context &context;
    HttpClientSettings settings;
    std::unordered_map<std::string, std::deque<IdleConnection>> idle; // Newest at the back.
};

namespace {

// Responses to other requests that are skipped before the connection is closed.
constexpr int maximumStaleResponses = 3;

// Covers two round trips and a delayed timer on a busy host.
constexpr Duration idleExpiryMargin = Milliseconds(1000);

// The server may close an idle connection at any time. A connection that has been closed, or that holds
// unsolicited bytes, is not reused: a request sent on it would needlessly end with an unknown outcome.
bool isUsable(HttpStream &stream)
{
    char byte = 0;
    const ssize_t size = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<HttpStream> HttpClient::Pool::acquire(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    const Instant now = SteadyClock::now();
    while (!found->second.empty()) {
        IdleConnection connection = std::move(found->second.back());
        found->second.pop_back();
        if (connection.expiresAt > now && isUsable(*connection.stream))
            return std::move(connection.stream);
    }
    return nullptr;
}

bool HttpClient::Pool::hasUsable(const std::string &address) const
{
    const auto found = this->idle.find(address);
    return found != this->idle.end()
           && std::ranges::any_of(
               found->second, [](const IdleConnection &connection) { return isUsable(*connection.stream); });
}

void HttpClient::Pool::release(const std::string &address, std::unique_ptr<HttpStream> stream,
                               Duration idleTimeout)
{
    std::deque<IdleConnection> &connections = this->idle[address];
    if (connections.size() >= this->settings.maximumIdleConnections)
        connections.pop_front();
    connections.push_back({std::move(stream), SteadyClock::now() + idleTimeout});
}

class HttpClientCall : public std::enable_shared_from_this<HttpClientCall>
{
public:
    HttpClientCall(std::shared_ptr<HttpClient::Pool> pool, std::string address, HttpRequest request,
                   const std::string &correlationHeader, HttpClient::ResponseCallback done)
        : pool(std::move(pool))
        , address(std::move(address))
        , correlationHeader(correlationHeader)
        , correlationValue(findHeader(request.headers, correlationHeader))
        , done(std::move(done))
    {
        this->message.version(11);
        this->message.method_string(request.method);
        this->message.target(request.target);
        for (Header &header : request.headers)
            this->message.insert(header.name, header.value);
        if (!this->message.count(http::field::host))
            this->message.set(http::field::host, this->address);
        this->message.keep_alive(true);
        this->message.body() = std::move(request.body);
        this->message.prepare_payload();
    }

    void start(Duration timeout, ConnectionReuse connection)
    {
        if (connection == ConnectionReuse::Allowed)
            this->stream = this->pool->acquire(this->address);
        if (this->stream) {
            this->stream->expires_after(timeout);
            return this->write();
        }
        const Result<tcp::endpoint> endpoint = parseTcpEndpoint(this->address);
        if (!endpoint)
            return this->failAsync(endpoint.error());
        this->stream = std::make_unique<HttpStream>(this->pool->context);
        this->stream->expires_after(timeout);
        this->stream->async_connect(endpoint.value(),
                                    [self = this->shared_from_this()](const beast::error_code &error) {
                                        if (error)
                                            return self->fail("connect", error);
                                        beast::error_code ignored;
                                        self->stream->socket().set_option(tcp::no_delay(true), ignored);
                                        self->write();
                                    });
    }

    // Closing the connection notifies the server; the pending operation then fails and runs the callback.
    void cancel()
    {
        if (this->stream && this->done)
            this->stream->close();
    }

private:
    void write()
    {
        this->sent = true;
        this->header = headerBytes(this->message);
        writeMessage(*this->stream, this->header, this->message,
                     [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                         if (error == beast::error::timeout || error == boost::asio::error::operation_aborted)
                             return self->fail("send request", error);
                         // A server may reject a large request by its header alone, respond and close. The
                         // rest of the body then cannot be sent, but the response is already there. Without
                         // it, a call that never ran would end with an unknown outcome.
                         self->writeError = error;
                         self->read();
                     });
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(this->pool->settings.maximumBodyBytes);
        if (this->message.method() == http::verb::head)
            this->parser->skip(true);
        http::async_read(*this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (error && self->writeError)
                                 return self->fail("send request", self->writeError);
                             if (error)
                                 return self->fail("read response", error);
                             self->finish();
                         });
    }

    void finish()
    {
        if (this->isStaleResponse() && ++this->staleResponses <= maximumStaleResponses)
            return this->read();
        const bool stale = this->isStaleResponse();
        const bool endsWithConnection = this->parser->need_eof();
        http::response<http::string_body> message = this->parser->release();
        if (stale)
            return this->finishWithFailure(makeError(ErrorKind::Timeout, "read response", this->address,
                                                     "received only responses to other requests"));
        HttpResponse response;
        response.status = message.result_int();
        response.headers.reserve(8);
        for (const auto &field : message)
            response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        response.body = std::move(message.body());
        this->stream->expires_never();
        if (message.keep_alive() && !endsWithConnection && this->buffer.size() == 0 && !this->writeError)
            this->pool->release(this->address, std::move(this->stream), this->idleTimeoutFor(message));
        const HttpClient::ResponseCallback callback = std::move(this->done);
        this->done = nullptr;
        callback(nullptr, std::move(response));
    }

    // An upstream may send a response a second time, late. Without this check, the next request on the
    // connection would receive the response to another caller's request.
    bool isStaleResponse() const
    {
        if (this->correlationValue.empty())
            return false;
        const auto &message = this->parser->get();
        const auto found = message.find(this->correlationHeader);
        return found != message.end() && std::string_view(found->value()) != this->correlationValue;
    }

    // If the server closes an idle connection while a request is in flight, the outcome of the call is
    // unknown. So connections are dropped one second before the server's advertised idle timeout.
    Duration idleTimeoutFor(const http::response<http::string_body> &message) const
    {
        const std::string_view keepAlive(message[http::field::keep_alive]);
        const std::size_t at = keepAlive.find("timeout=");
        if (at == std::string_view::npos)
            return this->pool->settings.idleTimeout;
        const Duration advertised =
            std::chrono::seconds(std::atoi(std::string(keepAlive.substr(at + 8)).c_str()));
        return std::min<Duration>(this->pool->settings.idleTimeout, advertised - idleExpiryMargin);
    }

    void fail(std::string_view operation, const beast::error_code &error)
    {
        const bool timedOut = error == beast::error::timeout;
        const ErrorKind kind = timedOut || this->sent ? ErrorKind::Timeout : ErrorKind::Unavailable;
        this->finishWithFailure(makeError(kind, std::string(operation), this->address, error.message()));
    }

    void failAsync(const Error &error)
    {
        boost::asio::post(this->pool->context,
                          [self = this->shared_from_this(), error] { self->finishWithFailure(error); });
    }

    void finishWithFailure(const Error &error)
    {
        if (!this->done)
            return;
        const HttpClient::ResponseCallback callback = std::move(this->done);
        this->done = nullptr;
        if (this->stream)
            this->stream->close();
        const HttpFailure failure{error, this->sent};
        callback(&failure, {});
    }

    std::shared_ptr<HttpClient::Pool> pool;
    std::string address;
    std::string correlationHeader;
    std::string correlationValue; // Empty when responses are not checked.
    int staleResponses = 0;
    HttpClient::ResponseCallback done; // Empty once it has been called.
    http::request<http::string_body> message;
    std::string header; // Of the message; alive while it is written.
    std::unique_ptr<HttpStream> stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    bool sent = false; // Set before the first byte may be sent.
    beast::error_code writeError;
};

void HttpClient::Handle::cancel()
{
    if (const auto running = this->call.lock())
        running->cancel();
}

HttpClient::HttpClient(boost::asio::io_context &context, HttpClientSettings settings)
    : pool(std::make_shared<Pool>(context, settings))
{
}

HttpClient::~HttpClient() = default;

HttpClient::Handle HttpClient::send(const std::string &address, HttpRequest request, HttpSendOptions options,
                                    ResponseCallback done)
{
    const auto call = std::make_shared<HttpClientCall>(this->pool, address, std::move(request),
                                                       options.correlationHeader, std::move(done));
    call->start(options.timeout, options.connectionReuse);
    return Handle(call);
}

void HttpClient::checkReachable(const std::string &address, Duration timeout,
                                std::function<void(Reachability)> done)
{
    const Result<tcp::endpoint> endpoint = parseTcpEndpoint(address);
    const bool reachable = this->pool->hasUsable(address);
    if (reachable || !endpoint) {
        const Reachability found = reachable ? Reachability::Reachable : Reachability::Unknown;
        return boost::asio::post(this->pool->context, [done = std::move(done), found] { done(found); });
    }
    auto stream =
        std::make_shared<std::unique_ptr<HttpStream>>(std::make_unique<HttpStream>(this->pool->context));
    HttpStream &connecting = **stream;
    connecting.expires_after(timeout);
    connecting.async_connect(endpoint.value(), [pool = this->pool, address, stream,
                                                done = std::move(done)](const beast::error_code &error) {
        if (error)
            return done(error == boost::asio::error::connection_refused ? Reachability::Refused
                                                                        : Reachability::Unknown);
        beast::error_code ignored;
        (*stream)->socket().set_option(tcp::no_delay(true), ignored);
        (*stream)->expires_never();
        pool->release(address, std::move(*stream), pool->settings.idleTimeout);
        done(Reachability::Reachable);
    });
}

} // namespace Sagecrank
