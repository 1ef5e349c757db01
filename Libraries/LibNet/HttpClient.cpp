// Implements the HTTP/1.1 client on Boost.Beast.
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpConnectionPool.h>
#include <LibNet/HttpReading.h>
#include <LibNet/HttpResponseChecks.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>
#include <optional>

namespace Sagecrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// Responses to other requests that are skipped before the connection is closed.
constexpr std::uint32_t maximumStaleResponses = 3;

// A server that works for long may report progress with several of them.
constexpr std::uint32_t maximumInterimResponses = 16;

// Covers two round trips and a delayed timer on a busy host.
constexpr Duration idleExpiryMargin = Milliseconds(1000);

// Which request a response belongs to.
enum class ResponseMatch : std::uint8_t {
    ThisRequest,
    OtherRequest, // An earlier one on the same connection.
    NoRequest,    // It states none.
    Interim,      // 1xx: the final response follows.
};

} // namespace

class HttpClientCall : public std::enable_shared_from_this<HttpClientCall>
{
public:
    HttpClientCall(std::shared_ptr<HttpConnectionPool> pool, std::string address, HttpRequest request,
                   const HttpSendOptions &options, HttpClient::ResponseCallback done)
        : pool(std::move(pool))
        , address(std::move(address))
        , correlationHeader(options.correlationHeader)
        , correlationValue(findHeader(request.headers, options.correlationHeader))
        , echoRequired(options.echoRequired)
        , request(std::move(request))
        , done(std::move(done))
    {
    }

    void start(Duration timeout, ConnectionReuse connection)
    {
        this->deadline = SteadyClock::now() + timeout;
        const Result<void> encoded = this->encode();
        if (!encoded)
            return this->failAsync(encoded.error());
        if (connection == ConnectionReuse::Allowed)
            this->connection = this->pool->acquire(this->address, this->correlationValue);
        if (this->connection) {
            this->connection->stream.expires_after(timeout);
            return this->write();
        }
        const Result<tcp::endpoint> endpoint = parseTcpEndpoint(this->address);
        if (!endpoint)
            return this->failAsync(endpoint.error());
        this->connection = this->pool->makeConnection();
        HttpStream &stream = this->connection->stream;
        stream.expires_after(timeout);
        stream.async_connect(endpoint.value(),
                             [self = this->shared_from_this()](const beast::error_code &error) {
                                 if (error)
                                     return self->fail("connect", error);
                                 beast::error_code ignored;
                                 self->connection->stream.socket().set_option(tcp::no_delay(true), ignored);
                                 self->write();
                             });
    }

    // Closing the connection notifies the server; the pending operation then fails and runs the callback.
    void cancel()
    {
        if (this->connection && this->done)
            this->connection->stream.close();
    }

private:
    // Beast throws for what it cannot encode, such as a field that is too long.
    Result<void> encode()
    {
        try {
            this->message.version(11);
            this->message.method_string(this->request.method);
            this->message.target(this->request.target);
            for (const Header &header : this->request.headers)
                this->message.insert(header.name, header.value);
            if (!this->message.count(http::field::host))
                this->message.set(http::field::host, this->address);
            this->message.keep_alive(true);
            this->message.body() = std::move(this->request.body);
            this->message.prepare_payload();
        } catch (const std::exception &problem) {
            return makeError(ErrorKind::InvalidInput, "encode request", this->address, problem.what());
        }
        return success();
    }

    void write()
    {
        this->sent = true;
        this->connection->recordRequest(this->correlationValue);
        this->header = headerBytes(this->message);
        writeMessage(this->connection->stream, this->header, this->message,
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
        this->response.reset();
        this->parser.emplace();
        this->parser->body_limit(this->pool->settings.maximumBodyBytes);
        if (this->message.method() == http::verb::head)
            this->parser->skip(true);
        readHeader(this->connection->stream, this->buffer, *this->parser, this->deadline, checkUnparsedHeader,
                   [self = this->shared_from_this()](const beast::error_code &error) {
                       if (error)
                           return self->failReading(error);
                       self->handleHeader();
                   });
    }

    void handleHeader()
    {
        const std::string_view problem = findHeaderError(this->parser->get());
        if (!problem.empty())
            return this->finishWithFailure(this->readError(problem));
        // Trailers, which Beast adds to the header, are not part of it.
        this->response = toHttpResponse(this->parser->get());
        if (this->parser->is_done())
            return this->handleMessage();
        readMessage(this->connection->stream, this->buffer, *this->parser, this->deadline,
                    [self = this->shared_from_this()](const beast::error_code &error) {
                        if (error)
                            return self->failReading(error);
                        self->handleMessage();
                    });
    }

    void handleMessage()
    {
        if (this->parser->need_eof() && !isCompleteAtEndOfStream(this->writeError))
            return this->failReading(this->writeError);
        switch (this->matchResponse()) {
        case ResponseMatch::ThisRequest:
            return this->finish();
        case ResponseMatch::OtherRequest:
            if (++this->staleResponses <= maximumStaleResponses)
                return this->read();
            return this->finishWithFailure(this->readError("received only responses to other requests"));
        case ResponseMatch::Interim:
            if (++this->interimResponses <= maximumInterimResponses)
                return this->read();
            return this->finishWithFailure(this->readError("received too many interim responses"));
        case ResponseMatch::NoRequest:
            return this->finishWithFailure(this->readError("received a response that names no request"));
        }
    }

    void finish()
    {
        const bool endsWithConnection = this->parser->need_eof();
        http::response<http::string_body> message = this->parser->release();
        HttpResponse response = std::move(*this->response);
        response.body = std::move(message.body());
        response.receivedOn = {this->connection->number, this->connection->requestCount(),
                               this->staleResponses};
        this->connection->stream.expires_never();
        if (message.keep_alive() && !endsWithConnection && this->buffer.size() == 0 && !this->writeError)
            this->pool->release(this->address, std::move(this->connection), this->idleTimeoutFor(message));
        const HttpClient::ResponseCallback callback = std::move(this->done);
        this->done = nullptr;
        callback(nullptr, std::move(response));
    }

    // A server may send a response a second time, late. Without this check, the next request on the
    // connection would receive the response to another caller's request.
    ResponseMatch matchResponse() const
    {
        if (isInterimStatus(this->response->status))
            return ResponseMatch::Interim;
        if (this->correlationValue.empty())
            return ResponseMatch::ThisRequest;
        const auto found = std::ranges::find_if(this->response->headers, [this](const Header &header) {
            return headerNamesEqual(header.name, this->correlationHeader);
        });
        if (found == this->response->headers.end())
            return this->echoRequired ? ResponseMatch::NoRequest : ResponseMatch::ThisRequest;
        return found->value == this->correlationValue ? ResponseMatch::ThisRequest
                                                      : ResponseMatch::OtherRequest;
    }

    Error readError(std::string_view problem) const
    {
        return makeError(ErrorKind::Timeout, "read response", this->address, std::string(problem));
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

    void failReading(const beast::error_code &error)
    {
        if (this->writeError)
            return this->fail("send request", this->writeError);
        this->fail("read response", error);
    }

    void fail(std::string_view operation, const beast::error_code &error)
    {
        this->responseTooLarge = isSizeError(error);
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
        if (this->connection)
            this->connection->stream.close();
        HttpFailure failure{error, this->sent, this->responseTooLarge, std::nullopt};
        if (this->response && this->matchResponse() == ResponseMatch::ThisRequest)
            failure.incompleteResponse = std::move(this->response);
        callback(&failure, {});
    }

    std::shared_ptr<HttpConnectionPool> pool;
    std::string address;
    std::string correlationHeader;
    std::string correlationValue; // Empty when responses are not checked.
    bool echoRequired;
    Instant deadline;
    std::uint32_t staleResponses = 0;
    std::uint32_t interimResponses = 0;
    HttpRequest request;
    HttpClient::ResponseCallback done;        // Empty once it has been called.
    http::request<http::string_body> message; // The encoded request.
    std::string header;                       // Of the message; alive while it is written.
    std::unique_ptr<HttpConnection> connection;
    beast::flat_buffer buffer{maximumUnparsedBytes};
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<HttpResponse> response; // Without its body; empty until a header has been received.
    bool sent = false;                    // Set before the first byte may be sent.
    beast::error_code writeError;
    bool responseTooLarge = false;
};

void HttpClient::Handle::cancel()
{
    if (const auto running = this->call.lock())
        running->cancel();
}

HttpClient::HttpClient(boost::asio::io_context &context, HttpClientSettings settings)
    : pool(std::make_shared<HttpConnectionPool>(context, settings))
{
}

HttpClient::~HttpClient() = default;

HttpClient::Handle HttpClient::send(const std::string &address, HttpRequest request, HttpSendOptions options,
                                    ResponseCallback done)
{
    const auto call =
        std::make_shared<HttpClientCall>(this->pool, address, std::move(request), options, std::move(done));
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
    auto connection = std::make_shared<std::unique_ptr<HttpConnection>>(this->pool->makeConnection());
    HttpStream &stream = (*connection)->stream;
    stream.expires_after(timeout);
    stream.async_connect(endpoint.value(), [pool = this->pool, address, connection,
                                            done = std::move(done)](const beast::error_code &error) {
        if (error)
            return done(error == boost::asio::error::connection_refused ? Reachability::Refused
                                                                        : Reachability::Unknown);
        HttpStream &connected = (*connection)->stream;
        beast::error_code ignored;
        connected.socket().set_option(tcp::no_delay(true), ignored);
        connected.expires_never();
        pool->release(address, std::move(*connection), pool->settings.idleTimeout);
        done(Reachability::Reachable);
    });
}

} // namespace Sagecrank
