// Implements reading, pipelining and answering the requests of one connection.
#include <LibCore/HttpStatus.h>
#include <LibNet/HttpRequestChecks.h>
#include <LibNet/HttpSession.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <exception>

namespace Sagecrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// Most requests are shorter.
constexpr std::size_t initialReadSize = 2048;

// Per connection, so that a single connection cannot exhaust the node. Beyond it, reading pauses until a
// response has been sent.
constexpr std::size_t maximumPipelinedRequests = 16;

constexpr std::string_view noMemoryForBody = "the bodies of other requests fill the memory";

constexpr std::string_view serverStopping = "the server is shutting down";

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr std::uint32_t statusBadGateway = 502;
constexpr std::uint32_t statusUnavailable = 503;

// Bodies without a stated length are reserved in steps, each as large as all before it and at least this.
constexpr std::uint64_t minimumBodyStep = std::uint64_t{64} << 10;

// By then uploads in progress have been forwarded.
constexpr std::string_view retryAfterSeconds = "1";

// RFC 9110, sections 15.3.5 and 15.4.5.
bool neverHasContent(http::status status)
{
    return status == http::status::no_content || status == http::status::not_modified;
}

class SessionExchange : public HttpExchange
{
public:
    SessionExchange(std::shared_ptr<HttpSession> session, std::uint64_t number)
        : session(std::move(session))
        , number(number)
    {
    }

    void respond(HttpResponse response) override
    {
        this->session->respond(this->number, std::move(response));
    }
    void drop() override { this->session->drop(this->number); }
    void onCallerDisconnected(std::function<void()> hook) override
    {
        this->session->onCallerDisconnected(this->number, std::move(hook));
    }

private:
    std::shared_ptr<HttpSession> session;
    std::uint64_t number;
};

} // namespace

HttpSession::HttpSession(HttpSocket socket, std::shared_ptr<HttpServer::State> server)
    : stream(std::move(socket))
    , server(std::move(server))
    , lingerTimer(this->stream.get_executor())
{
    this->server->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    this->server->pendingResponses -= this->exchanges.size();
    this->server->sessions.erase(this);
}

HttpLimits HttpSession::limits() const
{
    const HttpServerSettings &settings = this->server->settings;
    return settings.currentLimits ? settings.currentLimits() : settings.limits;
}

// A connection may stay idle for long between requests; a request in progress has a shorter timeout.
void HttpSession::awaitRequest()
{
    this->reading = true;
    if (this->buffer.size() != 0)
        return this->readRequest();
    if (this->server->rejectsPartialRequests && this->hasUnreadBytes())
        return this->rejectRequest(statusUnavailable, serverStopping);
    this->stream.expires_after(this->limits().idleTimeout);
    this->awaitingFirstByte = true;
    this->stream.async_read_some(this->buffer.prepare(initialReadSize),
                                 [self = this->shared_from_this()](const ErrorCode &error, std::size_t size) {
                                     self->awaitingFirstByte = false;
                                     if (self->lingering)
                                         return;
                                     if (error)
                                         return self->handleIdleReadError(error);
                                     self->buffer.commit(size);
                                     self->readRequest();
                                 });
}

// The read on an idle connection is cancelled when the server shuts down. A request that has already arrived
// is still served.
void HttpSession::handleIdleReadError(const ErrorCode &error)
{
    const bool cancelled = error == boost::asio::error::operation_aborted;
    ErrorCode ignored; // available() returns 0 on a closed socket.
    if (cancelled && this->stream.socket().available(ignored) != 0)
        return this->awaitRequest();
    // The previous response may still be in transit.
    if (cancelled && this->stream.socket().is_open()) {
        ++this->server->pendingResponses;
        return this->lingerAndClose();
    }
    this->abortConnection();
}

// The header timeout bounds callers that send their headers one byte at a time (slowloris). With the idle
// timeout alone, some thousand of them would occupy all connections.
void HttpSession::readRequest()
{
    if (this->rejectedByShutdown())
        return;
    const HttpLimits limits = this->limits();
    this->reservedBody = {};
    this->parser.emplace();
    this->parser->header_limit(std::min(limits.headerBytes, maximumParsedHeaderBytes));
    this->parser->body_limit(limits.bodyBytes);
    this->stream.expires_after(limits.headerTimeout);
    http::async_read_header(this->stream, this->buffer, *this->parser,
                            [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                if (error)
                                    return self->handleReadError(error);
                                self->readBody();
                            });
}

void HttpSession::readBody()
{
    if (this->lingering)
        return;
    const auto &header = this->parser->get();
    const std::string_view problem = findHeaderError(header);
    if (!problem.empty())
        return this->rejectRequest(400, problem);
    if (this->parser->is_done())
        return this->sendRawPrefix();
    if (this->rejectedByShutdown() || this->respondedBeforeBody())
        return;
    const auto length = this->parser->content_length();
    if (length && !this->reserveBody(*length))
        return this->rejectRequest(statusUnavailable, noMemoryForBody);
    this->stream.expires_after(this->limits().idleTimeout);
    // The caller waits for "100 Continue", which must not be written in the middle of an earlier response.
    if (!beast::iequals(header[http::field::expect], "100-continue"))
        return this->readBodyRest();
    if (this->exchanges.empty())
        return this->sendContinue();
    this->continuePending = true;
}

void HttpSession::sendContinue()
{
    this->continuePending = false;
    boost::asio::async_write(this->stream, boost::asio::buffer(continueResponse),
                             [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                 if (error)
                                     return self->abortConnection();
                                 self->readBodyRest();
                             });
}

void HttpSession::readBodyRest()
{
    readMessage(
        this->stream, this->buffer, *this->parser, SteadyClock::now() + this->limits().idleTimeout,
        [self = this->shared_from_this()](std::size_t bodyBytes) {
            return !self->server->rejectsPartialRequests && self->reserveBody(bodyBytes);
        },
        [self = this->shared_from_this()](const ErrorCode &error) {
            if (error)
                return self->handleReadError(error);
            self->sendRawPrefix();
        });
}

// A read may complete while the server begins to reject partial requests, so this is asked before each read.
bool HttpSession::rejectedByShutdown()
{
    if (this->server->rejectsPartialRequests)
        this->rejectRequest(statusUnavailable, serverStopping);
    return this->server->rejectsPartialRequests;
}

// Returns whether the body may be held up to this size.
bool HttpSession::reserveBody(std::uint64_t bodyBytes)
{
    const auto &hook = this->server->settings.reserveBody;
    BodyReservation &reserved = this->reservedBody;
    if (!hook || bodyBytes <= reserved.bytes)
        return true;
    const std::uint64_t missing = bodyBytes - reserved.bytes;
    const bool hasLength = this->parser->content_length().has_value();
    const std::uint64_t step = hasLength ? missing : std::max({missing, reserved.bytes, minimumBodyStep});
    std::shared_ptr<void> part = hook(step, reserved.bytes + step);
    if (!part)
        return false;
    reserved.parts.push_back(std::move(part));
    reserved.bytes += step;
    return true;
}

bool HttpSession::respondedBeforeBody()
{
    const auto &hook = this->server->settings.respondBeforeBody;
    std::optional<HttpResponse> early = hook ? hook(toHttpRequest(this->parser->get())) : std::nullopt;
    if (!early)
        return false;
    this->respondWithoutHandler(std::move(*early));
    return true;
}

void HttpSession::sendRawPrefix()
{
    if (this->raw.prefixForNextResponse.empty())
        return this->completeRequest();
    this->raw.bytes = std::move(this->raw.prefixForNextResponse);
    this->raw.prefixForNextResponse.clear();
    boost::asio::async_write(this->stream, boost::asio::buffer(this->raw.bytes),
                             [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                 if (error)
                                     return self->abortConnection();
                                 self->completeRequest();
                             });
}

void HttpSession::handleReadError(const ErrorCode &error)
{
    if (this->lingering)
        return;
    const bool cancelled = error == boost::asio::error::operation_aborted && this->stream.socket().is_open();
    const bool notAdmitted = error == boost::asio::error::no_buffer_space;
    if ((cancelled || notAdmitted) && this->rejectedByShutdown())
        return;
    if (notAdmitted)
        return this->rejectRequest(statusUnavailable, noMemoryForBody);
    const std::uint32_t status = statusForReadError(error);
    if (status != 0)
        return this->rejectRequest(status, error.message());
    this->abortConnection();
}

// Runs when a request has been read completely. If the connection has closed meanwhile, nobody awaits a
// response.
void HttpSession::completeRequest()
{
    this->reading = false;
    if (!this->stream.socket().is_open() || this->lingering)
        return;
    http::request<http::string_body> message = this->parser->release();
    ReceivedRequest received;
    received.request = toHttpRequest(message);
    received.request.body = std::move(message.body());
    received.body = std::move(this->reservedBody);
    received.keepAlive = message.keep_alive();
    received.isHead = message.method() == http::verb::head;
    if (this->exchanges.empty() || this->mayPipeline(received.request))
        return this->dispatch(std::move(received));
    this->heldRequest = std::move(received);
    this->watchForDisconnect();
}

void HttpSession::dispatch(ReceivedRequest received)
{
    const std::uint64_t number = ++this->lastRequestNumber;
    Exchange exchange;
    exchange.number = number;
    exchange.keepAlive = received.keepAlive;
    exchange.isHead = received.isHead;
    exchange.body = std::move(received.body);
    this->open(std::move(exchange));
    this->server->handler(std::move(received.request),
                          std::make_shared<SessionExchange>(this->shared_from_this(), number));
    this->continueReading();
}

// If a non-idempotent request ran before an earlier response that closes the connection, its caller would
// assume that it was not read, send it again, and it would run twice. So only idempotent requests start
// before the earlier responses have been sent.
bool HttpSession::mayPipeline(const HttpRequest &request) const
{
    const auto &hook = this->server->settings.mayPipeline;
    return hook && !this->server->closing && hook(request);
}

bool HttpSession::mayReadNextRequest() const
{
    return this->server->settings.mayPipeline && !this->server->closing && !this->heldRequest
           && this->exchanges.size() < maximumPipelinedRequests && this->exchanges.back().keepAlive;
}

// Callers pipeline several lookups on one connection. Reading each only after the previous response would
// serialise them although slots are free. Reading ahead also detects at once that a caller has closed its
// connection.
void HttpSession::continueReading()
{
    if (this->reading || this->exchanges.empty())
        return;
    if (this->buffer.size() != 0 && this->mayReadNextRequest())
        return this->awaitRequest();
    this->watchForDisconnect();
}

// A caller that gives up closes its connection. Without detecting that, its calls would hold their slots
// until they finish.
void HttpSession::watchForDisconnect()
{
    if (this->watchingSocket || this->exchanges.empty())
        return;
    this->watchingSocket = true;
    this->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = this->shared_from_this()](const ErrorCode &error) {
                                         self->watchingSocket = false;
                                         if (!error && !self->reading && !self->exchanges.empty())
                                             self->handleSocketReadable();
                                     });
}

void HttpSession::handleSocketReadable()
{
    switch (this->peek()) {
    case PeekResult::Closed:
        return this->abortConnection();
    case PeekResult::Nothing: // The bytes that woke it have been read since.
        return this->watchForDisconnect();
    case PeekResult::Bytes:
        break;
    }
    // A request that may not be read yet stays in the socket buffer until the current one is answered.
    if (this->mayReadNextRequest())
        this->awaitRequest();
}

void HttpSession::rejectRequest(std::uint32_t status, std::string_view message)
{
    if (this->server->settings.requestRejected)
        this->server->settings.requestRejected(status, message);
    HttpResponse response = makeResponse(status, "text/plain", std::string(message) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", std::string(outcomeNames.name(Outcome::NotRun))});
    if (status == statusUnavailable)
        response.headers.push_back({"Retry-After", std::string(retryAfterSeconds)});
    this->respondWithoutHandler(std::move(response));
}

// The request being read is not passed to the handler; its response is the last one on the connection.
void HttpSession::respondWithoutHandler(HttpResponse response)
{
    this->reading = false;
    this->reservedBody = {};
    this->parser.reset(); // Frees what has been received of the body.
    Exchange exchange;
    exchange.number = ++this->lastRequestNumber;
    exchange.requestUnread = true;
    exchange.response = std::move(response);
    this->open(std::move(exchange));
    this->writeNext();
}

void HttpSession::open(Exchange exchange)
{
    this->exchanges.push_back(std::move(exchange));
    ++this->server->pendingResponses;
}

HttpSession::Exchange *HttpSession::find(std::uint64_t number)
{
    const auto found = std::ranges::find(this->exchanges, number, &Exchange::number);
    return found == this->exchanges.end() || found->response ? nullptr : &*found;
}

void HttpSession::respond(std::uint64_t number, HttpResponse response)
{
    Exchange *exchange = this->find(number);
    if (exchange == nullptr)
        return;
    exchange->onDisconnected = nullptr;
    exchange->response = std::move(response);
    this->writeNext();
}

void HttpSession::drop(std::uint64_t number)
{
    Exchange *exchange = this->find(number);
    if (exchange == nullptr)
        return;
    exchange->onDisconnected = nullptr;
    this->abortConnection();
}

void HttpSession::onCallerDisconnected(std::uint64_t number, std::function<void()> hook)
{
    if (Exchange *exchange = this->find(number))
        exchange->onDisconnected = std::move(hook);
}

// Once the server shuts down, the response to the last dispatched request closes the connection; a request
// held behind it has not run and never will.
void HttpSession::writeNext()
{
    if (this->writing || this->exchanges.empty() || !this->exchanges.front().response)
        return;
    this->writing = true;
    Exchange &first = this->exchanges.front();
    const bool last = this->server->closing && this->exchanges.size() == 1;
    this->writeResponse(first, std::move(*first.response), first.keepAlive && !last);
}

void HttpSession::writeResponse(const Exchange &exchange, HttpResponse response, bool keepAlive)
{
    const Result<void> encoded = this->encodeResponse(std::move(response), keepAlive);
    if (!encoded)
        this->replaceResponse(encoded.error(), keepAlive);
    Response &message = *this->response;
    // A length of zero would be wrong: the responses to GET may have content.
    if (message.body().empty() && (exchange.isHead || neverHasContent(message.result())))
        message.erase(http::field::content_length);
    if (exchange.isHead)
        message.body().clear();
    this->stream.expires_after(this->limits().idleTimeout);
    this->responseHeader = headerBytes(message);
    if (this->server->settings.rewriteResponse)
        return this->writeRaw(keepAlive);
    writeMessage(this->stream, this->responseHeader, message,
                 [self = this->shared_from_this(), keepAlive](const ErrorCode &error, std::size_t) {
                     self->handleWritten(error, keepAlive);
                 });
}

// Beast throws for what it cannot encode, such as a field that is too long or a body of a response that has
// none.
Result<void> HttpSession::encodeResponse(HttpResponse response, bool keepAlive)
{
    if (!isFinalStatus(response.status))
        return makeError(ErrorKind::InvalidInput, "encode response", "",
                         "the status " + std::to_string(response.status)
                             + " is not that of a final response");
    Response &message = this->response.emplace();
    try {
        message.version(11);
        message.result(response.status);
        for (const Header &header : response.headers)
            message.insert(header.name, header.value);
        message.keep_alive(keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
    } catch (const std::exception &problem) {
        return makeError(ErrorKind::InvalidInput, "encode response", "", problem.what());
    }
    return success();
}

void HttpSession::replaceResponse(const Error &problem, bool keepAlive)
{
    if (this->server->settings.requestRejected)
        this->server->settings.requestRejected(statusBadGateway, problem.describe());
    const HttpResponse replacement =
        makeResponse(statusBadGateway, "text/plain", "the response is invalid\n");
    static_cast<void>(this->encodeResponse(replacement, keepAlive)); // It can be encoded.
}

void HttpSession::writeRaw(bool keepAlive)
{
    this->raw = this->server->settings.rewriteResponse(this->responseHeader + this->response->body());
    boost::asio::async_write(
        this->stream, boost::asio::buffer(this->raw.bytes),
        [self = this->shared_from_this(), keepAlive](const ErrorCode &error, std::size_t) {
            self->handleWritten(error, keepAlive && !self->raw.closesConnection);
        });
}

void HttpSession::handleWritten(const ErrorCode &error, bool keepAlive)
{
    this->response.reset();
    this->writing = false;
    if (this->exchanges.empty())
        return; // The connection was aborted meanwhile.
    const bool requestUnread = this->exchanges.front().requestUnread;
    this->exchanges.pop_front();
    const bool last = !error && !keepAlive && !requestUnread && this->exchanges.empty();
    if (last && (this->server->closing || this->hasUnreadBytes()))
        return this->lingerAndClose(); // The response stays pending until the caller has read it.
    if (!error && requestUnread)
        return this->drainAndClose(); // Stays pending until the drain ends.
    --this->server->pendingResponses;
    if (error || !keepAlive)
        return this->abortConnection();
    if (!this->exchanges.empty()) {
        this->writeNext();
        return this->continueReading();
    }
    if (this->heldRequest) {
        ReceivedRequest next = std::move(*this->heldRequest);
        this->heldRequest.reset();
        return this->dispatch(std::move(next));
    }
    if (this->continuePending)
        return this->sendContinue();
    if (!this->reading)
        this->awaitRequest();
}

} // namespace Sagecrank
