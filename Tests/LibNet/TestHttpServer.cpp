// The HTTP server with valid, malformed and aborted requests, over loopback.
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include "RawHttp.h"

#include <Support/TableTest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

// Runs on its own thread and echoes the body. A request for "/hold" is answered only by respondToHeld().
class EchoServer
{
public:
    EchoServer()
        : server(this->context, this->settings(),
                 [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                     this->handle(std::move(request), std::move(exchange));
                 })
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
        this->thread = std::thread([this] { this->context.run_for(std::chrono::seconds(20)); });
    }

    ~EchoServer()
    {
        this->context.stop();
        this->thread.join();
    }

    std::string address() const { return this->server.address(); }

    void stopAccepting()
    {
        boost::asio::post(this->context, [this] { this->server.stopAccepting(); });
    }

    void respondToHeld()
    {
        boost::asio::post(this->context,
                          [this] { this->heldExchange->respond(makeResponse(200, "text/plain", "late")); });
    }

    std::atomic<int> disconnectCount = 0;
    std::atomic<int> heldCount = 0;

private:
    static HttpServerSettings settings()
    {
        HttpServerSettings settings;
        settings.limits.headerBytes = 1024;
        settings.limits.bodyBytes = 2048;
        settings.limits.headerTimeout = Milliseconds(200);
        return settings;
    }

    void handle(HttpRequest request, std::shared_ptr<HttpExchange> exchange)
    {
        if (request.target != "/hold")
            return exchange->respond(makeResponse(200, "text/plain", request.method + " " + request.body));
        exchange->onCallerDisconnected([this] { ++this->disconnectCount; });
        this->heldExchange = std::move(exchange);
        ++this->heldCount;
    }

    boost::asio::io_context context{1};
    HttpServer server;
    std::shared_ptr<HttpExchange> heldExchange;
    std::thread thread;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (int tries = 0; tries < 2000 && !condition(); ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return condition();
}

struct MalformedRow
{
    const char *what;
    std::string request;
    const char *statusLine;
};

const MalformedRow malformedRows[] = {
    {"no method", "\x01\x02 nonsense\r\n\r\n", "HTTP/1.1 400"},
    {"bad version", "GET / HTTP/9\r\n\r\n", "HTTP/1.1 400"},
    {"bad length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "HTTP/1.1 400"},
    {"no Host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
    {"two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400"},
    {"unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"length and coding",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"coding in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
    {"content in TRACE", "TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 400"},
    {"chunks in TRACE",
     "TRACE / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     "HTTP/1.1 400"},
    {"content in CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 400"},
    {"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
     "HTTP/1.1 431"},
    {"large body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x'),
     "HTTP/1.1 413"},
};

} // namespace

// A caller sends a malformed request. It gets a status that names the error and says that nothing ran. A
// valid request on another connection, open at the same time, is served as usual.
TABLE_TEST(httpServer, rejectsMalformedInputWithoutAffectingOthers, malformedRows)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket other = connectTo(context, server.address());
    const std::string response = exchangeRaw(server.address(), row.request);
    cr_assert(response.starts_with(row.statusLine), "%s: %s", row.what, response.c_str());
    cr_assert(response.find("Sagecrank-Outcome: not-run") != std::string::npos);

    boost::asio::write(
        other, boost::asio::buffer(std::string(
                   "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")));
    std::string validResponse;
    boost::system::error_code ignored;
    boost::asio::read(other, boost::asio::dynamic_buffer(validResponse), ignored);
    cr_assert(validResponse.starts_with("HTTP/1.1 200"));
    cr_assert(validResponse.ends_with("POST hi"));
}

// A caller closes its connection while its call runs. If the handler were not notified, the call would hold
// its slot until it finished.
Test(httpServer, notifiesTheHandlerOfADisconnect)
{
    EchoServer server;
    {
        boost::asio::io_context context;
        tcp::socket socket = connectTo(context, server.address());
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
        cr_assert(eventually([&] { return server.heldCount == 1; }));
        cr_assert(server.disconnectCount == 0);
    }
    cr_assert(eventually([&] { return server.disconnectCount == 1; }));
}

// The same on a connection that has carried a request before: the wait for a disconnect that the first
// request started is still pending and must serve the second one as well.
Test(httpServer, notifiesTheHandlerOfADisconnectAfterAnEarlierRequest)
{
    EchoServer server;
    {
        boost::asio::io_context context;
        tcp::socket socket = connectTo(context, server.address());
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), boost::asio::transfer_at_least(40));
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
        cr_assert(eventually([&] { return server.heldCount == 1; }));
    }
    cr_assert(eventually([&] { return server.disconnectCount == 1; }));
}

// A caller sends a body far above the limit and is rejected before the body is read. Closing a socket with
// unread bytes resets the connection, which would destroy the response.
Test(httpServer, aRejectionReachesACallerThatIsStillSending)
{
    EchoServer server;
    for (int round = 0; round < 20; ++round) {
        boost::asio::io_context context;
        tcp::socket socket = connectTo(context, server.address());
        const std::string body(500'000, 'x');
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n";
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(head), error);
        boost::asio::write(socket, boost::asio::buffer(body), error);
        cr_assert(!error, "%s", error.message().c_str());
        socket.shutdown(tcp::socket::shutdown_send);
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        cr_assert(response.starts_with("HTTP/1.1 413"), "round %d: %s", round, error.message().c_str());
    }
}

// On shutdown, a request in progress is answered with "Connection: close" and an idle keep-alive connection
// is closed at once. Left open, its next request would be accepted by a process that is about to exit, and
// its caller would see the connection close without a response.
Test(httpServer, shutdownClosesIdleConnectionsAndAnswersTheOthers)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket idle = connectTo(context, server.address());
    boost::asio::write(idle, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::string response;
    boost::asio::read(idle, boost::asio::dynamic_buffer(response), boost::asio::transfer_at_least(40));
    tcp::socket busy = connectTo(context, server.address());
    boost::asio::write(busy, boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
    cr_assert(eventually([&] { return server.heldCount == 1; }));

    server.stopAccepting();
    boost::system::error_code error;
    std::string rest;
    boost::asio::read(idle, boost::asio::dynamic_buffer(rest), error);
    cr_assert(error == boost::asio::error::eof);
    server.respondToHeld();
    response.clear();
    boost::asio::read(busy, boost::asio::dynamic_buffer(response), error);
    cr_assert(response.find("Connection: close") != std::string::npos && response.ends_with("late"));
}

// A caller sends part of a request and stalls. Its connection is closed after the header timeout, while a
// connection that is idle between requests for as long stays open.
Test(httpServer, closesAConnectionWhoseRequestStalls)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket idle = connectTo(context, server.address());
    tcp::socket slow = connectTo(context, server.address());
    boost::asio::write(slow, boost::asio::buffer(std::string("GET / HT")));
    std::string response;
    boost::system::error_code error;
    boost::asio::read(slow, boost::asio::dynamic_buffer(response), error);
    cr_assert(error == boost::asio::error::eof && response.empty(), "%s", response.c_str());
    boost::asio::write(idle, boost::asio::buffer(std::string("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n")));
    boost::asio::read_until(idle, boost::asio::dynamic_buffer(response), "GET ");
    cr_assert(response.starts_with("HTTP/1.1 200"), "%s", response.c_str());
}

// A caller that sends "Expect: 100-continue" waits for "100 Continue" before its body; without it, the
// request would time out.
Test(httpServer, sendsContinueToACallerThatExpectsIt)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket socket = connectTo(context, server.address());
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                                                       "Connection: close\r\nExpect: 100-continue\r\n\r\n")));
    std::string response;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), "\r\n\r\n");
    cr_assert(response.starts_with("HTTP/1.1 100"));
    boost::asio::write(socket, boost::asio::buffer(std::string("hi")));
    response.clear();
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), ignored);
    cr_assert(response.starts_with("HTTP/1.1 200") && response.ends_with("POST hi"));
}

// An upstream sends a duplicate response to an earlier request late, on a keep-alive connection. Mistaken for
// the response to the next request, it would leak one caller's data to another. The echoed id tells them
// apart.
Test(httpClient, skipsADuplicateResponseToAnEarlierRequest)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::thread upstream([&acceptor] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        const std::string responses = "HTTP/1.1 200 OK\r\nCall: old\r\nContent-Length: 3\r\n\r\nold"
                                      "HTTP/1.1 200 OK\r\nCall: new\r\nContent-Length: 3\r\n\r\nnew";
        boost::asio::write(socket, boost::asio::buffer(responses));
    });
    HttpClient client(context, HttpClientSettings{});
    std::string body;
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    client.send(address, {"GET", "/", {{"Call", "new"}}, ""},
                HttpSendOptions{std::chrono::seconds(5), "Call"},
                [&](const HttpFailure *failure, const HttpResponse &response) {
                    cr_assert(failure == nullptr);
                    body = response.body;
                });
    context.run_for(std::chrono::seconds(6));
    upstream.join();
    cr_assert(body == "new", "%s", body.c_str());
}

// When nothing listens, the client reports that no byte was sent, so the call may be retried elsewhere. When
// a server accepts the request and never responds, it may have been sent.
Test(httpClient, reportsWhetherARequestMayHaveBeenSent)
{
    EchoServer server;
    boost::asio::io_context context;
    HttpClient client(context, HttpClientSettings{});
    int ended = 0;
    client.send("127.0.0.1:1", {"GET", "/", {}, ""}, std::chrono::seconds(5),
                [&](const HttpFailure *failure, HttpResponse) {
                    cr_assert(failure != nullptr);
                    cr_assert(!failure->mayHaveBeenSent);
                    ++ended;
                });
    client.send(server.address(), {"GET", "/hold", {}, ""}, Milliseconds(1000),
                [&](const HttpFailure *failure, HttpResponse) {
                    cr_assert(failure != nullptr);
                    cr_assert(failure->mayHaveBeenSent);
                    cr_assert(failure->error.kind == ErrorKind::Timeout);
                    ++ended;
                });
    context.run();
    cr_assert(ended == 2);
}

namespace {

// Holds each request until the test answers it. Targets that begin with "/once" are not idempotent.
class HoldingServer
{
public:
    explicit HoldingServer(Milliseconds lingerTimeout = HttpServerSettings().lingerTimeout)
        : server(this->context, settings(lingerTimeout),
                 [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                     const std::lock_guard guard(this->mutex);
                     exchange->onCallerDisconnected([this] { ++this->disconnectCount; });
                     this->receivedTargets.push_back(std::move(request.target));
                     this->exchanges.push_back(std::move(exchange));
                 })
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
        this->thread = std::thread([this] { this->context.run_for(std::chrono::seconds(20)); });
    }

    ~HoldingServer()
    {
        this->context.stop();
        this->thread.join();
    }

    std::string address() const { return this->server.address(); }

    std::vector<std::string> targets() const
    {
        const std::lock_guard guard(this->mutex);
        return this->receivedTargets;
    }

    void respond(std::size_t index, const std::string &body)
    {
        boost::asio::post(this->context, [this, index, body] {
            this->exchanges[index]->respond(makeResponse(200, "text/plain", body));
        });
    }

    void stopAccepting()
    {
        boost::asio::post(this->context, [this] { this->server.stopAccepting(); });
    }

    // Returns once the server has run what was queued when the requests were rejected.
    void rejectPartialRequests()
    {
        std::promise<void> done;
        boost::asio::post(this->context, [this, &done] {
            this->server.rejectPartialRequests();
            boost::asio::post(this->context, [&done] { done.set_value(); });
        });
        done.get_future().wait();
    }

    // Returns once the server has run everything posted to it so far.
    void drainQueue()
    {
        std::promise<void> done;
        boost::asio::post(this->context, [&done] { done.set_value(); });
        done.get_future().wait();
    }

    std::size_t pendingResponses() const { return this->server.pendingResponses(); }

    std::atomic<int> disconnectCount = 0;

private:
    static HttpServerSettings settings(Milliseconds lingerTimeout)
    {
        HttpServerSettings settings;
        settings.lingerTimeout = lingerTimeout;
        settings.mayPipeline = [](const HttpRequest &request) {
            return !request.target.starts_with("/once");
        };
        return settings;
    }

    boost::asio::io_context context{1};
    // A session with unread bytes has no pending operation while its response comes from another thread.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
        boost::asio::make_work_guard(this->context);
    HttpServer server;
    mutable std::mutex mutex;
    std::vector<std::string> receivedTargets;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    std::thread thread;
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

namespace {

struct LengthRow
{
    const char *method;
    std::uint32_t status;
    const char *body;
    const char *length; // In the response; empty: it states none.
};

const LengthRow lengthRows[] = {
    {"GET", 200, "body", "Content-Length: 4\r\n"},
    {"GET", 200, "", "Content-Length: 0\r\n"},
    {"HEAD", 200, "body", "Content-Length: 4\r\n"},
    {"HEAD", 200, "", ""},
    {"GET", 204, "", ""},
    {"GET", 304, "", ""},
};

} // namespace

// Guards against stating a length of zero for what a GET would return, or for what has not changed.
TABLE_TEST(httpServer, aResponseWithoutContentStatesNoLength, lengthRows)
{
    boost::asio::io_context context;
    HttpServer server(context, HttpServerSettings{},
                      [&row](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          exchange->respond(makeResponse(row.status, "text/plain", row.body));
                      });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    std::thread thread([&context] { context.run_for(std::chrono::seconds(5)); });
    RawCaller caller(server.address());
    caller.send(std::string(row.method) + " / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::string response = caller.readUntilClosed();
    context.stop();
    thread.join();
    const std::string stated = *row.length == '\0' ? "Content-Length" : row.length;
    cr_assert((response.find(stated) == std::string::npos) == (*row.length == '\0'), "%s", response.c_str());
    const bool isHead = std::string_view(row.method) == "HEAD";
    cr_assert(response.ends_with(std::string("\r\n\r\n") + (isHead ? "" : row.body)), "%s", response.c_str());
}

// Guards against a handler's response without a valid status reaching the caller.
Test(httpServer, aResponseWithoutAValidStatusIsReplaced)
{
    for (const std::uint32_t status : {0U, 99U, 100U, 600U, 1000U}) {
        boost::asio::io_context context;
        HttpServer server(context, HttpServerSettings{},
                          [status](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                              exchange->respond(makeResponse(status, "text/plain", "odd"));
                          });
        cr_assert(server.listen("127.0.0.1:0").has_value());
        std::thread thread([&context] { context.run_for(std::chrono::seconds(5)); });
        RawCaller caller(server.address());
        caller.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const std::string response = caller.readUntilClosed();
        context.stop();
        thread.join();
        cr_assert(response.starts_with("HTTP/1.1 502 "), "%u: %s", status, response.c_str());
    }
}

// A caller pipelines three lookups on one connection. Handled one at a time, each would wait for the previous
// response although slots are free. They run concurrently and are answered in request order.
Test(httpServer, pipelinedLookupsRunConcurrently)
{
    HoldingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a") + get("/b") + get("/c"));
    cr_assert(eventually([&] { return server.targets().size() == 3; }));
    server.respond(2, "third");
    server.respond(1, "second");
    server.respond(0, "first");
    const std::string responses = caller.readUntil("third");
    cr_assert(responses.find("first") < responses.find("second"), "%s", responses.c_str());
    cr_assert(responses.find("second") < responses.find("third"), "%s", responses.c_str());
}

// A caller pipelines a booking behind a lookup. If the lookup's response closed the connection, the caller
// would assume that the booking was not read and send it again, so it must not run before that response has
// been sent.
Test(httpServer, aNonIdempotentRequestWaitsForEarlierResponses)
{
    HoldingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a") + get("/once") + get("/b"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(server.targets().size() == 1);
    server.respond(0, "first");
    cr_assert(eventually([&] { return server.targets().size() == 3; }));
    cr_assert(server.targets()[1] == "/once" && server.targets()[2] == "/b");
}

// The node shuts down while a booking is held behind a lookup. The lookup's response closes the connection,
// so the caller sends the booking again elsewhere; it must never run here.
Test(httpServer, aRequestBehindAClosingResponseIsNotRun)
{
    HoldingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a") + get("/once"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.respond(0, "first");
    const std::string responses = caller.readUntilClosed();
    cr_assert(responses.find("Connection: close") != std::string::npos, "%s", responses.c_str());
    cr_assert(server.targets().size() == 1);
}

// The caller has sent another request before the last response is written. Closing the connection with that
// request unread would reset it and destroy the response.
Test(httpServer, aClosingResponseReachesACallerThatSentAnotherRequest, .timeout = 5)
{
    HoldingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.drainQueue();
    caller.send(get("/b"));
    const std::string body(500'000, 'x');
    server.respond(0, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cr_assert(caller.readUntilClosed().ends_with(body));
    cr_assert(server.targets().size() == 1);
}

// The same for a request that arrives while the last response is in transit. It must not run.
Test(httpServer, aClosingResponseReachesACallerThatSendsAnotherRequestLater, .timeout = 5)
{
    HoldingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.drainQueue();
    const std::string body(500'000, 'x');
    server.respond(0, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.send(get("/b"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(caller.readUntilClosed().ends_with(body));
    cr_assert(server.targets().size() == 1);
}

namespace {

struct PartialRow
{
    const char *what;
    std::string bytes;
    Milliseconds pause; // In which the server may read them.
};

const std::string partialHeader = "POST /a HTTP/1.1\r\nHost: a\r\n";

const PartialRow partialRows[] = {
    {"a header", partialHeader, Milliseconds(50)},
    {"a header that has just arrived", partialHeader, Milliseconds(0)},
    {"a body with a length", partialHeader + "Content-Length: 5\r\n\r\nhe", Milliseconds(50)},
    {"a body that has just arrived", partialHeader + "Content-Length: 5\r\n\r\nhe", Milliseconds(0)},
    {"a body in chunks", partialHeader + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n", Milliseconds(50)},
};

} // namespace

// Guards against cutting off an upload on shutdown without telling its caller that it has not run. The
// response counts as pending until the caller has read it.
TABLE_TEST(httpServer, aPartialRequestIsRejectedOnShutdown, partialRows)
{
    HoldingServer server(std::chrono::minutes(1));
    RawCaller caller(server.address());
    caller.send(get("/first"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.respond(0, "first");
    caller.readUntil("first");
    caller.send(row.bytes);
    std::this_thread::sleep_for(row.pause);
    server.rejectPartialRequests();
    cr_assert(server.pendingResponses() == 1, "%s", row.what);
    const std::string response = caller.readUntilClosed();
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s: %s", row.what, response.c_str());
    cr_assert(response.find("Sagecrank-Outcome: not-run\r\n") != std::string::npos, "%s", row.what);
    cr_assert(server.pendingResponses() == 1 && server.targets().size() == 1, "%s", row.what);
    caller.close();
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }), "%s", row.what);
}

// On shutdown, the server waits for callers to read their last responses, but no longer than until they
// close.
Test(httpServer, lingeringEndsWhenTheCallerCloses)
{
    HoldingServer server(std::chrono::minutes(1));
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.respond(0, "last");
    cr_assert(caller.readUntilClosed().ends_with("last"));
    cr_assert(server.pendingResponses() == 1);
    caller.close();
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }));
}

// A caller pipelines three lookups and closes. All three handlers must be notified. The unread bytes of a
// following request once hid the close, so the work of the first one went on.
Test(httpServer, notifiesAllPipelinedRequestsOfADisconnect)
{
    HoldingServer server;
    {
        RawCaller caller(server.address());
        caller.send(get("/a") + get("/b") + get("/c"));
        cr_assert(eventually([&] { return server.targets().size() == 3; }));
    }
    cr_assert(eventually([&] { return server.disconnectCount == 3; }));
}

// A response counts as pending until it has been sent completely. Counting it as sent earlier would let the
// process exit with the response half sent.
Test(httpServer, aResponseIsPendingUntilItHasBeenSent)
{
    HoldingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.respond(0, std::string(std::size_t{32} << 20, 'x') + "end");
    caller.readUntil("200 OK");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(server.pendingResponses() == 1);
    caller.readUntil("end");
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }));
}

// The same counter when the caller disconnects.
Test(httpServer, aDisconnectClearsPendingResponses)
{
    HoldingServer server;
    {
        RawCaller caller(server.address());
        caller.send(get("/a") + get("/b"));
        cr_assert(eventually([&] { return server.pendingResponses() == 2; }));
    }
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }));
}

namespace {

const int loopTurnsBeforeClose[] = {0, 1, 2, 3, 4, 5};

} // namespace

// A request arrives on a keep-alive connection while the previous response is written, during shutdown. The
// next read finds it at once, and the shutdown, which considers the connection idle, runs between that read
// and its handler. The request would reach the handler and its connection close without a response. Rows: the
// number of event loop turns between the response and the shutdown.
TABLE_TEST(httpServer, everyHandledRequestIsAnsweredDuringShutdown, loopTurnsBeforeClose)
{
    constexpr auto request = "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::io_context context{1};
    std::unique_ptr<RawCaller> caller;
    std::size_t handled = 0;
    std::function<void(int)> stopAfter;
    HttpServer server(context, HttpServerSettings{},
                      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          const bool first = ++handled == 1;
                          if (first)
                              caller->send(request);
                          exchange->respond(makeResponse(200, "text/plain", "ok"));
                          if (first)
                              stopAfter(row);
                      });
    stopAfter = [&](int turns) {
        boost::asio::post(context,
                          [&, turns] { turns == 0 ? server.stopAccepting() : stopAfter(turns - 1); });
    };
    cr_assert(server.listen("127.0.0.1:0").has_value());
    caller = std::make_unique<RawCaller>(server.address());
    caller->send(request);
    context.run_for(Milliseconds(300));
    server.closeAll();
    context.restart();
    context.run_for(Milliseconds(50));
    const std::string responses = caller->readUntilClosed();
    std::size_t responded = 0;
    for (std::size_t at = responses.find("200 OK"); at != std::string::npos;
         at = responses.find("200 OK", at + 1))
        ++responded;
    cr_assert(responded == handled, "%zu handled, %zu answered", handled, responded);
}
