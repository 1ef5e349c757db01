// Reading ahead, running and answering the requests of one connection.
#include <LibNet/HttpRequestChecks.h>
#include <LibNet/HttpSession.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace Sagecrank {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// What is read at first; most requests are shorter.
constexpr std::size_t usualRequest = 2048;

// Of one connection at a time. A caller that sends more waits for answers; one connection cannot fill a node.
constexpr std::size_t mostExchanges = 16;

constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

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

// A connection may rest for long between requests; a request that has begun has less time.
void HttpSession::awaitRequest()
{
    this->reading = true;
    if (this->buffer.size() != 0)
        return this->readRequest();
    this->stream.expires_after(this->limits().idleTimeout);
    this->readsFirstByte = true;
    this->stream.async_read_some(this->buffer.prepare(usualRequest),
                                 [self = this->shared_from_this()](const ErrorCode &error, std::size_t size) {
                                     self->readsFirstByte = false;
                                     if (self->lingers)
                                         return;
                                     if (error)
                                         return self->readEnded(error);
                                     self->buffer.commit(size);
                                     self->readRequest();
                                 });
}

// The read of an idle connection is cancelled when the server closes. A request that is there by then is
// still served.
void HttpSession::readEnded(const ErrorCode &error)
{
    const bool cancelled = error == boost::asio::error::operation_aborted;
    ErrorCode unreadable; // Nothing is there on a closed socket.
    if (cancelled && this->stream.socket().available(unreadable) != 0)
        return this->awaitRequest();
    // The answer before may still be on its way.
    if (cancelled && this->stream.socket().is_open()) {
        ++this->server->pendingResponses;
        return this->closeWithoutReading();
    }
    this->giveUp();
}

// Failure: a caller sends its headers a byte at a time. Symptom: it holds a connection for as long as one
// that rests, and some thousand of them keep everybody else out.
void HttpSession::readRequest()
{
    const HttpLimits limits = this->limits();
    this->parser.emplace();
    this->parser->header_limit(limits.headerBytes);
    this->parser->body_limit(limits.bodyBytes);
    this->stream.expires_after(limits.headerTimeout);
    http::async_read_header(this->stream, this->buffer, *this->parser,
                            [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                if (error)
                                    return self->readFailed(error);
                                self->readBody();
                            });
}

void HttpSession::readBody()
{
    if (this->lingers)
        return;
    const auto &header = this->parser->get();
    const std::string_view problem = headerProblem(header);
    if (!problem.empty())
        return this->refuse(400, problem);
    if (this->parser->is_done())
        return this->sendOwed();
    if (this->answeredBeforeBody())
        return;
    this->stream.expires_after(this->limits().idleTimeout);
    // A caller that asks before it sends its body waits for this word, which must not stand within an answer.
    if (!beast::iequals(header[http::field::expect], "100-continue"))
        return this->readRest();
    if (this->exchanges.empty())
        return this->sendContinue();
    this->continueOwed = true;
}

void HttpSession::sendContinue()
{
    this->continueOwed = false;
    boost::asio::async_write(this->stream, boost::asio::buffer(continueAnswer),
                             [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                 if (error)
                                     return self->giveUp();
                                 self->readRest();
                             });
}

void HttpSession::readRest()
{
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                         if (error)
                             return self->readFailed(error);
                         self->sendOwed();
                     });
}

bool HttpSession::answeredBeforeBody()
{
    const auto &hook = this->server->settings.respondBeforeBody;
    std::optional<HttpResponse> early = hook ? hook(headerOf(this->parser->get())) : std::nullopt;
    if (!early)
        return false;
    this->answerAtOnce(std::move(*early));
    return true;
}

void HttpSession::sendOwed()
{
    if (this->raw.prefixForNextResponse.empty())
        return this->take();
    this->raw.bytes = std::move(this->raw.prefixForNextResponse);
    this->raw.prefixForNextResponse.clear();
    boost::asio::async_write(this->stream, boost::asio::buffer(this->raw.bytes),
                             [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                 if (error)
                                     return self->giveUp();
                                 self->take();
                             });
}

void HttpSession::readFailed(const ErrorCode &error)
{
    if (this->lingers)
        return;
    const std::uint32_t status = statusOfReadError(error);
    if (status != 0)
        return this->refuse(status, error.message());
    this->giveUp();
}

// A whole request has come. One whose connection was closed meanwhile has nobody to answer.
void HttpSession::take()
{
    this->reading = false;
    if (!this->stream.socket().is_open() || this->lingers)
        return;
    http::request<http::string_body> message = this->parser->release();
    Received received;
    received.request = headerOf(message);
    received.request.body = std::move(message.body());
    received.keepAlive = message.keep_alive();
    received.headOnly = message.method() == http::verb::head;
    if (this->exchanges.empty() || this->mayPipeline(received.request))
        return this->begin(std::move(received));
    this->held = std::move(received);
    this->watch();
}

void HttpSession::begin(Received received)
{
    const std::uint64_t number = ++this->lastNumber;
    Exchange exchange;
    exchange.number = number;
    exchange.keepAlive = received.keepAlive;
    exchange.headOnly = received.headOnly;
    this->open(std::move(exchange));
    this->server->handler(std::move(received.request),
                          std::make_shared<SessionExchange>(this->shared_from_this(), number));
    this->readOn();
}

// Failure: a request that may run only once is begun behind another whose answer closes the connection.
// Symptom: its caller takes it for unread and sends it again, and it runs twice. So only what may run again
// is begun before the answers ahead of it have left.
bool HttpSession::mayPipeline(const HttpRequest &request) const
{
    const auto &hook = this->server->settings.mayPipeline;
    return hook && !this->server->closing && hook(request);
}

bool HttpSession::mayReadBehind() const
{
    return this->server->settings.mayPipeline && !this->server->closing && !this->held
           && this->exchanges.size() < mostExchanges && this->exchanges.back().keepAlive;
}

// Load: callers that send several lookups at once on a connection. Harm of reading each only after the answer
// before it: they wait for one another, although slots are free. Reading on also shows at once when a caller
// has closed its connection.
void HttpSession::readOn()
{
    if (this->reading || this->exchanges.empty())
        return;
    if (this->buffer.size() != 0 && this->mayReadBehind())
        return this->awaitRequest();
    this->watch();
}

// A caller that gives up closes its connection; without a watch its calls would hold slots to the end.
void HttpSession::watch()
{
    if (this->watching || this->exchanges.empty())
        return;
    this->watching = true;
    this->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = this->shared_from_this()](const ErrorCode &error) {
                                         self->watching = false;
                                         if (!error && !self->reading && !self->exchanges.empty())
                                             self->lookAtSocket();
                                     });
}

void HttpSession::lookAtSocket()
{
    switch (this->peek()) {
    case Peeked::Closed:
        return this->giveUp();
    case Peeked::Nothing: // The event was for bytes that have been read since.
        return this->watch();
    case Peeked::Bytes:
        break;
    }
    // Bytes of a request that may not be read yet are left alone until this one is answered.
    if (this->mayReadBehind())
        this->awaitRequest();
}

void HttpSession::refuse(std::uint32_t status, std::string_view message)
{
    HttpResponse response = makeResponse(status, "text/plain", std::string(message) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", std::string(outcomeNames.name(Outcome::NotRun))});
    this->answerAtOnce(std::move(response));
}

// The request that is being read is not handed on; its answer is the last one of the connection.
void HttpSession::answerAtOnce(HttpResponse response)
{
    this->reading = false;
    Exchange exchange;
    exchange.number = ++this->lastNumber;
    exchange.unreadLeft = true;
    exchange.answer = std::move(response);
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
    return found == this->exchanges.end() || found->answer ? nullptr : &*found;
}

void HttpSession::respond(std::uint64_t number, HttpResponse response)
{
    Exchange *exchange = this->find(number);
    if (exchange == nullptr)
        return;
    exchange->abandoned = nullptr;
    exchange->answer = std::move(response);
    this->writeNext();
}

void HttpSession::drop(std::uint64_t number)
{
    Exchange *exchange = this->find(number);
    if (exchange == nullptr)
        return;
    exchange->abandoned = nullptr;
    this->giveUp();
}

void HttpSession::onCallerDisconnected(std::uint64_t number, std::function<void()> hook)
{
    if (Exchange *exchange = this->find(number))
        exchange->abandoned = std::move(hook);
}

// Once the server closes, the answer to the last request that has begun asks the caller to go; what is held
// behind it has not run and never will.
void HttpSession::writeNext()
{
    if (this->writing || this->exchanges.empty() || !this->exchanges.front().answer)
        return;
    this->writing = true;
    Exchange &first = this->exchanges.front();
    const bool last = this->server->closing && this->exchanges.size() == 1;
    this->writeResponse(first, std::move(*first.answer), first.keepAlive && !last);
}

void HttpSession::writeResponse(const Exchange &exchange, HttpResponse response, bool keepAlive)
{
    http::response<http::string_body> &message = this->response.emplace();
    message.version(11);
    message.result(response.status);
    for (const Header &header : response.headers)
        message.insert(header.name, header.value);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (exchange.headOnly)
        message.body().clear();
    this->stream.expires_after(this->limits().idleTimeout);
    this->responseHeader = headerBytes(message);
    if (this->server->settings.rewriteResponse)
        return this->writeRaw(keepAlive);
    writeMessage(this->stream, this->responseHeader, message,
                 [self = this->shared_from_this(), keepAlive](const ErrorCode &error, std::size_t) {
                     self->written(error, keepAlive);
                 });
}

void HttpSession::writeRaw(bool keepAlive)
{
    this->raw = this->server->settings.rewriteResponse(this->responseHeader + this->response->body());
    boost::asio::async_write(
        this->stream, boost::asio::buffer(this->raw.bytes),
        [self = this->shared_from_this(), keepAlive](const ErrorCode &error, std::size_t) {
            self->written(error, keepAlive && !self->raw.closesConnection);
        });
}

void HttpSession::written(const ErrorCode &error, bool keepAlive)
{
    this->response.reset();
    this->writing = false;
    if (this->exchanges.empty())
        return; // It was given up meanwhile.
    const bool unreadLeft = this->exchanges.front().unreadLeft;
    this->exchanges.pop_front();
    const bool last = !error && !keepAlive && !unreadLeft && this->exchanges.empty();
    if (last && (this->server->closing || this->hasUnread()))
        return this->closeWithoutReading(); // Its answer counts until the caller has taken it.
    --this->server->pendingResponses;
    if (!error && unreadLeft)
        return this->closeAfterReading();
    if (error || !keepAlive)
        return this->giveUp();
    if (!this->exchanges.empty()) {
        this->writeNext();
        return this->readOn();
    }
    if (this->held) {
        Received next = std::move(*this->held);
        this->held.reset();
        return this->begin(std::move(next));
    }
    if (this->continueOwed)
        return this->sendContinue();
    if (!this->reading)
        this->awaitRequest();
}

} // namespace Sagecrank
