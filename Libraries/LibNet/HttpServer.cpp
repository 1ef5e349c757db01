// The server's side of HTTP/1.1 by Beast.
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpRequestChecks.h>
#include <LibNet/HttpServer.h>
#include <LibNet/HttpWire.h>

#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <optional>
#include <unordered_set>

namespace Sagecrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

class Session;

} // namespace

struct HttpServer::State
{
    State(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
        : settings(settings)
        , handler(std::move(handler))
        , context(context)
        , acceptor(context)
    {
    }

    HttpServerSettings settings;
    HttpHandler handler;
    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    std::unordered_set<Session *> sessions; // Open ones; each takes itself out when it ends.
    bool closing = false;
};

namespace {

// Two seconds carry over a megabyte on the slowest link (5 Mbit/s); a caller that sends for longer is cut
// off.
constexpr Milliseconds longestLinger{2000};
constexpr std::size_t thrownAwayAtOnce = 16'384;

// What is read at first; most requests are shorter.
constexpr std::size_t usualRequest = 2048;

constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(HttpSocket socket, std::shared_ptr<HttpServer::State> server);
    ~Session() { this->server->sessions.erase(this); }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void awaitRequest();
    void respond(std::uint64_t exchange, HttpResponse response);
    void drop(std::uint64_t exchange);
    void onAbandoned(std::uint64_t exchange, std::function<void()> hook);
    void close();
    void closeWhenIdle();

private:
    HttpLimits limits() const;
    void readRequest();
    void readBody();
    void readRest();
    void readFailed(const beast::error_code &error);
    void sendOwed();
    bool answeredBeforeBody();
    void handleRequest();
    void watchForClose();
    void checkForClose();
    void refuse(std::uint32_t status, std::string_view message);
    void closeAfterReading();
    void throwAwayNext();
    void writeResponse(HttpResponse response, bool keepAlive);
    void writeRaw(bool keepAlive);
    void written(const beast::error_code &error, bool keepAlive);

    HttpStream stream;
    std::shared_ptr<HttpServer::State> server;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::string_body>> response; // Alive while it is written.
    std::string responseHeader;                                // The same.
    RawAnswer raw; // Of a stand-in; its `beforeNext` waits for the next request.
    std::function<void()> abandoned;
    std::uint64_t currentExchange = 0; // Counts requests, so that a late or second answer is told apart.
    bool waitingForAnswer = false;
    bool callerKeepsAlive = false;
    bool headOnly = false; // A HEAD request is answered with the headers of the GET and no body.
    bool watching = false;
    bool unreadLeft = false;     // It was refused before it was read to its end.
    bool readsFirstByte = false; // Nothing of a next request has been read.
};

class SessionExchange : public HttpExchange
{
public:
    SessionExchange(std::shared_ptr<Session> session, std::uint64_t number)
        : session(std::move(session))
        , number(number)
    {
    }

    void respond(HttpResponse response) override
    {
        this->session->respond(this->number, std::move(response));
    }
    void drop() override { this->session->drop(this->number); }
    void onAbandoned(std::function<void()> hook) override
    {
        this->session->onAbandoned(this->number, std::move(hook));
    }

private:
    std::shared_ptr<Session> session;
    std::uint64_t number;
};

Session::Session(HttpSocket socket, std::shared_ptr<HttpServer::State> server)
    : stream(std::move(socket))
    , server(std::move(server))
{
    this->server->sessions.insert(this);
}

HttpLimits Session::limits() const
{
    const HttpServerSettings &settings = this->server->settings;
    return settings.currentLimits ? settings.currentLimits() : settings.limits;
}

// A connection may rest for long between requests; a request that has begun has less time.
void Session::awaitRequest()
{
    if (this->buffer.size() != 0)
        return this->readRequest();
    this->stream.expires_after(this->limits().idleTimeout);
    this->readsFirstByte = true;
    this->stream.async_read_some(
        this->buffer.prepare(usualRequest),
        [self = this->shared_from_this()](const beast::error_code &error, std::size_t size) {
            self->readsFirstByte = false;
            if (error)
                return self->close();
            self->buffer.commit(size);
            self->readRequest();
        });
}

// Failure: a caller sends its headers a byte at a time. Symptom: it holds a connection for as long as one
// that rests, and some thousand of them keep everybody else out.
void Session::readRequest()
{
    const HttpLimits limits = this->limits();
    this->parser.emplace();
    this->parser->header_limit(limits.headerBytes);
    this->parser->body_limit(limits.bodyBytes);
    this->stream.expires_after(limits.headerTimeout);
    http::async_read_header(this->stream, this->buffer, *this->parser,
                            [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                                if (error)
                                    return self->readFailed(error);
                                self->readBody();
                            });
}

void Session::readBody()
{
    const auto &header = this->parser->get();
    const std::string_view problem = headerProblem(header);
    if (!problem.empty())
        return this->refuse(400, problem);
    if (this->parser->is_done())
        return this->sendOwed();
    if (this->answeredBeforeBody())
        return;
    this->stream.expires_after(this->limits().idleTimeout);
    // A caller that asks before it sends its body waits for this word.
    if (beast::iequals(header[http::field::expect], "100-continue")) {
        boost::asio::async_write(
            this->stream, boost::asio::buffer(continueAnswer),
            [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                if (error)
                    return self->close();
                self->readRest();
            });
        return;
    }
    this->readRest();
}

void Session::readRest()
{
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                         if (error)
                             return self->readFailed(error);
                         self->sendOwed();
                     });
}

bool Session::answeredBeforeBody()
{
    const auto &hook = this->server->settings.answerBeforeBody;
    std::optional<HttpResponse> early = hook ? hook(headerOf(this->parser->get())) : std::nullopt;
    if (!early)
        return false;
    this->unreadLeft = true;
    this->writeResponse(std::move(*early), false);
    return true;
}

void Session::sendOwed()
{
    if (this->raw.beforeNext.empty())
        return this->handleRequest();
    this->raw.bytes = std::move(this->raw.beforeNext);
    this->raw.beforeNext.clear();
    boost::asio::async_write(this->stream, boost::asio::buffer(this->raw.bytes),
                             [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
                                 if (error)
                                     return self->close();
                                 self->handleRequest();
                             });
}

void Session::readFailed(const beast::error_code &error)
{
    const std::uint32_t status = statusOfReadError(error);
    if (status != 0)
        return this->refuse(status, error.message());
    this->close();
}

void Session::handleRequest()
{
    this->stream.expires_never();
    http::request<http::string_body> message = this->parser->release();
    HttpRequest request = headerOf(message);
    request.body = std::move(message.body());
    this->callerKeepsAlive = message.keep_alive();
    this->headOnly = message.method() == http::verb::head;
    this->waitingForAnswer = true;
    ++this->currentExchange;
    this->server->handler(std::move(request),
                          std::make_shared<SessionExchange>(this->shared_from_this(), this->currentExchange));
    this->watchForClose();
}

void Session::respond(std::uint64_t exchange, HttpResponse response)
{
    if (!this->waitingForAnswer || exchange != this->currentExchange)
        return;
    this->waitingForAnswer = false;
    this->abandoned = nullptr;
    this->writeResponse(std::move(response), this->callerKeepsAlive && !this->server->closing);
}

void Session::drop(std::uint64_t exchange)
{
    if (!this->waitingForAnswer || exchange != this->currentExchange)
        return;
    this->waitingForAnswer = false;
    this->abandoned = nullptr;
    this->close();
}

void Session::onAbandoned(std::uint64_t exchange, std::function<void()> hook)
{
    if (this->waitingForAnswer && exchange == this->currentExchange)
        this->abandoned = std::move(hook);
}

// A caller that gives up closes its connection; without a watch its call would hold a slot to the end.
void Session::watchForClose()
{
    if (!this->waitingForAnswer || this->watching)
        return;
    this->watching = true;
    this->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = this->shared_from_this()](const beast::error_code &error) {
                                         self->watching = false;
                                         if (!error && self->waitingForAnswer)
                                             self->checkForClose();
                                     });
}

void Session::checkForClose()
{
    char byte = 0;
    const ssize_t size = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool closed = size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    // Bytes of a next request are left alone until this one is answered. With none there, the event was for
    // bytes that have been read since, and the watch goes on.
    if (!closed)
        return size < 0 ? this->watchForClose() : void();
    this->waitingForAnswer = false;
    const std::function<void()> hook = std::move(this->abandoned);
    this->abandoned = nullptr;
    this->close();
    if (hook)
        hook();
}

void Session::refuse(std::uint32_t status, std::string_view message)
{
    HttpResponse response = makeResponse(status, "text/plain", std::string(message) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", std::string(outcomeNames.name(Outcome::NotRun))});
    this->unreadLeft = true;
    this->writeResponse(std::move(response), false);
}

// Failure: a request is refused while its body is still coming, and the connection is closed with bytes
// unread. Symptom: the reset that follows overtakes the answer, and the caller never learns what was wrong.
// So only this side's sending ends; what comes is thrown away until the caller closes, for a bounded time.
void Session::closeAfterReading()
{
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(longestLinger);
    this->throwAwayNext();
}

void Session::throwAwayNext()
{
    this->buffer.clear();
    this->stream.async_read_some(
        this->buffer.prepare(thrownAwayAtOnce),
        [self = this->shared_from_this()](const beast::error_code &error, std::size_t) {
            if (error)
                return self->close();
            self->throwAwayNext();
        });
}

void Session::writeResponse(HttpResponse response, bool keepAlive)
{
    http::response<http::string_body> &message = this->response.emplace();
    message.version(11);
    message.result(response.status);
    for (Header &header : response.headers)
        message.insert(header.name, header.value);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (this->headOnly)
        message.body().clear();
    this->stream.expires_after(this->limits().idleTimeout);
    this->responseHeader = headerBytes(message);
    if (this->server->settings.rewriteAnswer)
        return this->writeRaw(keepAlive);
    writeMessage(this->stream, this->responseHeader, message,
                 [self = this->shared_from_this(), keepAlive](const beast::error_code &error, std::size_t) {
                     self->written(error, keepAlive);
                 });
}

void Session::writeRaw(bool keepAlive)
{
    this->raw = this->server->settings.rewriteAnswer(this->responseHeader + this->response->body());
    boost::asio::async_write(
        this->stream, boost::asio::buffer(this->raw.bytes),
        [self = this->shared_from_this(), keepAlive](const beast::error_code &error, std::size_t) {
            self->written(error, keepAlive && !self->raw.closes);
        });
}

void Session::written(const beast::error_code &error, bool keepAlive)
{
    this->response.reset();
    if (!error && this->unreadLeft)
        return this->closeAfterReading();
    if (error || !keepAlive)
        return this->close();
    this->awaitRequest();
}

// A request that has come in part is read to its end and answered.
void Session::closeWhenIdle()
{
    if (this->readsFirstByte && this->buffer.size() == 0)
        this->close();
}

void Session::close()
{
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

void acceptNext(const std::shared_ptr<HttpServer::State> &state)
{
    state->acceptor.async_accept(
        state->context.get_executor(), [state](const beast::error_code &error, HttpSocket socket) {
            if (!state->acceptor.is_open())
                return;
            // Above the limit a connection is closed at once: those that are served keep their memory.
            const bool room = state->sessions.size() < state->settings.maximumConnections;
            if (!error && room) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<Session>(std::move(socket), state)->awaitRequest();
            }
            acceptNext(state);
        });
}

} // namespace

HttpServer::HttpServer(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
    : state(std::make_shared<State>(context, settings, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->stopAccepting();
}

Result<void> HttpServer::listen(const std::string &address)
{
    const tcp::endpoint endpoint = TRY(parseTcpEndpoint(address, true));
    TRY_VOID(openListener(this->state->acceptor, endpoint, this->state->settings.sharePort));
    acceptNext(this->state);
    return success();
}

std::string HttpServer::address() const
{
    beast::error_code ignored;
    return addressText(this->state->acceptor.local_endpoint(ignored));
}

void HttpServer::askToClose()
{
    this->state->closing = true;
}

// Failure: a caller sends a request on a kept connection while this process ends. Symptom: it is passed on
// and its connection closed without an answer. Connections without a request under way are closed here, and
// the others after their answer, so that nothing new can come.
void HttpServer::stopAccepting()
{
    this->askToClose();
    beast::error_code ignored;
    this->state->acceptor.close(ignored);
    const std::unordered_set<Session *> open = this->state->sessions;
    for (Session *session : open)
        session->closeWhenIdle();
}

void HttpServer::closeAll()
{
    this->stopAccepting();
    const std::unordered_set<Session *> open = this->state->sessions;
    for (Session *session : open)
        session->close();
}

} // namespace Sagecrank
