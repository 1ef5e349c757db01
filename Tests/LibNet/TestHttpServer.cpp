// The HTTP server under good, bad and broken-off requests, over loopback.
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

// A server on its own thread that echoes the body; "/hold" is never answered.
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

    void answerHeld()
    {
        boost::asio::post(this->context,
                          [this] { this->kept->respond(makeResponse(200, "text/plain", "late")); });
    }

    std::atomic<int> abandoned = 0;
    std::atomic<int> held = 0;

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
        exchange->onCallerDisconnected([this] { ++this->abandoned; });
        this->kept = std::move(exchange);
        ++this->held;
    }

    boost::asio::io_context context{1};
    HttpServer server;
    std::shared_ptr<HttpExchange> kept;
    std::thread thread;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (int tries = 0; tries < 2000 && !condition(); ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return condition();
}

struct BadRow
{
    const char *what;
    std::string request;
    const char *statusLine;
};

const BadRow badRows[] = {
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
    {"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
     "HTTP/1.1 431"},
    {"large body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x'),
     "HTTP/1.1 413"},
};

} // namespace

// A caller sends something that is not a request. It gets a status that says what is wrong and that nothing
// ran; a good request on another connection, open at the same time, is answered as ever.
TABLE_TEST(httpServer, badInputIsAnsweredAndHurtsNobodyElse, badRows)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket other = connectTo(context, server.address());
    const std::string answer = exchangeRaw(server.address(), row.request);
    cr_assert(answer.starts_with(row.statusLine), "%s: %s", row.what, answer.c_str());
    cr_assert(answer.find("Sagecrank-Outcome: not-run") != std::string::npos);

    boost::asio::write(
        other, boost::asio::buffer(std::string(
                   "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")));
    std::string good;
    boost::system::error_code ignored;
    boost::asio::read(other, boost::asio::dynamic_buffer(good), ignored);
    cr_assert(good.starts_with("HTTP/1.1 200"));
    cr_assert(good.ends_with("POST hi"));
}

// A caller gives up and closes while its call runs. Without notice the call would hold its slot to the end,
// so the server tells the handler.
Test(httpServer, tellsOfACallerThatWent)
{
    EchoServer server;
    {
        boost::asio::io_context context;
        tcp::socket socket = connectTo(context, server.address());
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
        cr_assert(eventually([&] { return server.held == 1; }));
        cr_assert(server.abandoned == 0);
    }
    cr_assert(eventually([&] { return server.abandoned == 1; }));
}

// The same, on a connection that has carried a request before: its watch for the first request is still under
// way when the second one comes and must go on for it.
Test(httpServer, tellsOfACallerThatWentAfterAnEarlierRequest)
{
    EchoServer server;
    {
        boost::asio::io_context context;
        tcp::socket socket = connectTo(context, server.address());
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), boost::asio::transfer_at_least(40));
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
        cr_assert(eventually([&] { return server.held == 1; }));
    }
    cr_assert(eventually([&] { return server.abandoned == 1; }));
}

// A caller sends a body far above the limit. It is refused before the body is read; a connection closed over
// unread bytes is reset, and the reset would overtake the answer that says what was wrong.
Test(httpServer, aRefusalReachesACallerThatStillSends)
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
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        cr_assert(answer.starts_with("HTTP/1.1 413"), "round %d: %s", round, error.message().c_str());
    }
}

// A process ends. A request that is under way is answered and told to go elsewhere; a kept connection without
// one is closed at once. Left open, its next request would be taken by a process that ends under it, and its
// caller would see a closed connection without an answer.
Test(httpServer, stoppingClosesIdleConnectionsAndAnswersTheOthers)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket idle = connectTo(context, server.address());
    boost::asio::write(idle, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::string answer;
    boost::asio::read(idle, boost::asio::dynamic_buffer(answer), boost::asio::transfer_at_least(40));
    tcp::socket busy = connectTo(context, server.address());
    boost::asio::write(busy, boost::asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")));
    cr_assert(eventually([&] { return server.held == 1; }));

    server.stopAccepting();
    boost::system::error_code error;
    std::string rest;
    boost::asio::read(idle, boost::asio::dynamic_buffer(rest), error);
    cr_assert(error == boost::asio::error::eof);
    server.answerHeld();
    answer.clear();
    boost::asio::read(busy, boost::asio::dynamic_buffer(answer), error);
    cr_assert(answer.find("Connection: close") != std::string::npos && answer.ends_with("late"));
}

// A caller begins a request and does not go on. Its connection is closed after the time that headers have;
// one that rests between requests for as long is kept.
Test(httpServer, aRequestThatBeginsAndStopsLosesItsConnection)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket resting = connectTo(context, server.address());
    tcp::socket slow = connectTo(context, server.address());
    boost::asio::write(slow, boost::asio::buffer(std::string("GET / HT")));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(slow, boost::asio::dynamic_buffer(answer), error);
    cr_assert(error == boost::asio::error::eof && answer.empty(), "%s", answer.c_str());
    boost::asio::write(resting, boost::asio::buffer(std::string("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n")));
    boost::asio::read_until(resting, boost::asio::dynamic_buffer(answer), "GET ");
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}

// A caller asks whether it may send its body. Without a word it would wait, and its request would time out.
Test(httpServer, tellsACallerThatAsksToSendItsBody)
{
    EchoServer server;
    boost::asio::io_context context;
    tcp::socket socket = connectTo(context, server.address());
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                                                       "Connection: close\r\nExpect: 100-continue\r\n\r\n")));
    std::string answer;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 100"));
    boost::asio::write(socket, boost::asio::buffer(std::string("hi")));
    answer.clear();
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
    cr_assert(answer.starts_with("HTTP/1.1 200") && answer.ends_with("POST hi"));
}

// An upstream answers an earlier request a second time, late, on a kept connection. Taken for the answer to
// the next request, it would show one caller what another asked for. The id that answers repeat tells them
// apart.
Test(httpClient, passesOverTheAnswerToAnEarlierRequest)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::thread upstream([&acceptor] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        const std::string answers = "HTTP/1.1 200 OK\r\nCall: old\r\nContent-Length: 3\r\n\r\nold"
                                    "HTTP/1.1 200 OK\r\nCall: new\r\nContent-Length: 3\r\n\r\nnew";
        boost::asio::write(socket, boost::asio::buffer(answers));
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

// Nobody listens: the client says that no byte left, so the call may go elsewhere. A server that takes the
// request and never answers: it may have been sent.
Test(httpClient, saysWhetherARequestMayHaveLeft)
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

// A server that keeps each request until the test answers it; targets that begin with "/once" may run only
// once.
class KeepingServer
{
public:
    explicit KeepingServer(Milliseconds lingerTimeout = HttpServerSettings().lingerTimeout)
        : server(this->context, settings(lingerTimeout),
                 [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                     const std::lock_guard guard(this->mutex);
                     exchange->onCallerDisconnected([this] { ++this->abandoned; });
                     this->begun.push_back(std::move(request.target));
                     this->exchanges.push_back(std::move(exchange));
                 })
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
        this->thread = std::thread([this] { this->context.run_for(std::chrono::seconds(20)); });
    }

    ~KeepingServer()
    {
        this->context.stop();
        this->thread.join();
    }

    std::string address() const { return this->server.address(); }

    std::vector<std::string> targets() const
    {
        const std::lock_guard guard(this->mutex);
        return this->begun;
    }

    void answer(std::size_t index, const std::string &body)
    {
        boost::asio::post(this->context, [this, index, body] {
            this->exchanges[index]->respond(makeResponse(200, "text/plain", body));
        });
    }

    void stopAccepting()
    {
        boost::asio::post(this->context, [this] { this->server.stopAccepting(); });
    }

    // Returns once the server has done what it was asked to.
    void settle()
    {
        std::promise<void> done;
        boost::asio::post(this->context, [&done] { done.set_value(); });
        done.get_future().wait();
    }

    std::size_t pendingResponses() const { return this->server.pendingResponses(); }

    std::atomic<int> abandoned = 0;

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
    // A session that has left bytes unread waits for nothing, and its answer comes from another thread.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
        boost::asio::make_work_guard(this->context);
    HttpServer server;
    mutable std::mutex mutex;
    std::vector<std::string> begun;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    std::thread thread;
};

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

// A caller sends three lookups at once on one connection. Read one after the other, each waits for the
// answers before it although there is room; begun together, they are answered in the order in which they were
// sent.
Test(httpServer, lookupsBehindOneAnotherRunTogether)
{
    KeepingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a") + get("/b") + get("/c"));
    cr_assert(eventually([&] { return server.targets().size() == 3; }));
    server.answer(2, "third");
    server.answer(1, "second");
    server.answer(0, "first");
    const std::string answers = caller.readUntil("third");
    cr_assert(answers.find("first") < answers.find("second"), "%s", answers.c_str());
    cr_assert(answers.find("second") < answers.find("third"), "%s", answers.c_str());
}

// A caller sends a booking behind a lookup. If the lookup's answer closed the connection, the caller would
// take the booking for unread and send it again, so it must not run before that answer has left.
Test(httpServer, whatRunsOnceWaitsForTheAnswerBeforeIt)
{
    KeepingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a") + get("/once") + get("/b"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(server.targets().size() == 1);
    server.answer(0, "first");
    cr_assert(eventually([&] { return server.targets().size() == 3; }));
    cr_assert(server.targets()[1] == "/once" && server.targets()[2] == "/b");
}

// The node ends while a booking is held behind a lookup. The lookup's answer closes the connection, so the
// caller sends the booking again elsewhere: here it must never run.
Test(httpServer, whatIsBehindAClosingAnswerIsNotRun)
{
    KeepingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a") + get("/once"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.answer(0, "first");
    const std::string answers = caller.readToEnd();
    cr_assert(answers.find("Connection: close") != std::string::npos, "%s", answers.c_str());
    cr_assert(server.targets().size() == 1);
}

// The last answer is overtaken by a reset when its caller has sent another request.
Test(httpServer, aClosingAnswerReachesACallerThatSentMore, .timeout = 5)
{
    KeepingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.settle();
    caller.send(get("/b"));
    const std::string body(500'000, 'x');
    server.answer(0, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cr_assert(caller.readToEnd().ends_with(body));
    cr_assert(server.targets().size() == 1);
}

// The same for a request that comes when the last answer is on its way. It must not run.
Test(httpServer, aClosingAnswerReachesACallerThatSendsMoreLater, .timeout = 5)
{
    KeepingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.settle();
    const std::string body(500'000, 'x');
    server.answer(0, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.send(get("/b"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(caller.readToEnd().ends_with(body));
    cr_assert(server.targets().size() == 1);
}

// A process that ends waits for the callers of its last answers, and no longer than they take.
Test(httpServer, aCallerThatClosesHoldsNoEnd)
{
    KeepingServer server(std::chrono::minutes(1));
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.stopAccepting();
    server.answer(0, "last");
    cr_assert(caller.readToEnd().ends_with("last"));
    cr_assert(server.pendingResponses() == 1);
    caller.close();
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }));
}

// A caller sends three lookups, loses patience and closes. All three are told; before, the bytes of the next
// request hid the close, and the first one's work went on for nobody.
Test(httpServer, tellsAllThatTheirCallerWent)
{
    KeepingServer server;
    {
        RawCaller caller(server.address());
        caller.send(get("/a") + get("/b") + get("/c"));
        cr_assert(eventually([&] { return server.targets().size() == 3; }));
    }
    cr_assert(eventually([&] { return server.abandoned == 3; }));
}

// A process ends with an answer half sent, because it counts what was answered as sent.
Test(httpServer, anAnswerIsCountedUntilItHasLeft)
{
    KeepingServer server;
    RawCaller caller(server.address());
    caller.send(get("/a"));
    cr_assert(eventually([&] { return server.targets().size() == 1; }));
    server.answer(0, std::string(std::size_t{32} << 20, 'x') + "end");
    caller.readUntil("200 OK");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(server.pendingResponses() == 1);
    caller.readUntil("end");
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }));
}

// The same count when the callers give up.
Test(httpServer, aCallerThatWentIsOwedNoAnswer)
{
    KeepingServer server;
    {
        RawCaller caller(server.address());
        caller.send(get("/a") + get("/b"));
        cr_assert(eventually([&] { return server.pendingResponses() == 2; }));
    }
    cr_assert(eventually([&] { return server.pendingResponses() == 0; }));
}

namespace {

const int hopsBeforeTheClose[] = {0, 1, 2, 3, 4, 5};

} // namespace

// A caller's request is passed on and its connection closed without an answer, while a node ends. The request
// comes on a kept connection while the answer before it is written; the next read finds it at once, and the
// close, which takes the connection for idle, runs between that read and what it brought. Rows: how many
// turns of the event loop the close comes after the answer.
TABLE_TEST(httpServer, aRequestThatIsPassedOnIsAnswered, hopsBeforeTheClose)
{
    constexpr auto request = "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::io_context context{1};
    std::unique_ptr<RawCaller> caller;
    std::size_t passedOn = 0;
    std::function<void(int)> closeAfter;
    HttpServer server(context, HttpServerSettings{},
                      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          const bool first = ++passedOn == 1;
                          if (first)
                              caller->send(request);
                          exchange->respond(makeResponse(200, "text/plain", "ok"));
                          if (first)
                              closeAfter(row);
                      });
    closeAfter = [&](int hops) {
        boost::asio::post(context, [&, hops] { hops == 0 ? server.stopAccepting() : closeAfter(hops - 1); });
    };
    cr_assert(server.listen("127.0.0.1:0").has_value());
    caller = std::make_unique<RawCaller>(server.address());
    caller->send(request);
    context.run_for(Milliseconds(300));
    server.closeAll();
    context.restart();
    context.run_for(Milliseconds(50));
    const std::string answers = caller->readToEnd();
    std::size_t answered = 0;
    for (std::size_t at = answers.find("200 OK"); at != std::string::npos;
         at = answers.find("200 OK", at + 1))
        ++answered;
    cr_assert(answered == passedOn, "%zu passed on, %zu answered", passedOn, answered);
}
