// Randomly mutated HTTP input. The server must keep serving valid requests, and every client call must
// complete.
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include "RawHttp.h"

#include <Support/InputMutator.h>
#include <Support/TableTest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

const std::uint64_t seeds[] = {1, 2, 3, 4};

const std::string validRequest = "POST /a/b?c=d HTTP/1.1\r\nHost: a.example\r\nContent-Length: 11\r\n"
                                 "X-Call: 7\r\n\r\nhello there";

const std::string validChunkedRequest =
    "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n6;x=y\r\n there\r\n0\r\n\r\n";

const std::string validResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n"
                                  "Keep-Alive: timeout=5\r\n\r\nhello";

// Accepts one connection at a time, sends a mutated response and closes it.
class CorruptingServer
{
public:
    explicit CorruptingServer(std::uint64_t seed)
        : mutator(seed)
        , acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , thread([this] { this->serve(); })
    {
    }

    ~CorruptingServer()
    {
        this->stopping = true;
        boost::system::error_code ignored;
        boost::asio::io_context wakeContext;
        tcp::socket(wakeContext).connect(this->acceptor.local_endpoint(), ignored);
        this->thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void serve()
    {
        while (!this->stopping) {
            boost::system::error_code ignored;
            tcp::socket socket = this->acceptor.accept(ignored);
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
            boost::asio::write(socket, boost::asio::buffer(this->mutator.mutate(validResponse)), ignored);
        }
    }

    InputMutator mutator;
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace

TABLE_TEST(hostileInput, requests, seeds)
{
    boost::asio::io_context context(1);
    HttpServerSettings settings;
    settings.limits.headerBytes = 1024;
    settings.limits.bodyBytes = 2048;
    HttpServer server(context, settings, [](const HttpRequest &request, const auto &exchange) {
        cr_assert(request.body.size() <= 2048);
        exchange->respond(makeResponse(200, "text/plain", "fine"));
    });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    std::thread thread([&context] { context.run_for(std::chrono::seconds(100)); });
    InputMutator mutator(row);
    for (std::size_t round = 0; round < InputMutator::scaledRounds(250); ++round) {
        const std::string mutated = mutator.mutate(round % 2 == 0 ? validRequest : validChunkedRequest);
        boost::system::error_code sendError;
        const std::string response = exchangeRaw(server.address(), mutated, sendError);
        cr_assert(response.empty() || response.starts_with("HTTP/1.1 "), "round %zu: %s", round,
                  response.c_str());
        if (round % 10 == 0)
            cr_assert(exchangeRaw(server.address(), validRequest).starts_with("HTTP/1.1 200 "), "round %zu",
                      round);
    }
    context.stop();
    thread.join();
}

TABLE_TEST(hostileInput, responses, seeds)
{
    const CorruptingServer server(row);
    boost::asio::io_context context(1);
    HttpClient client(context, {});
    const std::size_t calls = InputMutator::scaledRounds(250);
    std::size_t ended = 0;
    std::function<void()> sendNext = [&] {
        if (ended == calls)
            return context.stop();
        client.send(server.address(), {"GET", "/", {{"Host", "a.example"}}, {}}, Milliseconds(300),
                    [&](const HttpFailure *, const HttpResponse &) {
                        ++ended;
                        boost::asio::post(context, sendNext);
                    });
    };
    sendNext();
    context.run_for(std::chrono::seconds(100));
    cr_assert(ended == calls, "%zu of %zu calls ended", ended, calls);
}
