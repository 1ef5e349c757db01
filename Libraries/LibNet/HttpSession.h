// One connection of a caller to an HttpServer: requests in, answers out in the order of their requests.
// Internal to LibNet.
#pragma once

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
    std::unordered_set<HttpSession *> sessions; // Open ones; each takes itself out when it ends.
    bool closing = false;
    std::atomic<std::size_t> pendingResponses = 0; // The exchanges of all sessions.
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

private:
    using ErrorCode = boost::beast::error_code;
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    // What the caller has sent and this side has not read.
    enum class Peeked : std::uint8_t { Bytes, Nothing, Closed };

    // A request as it came, with what its answer needs of it.
    struct Received
    {
        HttpRequest request;
        bool keepAlive = false;
        bool headOnly = false; // A HEAD request is answered with the headers of the GET and no body.
    };

    // A request that was handed on and whose answer has not left.
    struct Exchange
    {
        std::uint64_t number = 0;
        bool keepAlive = false;
        bool headOnly = false;
        bool unreadLeft = false;            // It was refused before it was read to its end.
        std::optional<HttpResponse> answer; // Waits for those before it.
        std::function<void()> abandoned;
    };

    // Reading.
    HttpLimits limits() const;
    void readEnded(const ErrorCode &error);
    void readRequest();
    void readBody();
    void sendContinue();
    void readRest();
    void readFailed(const ErrorCode &error);
    void sendOwed();
    bool answeredBeforeBody();
    void take();
    void begin(Received received);
    bool mayPipeline(const HttpRequest &request) const;
    bool mayReadBehind() const;
    void readOn();
    void watch();
    void lookAtSocket();
    Peeked peek();
    void refuse(std::uint32_t status, std::string_view message);
    void answerAtOnce(HttpResponse response);

    // Writing.
    Exchange *find(std::uint64_t number);
    void open(Exchange exchange);
    void writeNext();
    void writeResponse(const Exchange &exchange, HttpResponse response, bool keepAlive);
    void writeRaw(bool keepAlive);
    void written(const ErrorCode &error, bool keepAlive);
    void giveUp();
    void closeAfterReading();
    bool hasUnread();
    void closeWithoutReading(); // One answer counts as open until it has ended.
    void awaitCallersClose();
    void endLinger();
    void throwAwayNext();

    HttpStream stream;
    std::shared_ptr<HttpServer::State> server;
    boost::beast::flat_buffer buffer;
    std::optional<RequestParser> parser;
    std::optional<Response> response; // Alive while it is written.
    std::string responseHeader;       // The same.
    RawResponse raw;                // Of a stand-in; its `prefixForNextResponse` waits for the next request.
    std::deque<Exchange> exchanges; // Oldest first. The first one's answer is being written, or is awaited.
    std::optional<Received> held;   // Has come whole and is begun once all before it are answered.
    std::uint64_t lastNumber = 0;   // Counts requests, so that a late or second answer is told apart.
    bool reading = false;           // A request, from its first byte to its last; or the wait for one.
    bool writing = false;
    bool watching = false;
    bool continueOwed = false;   // The caller waits for a word before it sends its body.
    bool readsFirstByte = false; // Nothing of a next request has been read.
    bool lingers = false;        // The last answer has been written; nothing more is taken.
    boost::asio::steady_timer lingerTimer;
};

} // namespace Sagecrank
