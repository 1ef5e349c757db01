// One caller's connection to an HttpServer: parses requests and sends the responses in request order.
// Internal to LibNet.
#pragma once

#include <LibNet/HttpReading.h>
#include <LibNet/HttpServer.h>
#include <LibNet/HttpWire.h>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Sagecrank {

class HttpSession;

struct HttpServer::State
{
    State(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
        : settings(std::move(settings))
        , handler(std::move(handler))
        , context(context)
        , acceptor(context)
    {
    }

    HttpServerSettings settings;
    HttpHandler handler;
    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::unordered_set<HttpSession *> sessions; // Open ones; each removes itself in its destructor.
    bool closing = false;
    bool rejectsPartialRequests = false;           // Implies closing.
    std::atomic<std::size_t> pendingResponses = 0; // Over all sessions.
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(HttpSocket socket, std::shared_ptr<HttpServer::State> server);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void awaitRequest();
    void respond(std::uint64_t number, HttpResponse response);
    void drop(std::uint64_t number);
    void onCallerDisconnected(std::uint64_t number, std::function<void()> hook);
    void close();
    void closeWhenIdle();
    void rejectPartialRequest();

private:
    using ErrorCode = boost::beast::error_code;
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    // Whether the caller has sent unread bytes or closed the connection.
    enum class PeekResult : std::uint8_t { Bytes, Nothing, Closed };

    // What HttpServerSettings::reserveBody returned for one body.
    struct BodyReservation
    {
        std::vector<std::shared_ptr<void>> parts;
        std::uint64_t bytes = 0; // Over all parts.
    };

    // A parsed request with the properties that its response depends on.
    struct ReceivedRequest
    {
        HttpRequest request;
        BodyReservation body;
        bool keepAlive = false;
        bool isHead = false; // The response to HEAD has the headers of a GET and no body.
    };

    // A request passed to the handler whose response has not been sent.
    struct Exchange
    {
        std::uint64_t number = 0;
        bool keepAlive = false;
        bool isHead = false;
        bool requestUnread = false;           // Rejected before it was read completely.
        std::optional<HttpResponse> response; // Queued behind earlier responses.
        std::function<void()> onDisconnected;
        BodyReservation body;
    };

    // Reading.
    HttpLimits limits() const;
    void handleIdleReadError(const ErrorCode &error);
    void readRequest();
    void readBody();
    void sendContinue();
    void readBodyRest();
    bool reserveBody(std::uint64_t bodyBytes);
    void handleReadError(const ErrorCode &error);
    void sendRawPrefix();
    bool respondedBeforeBody();
    bool rejectedByShutdown();
    void completeRequest();
    void dispatch(ReceivedRequest received);
    bool mayPipeline(const HttpRequest &request) const;
    bool mayReadNextRequest() const;
    void continueReading();
    void watchForDisconnect();
    void handleSocketReadable();
    PeekResult peek();
    void rejectRequest(std::uint32_t status, std::string_view message);
    void respondWithoutHandler(HttpResponse response);

    // Writing.
    Exchange *find(std::uint64_t number);
    void open(Exchange exchange);
    void writeNext();
    void writeResponse(const Exchange &exchange, HttpResponse response, bool keepAlive);
    Result<void> encodeResponse(HttpResponse response, bool keepAlive);
    void replaceResponse(const Error &problem, bool keepAlive);
    void writeRaw(bool keepAlive);
    void handleWritten(const ErrorCode &error, bool keepAlive);
    void abortConnection();
    void drainAndClose(); // The response counts as pending until the drain ends.
    void endDrain();
    bool hasUnreadBytes();
    void lingerAndClose(); // One response counts as pending until the linger ends.
    void awaitCallerClose();
    void endLinger();
    void discardInput(Instant deadline);

    HttpStream stream;
    std::shared_ptr<HttpServer::State> server;
    boost::beast::flat_buffer buffer{maximumUnparsedBytes};
    std::optional<RequestParser> parser;
    BodyReservation reservedBody;     // Of the request that is being read.
    std::optional<Response> response; // Alive while it is written.
    std::string responseHeader;       // Alive while it is written.
    RawResponse raw;                  // Set by emulators; its prefix waits for the next request.
    std::deque<Exchange> exchanges;   // Oldest first. The first response is being written or awaited.
    std::optional<ReceivedRequest> heldRequest; // Complete; dispatched once all earlier ones are answered.
    std::uint64_t lastRequestNumber = 0;        // Numbers requests, to detect late and duplicate responses.
    bool reading = false;                       // Reading a request or waiting for one.
    bool writing = false;
    bool watchingSocket = false;
    bool continuePending = false;   // The caller awaits "100 Continue" before its body.
    bool awaitingFirstByte = false; // Nothing of the next request has been read.
    bool lingering = false;         // The last response has been written; no further request is accepted.
    boost::asio::steady_timer lingerTimer;
};

} // namespace Sagecrank
