// The HTTP server beside a bound on the memory for bodies: which requests are read, and when memory is given
// back.
#include <LibNet/HttpServer.h>

#include "RawHttp.h"

#include <Support/TableTest.h>

#include <boost/asio/post.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

using namespace Sagecrank;

namespace {

constexpr std::uint64_t limitBytes = 300'000;

// Answers each request with 200, and reserves at most limitBytes for their bodies.
class BoundedServer
{
public:
    BoundedServer()
        : server(this->context, this->settings(),
                 [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                     this->heldWhileHandled = this->held.load();
                     this->received = request.body.size();
                     exchange->respond(makeResponse(200, "text/plain", "ok"));
                 })
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
        this->thread = std::thread([this] { this->context.run_for(std::chrono::seconds(20)); });
    }

    ~BoundedServer()
    {
        this->context.stop();
        this->thread.join();
    }

    std::string address() const { return this->server.address(); }

    std::atomic<std::uint64_t> held = 0;
    std::atomic<std::uint64_t> heldWhileHandled = 0;
    std::atomic<std::size_t> received = 0;

private:
    HttpServerSettings settings()
    {
        HttpServerSettings settings;
        settings.limits.bodyBytes = 10 * limitBytes;
        settings.reserveBody = [this](std::uint64_t bytes, std::uint64_t) -> std::shared_ptr<void> {
            if (this->held + bytes > limitBytes)
                return nullptr;
            this->held += bytes;
            return {&this->held, [this, bytes](void *) { this->held -= bytes; }};
        };
        return settings;
    }

    boost::asio::io_context context;
    HttpServer server;
    std::thread thread;
};

std::string withLength(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(bytes)
           + "\r\n\r\n";
}

std::string inChunks(std::size_t bytes, std::size_t chunkBytes)
{
    std::string text =
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < bytes; sent += chunkBytes) {
        char length[20];
        std::snprintf(length, sizeof(length), "%zx\r\n", chunkBytes);
        text += length + std::string(chunkBytes, 'x') + "\r\n";
    }
    return text + "0\r\n\r\n";
}

struct BodyRow
{
    const char *name;
    std::string text;
    std::size_t received; // 0: the request is rejected.
};

const BodyRow bodyRows[] = {
    {"a body that fits", withLength(limitBytes) + std::string(limitBytes, 'x'), limitBytes},
    {"a body that does not fit, of which nothing has been sent", withLength(limitBytes + 1), 0},
    {"chunks that fit", inChunks(200'000, 10'000), 200'000},
    {"chunks that do not fit", inChunks(400'000, 10'000), 0},
};

} // namespace

// A body whose length nobody stated grows while it is read.
TABLE_TEST(bodyReservation, bodiesBeyondTheMemoryAreRejected, bodyRows)
{
    BoundedServer server;
    boost::system::error_code sendError;
    const std::string response = exchangeRaw(server.address(), row.text, sendError);
    cr_expect(response.starts_with(row.received > 0 ? "HTTP/1.1 200 " : "HTTP/1.1 503 "), "%s",
              response.c_str());
    cr_expect((response.find("\r\nRetry-After: 1\r\n") == std::string::npos) == (row.received > 0));
    cr_expect(server.received == row.received);
    cr_expect(server.heldWhileHandled >= row.received);
    for (int tries = 0; tries < 1000 && server.held > 0; ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    cr_expect(server.held == 0, "%llu bytes are still reserved",
              static_cast<unsigned long long>(server.held));
}

// A caller that leaves in the middle of its body must not keep the memory of the body.
Test(bodyReservation, aCallerThatLeavesGivesItsMemoryBack)
{
    BoundedServer server;
    {
        RawCaller caller(server.address());
        caller.send(withLength(limitBytes) + std::string(1000, 'x'));
        for (int tries = 0; tries < 1000 && server.held == 0; ++tries)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        cr_assert(server.held == limitBytes);
    }
    for (int tries = 0; tries < 1000 && server.held > 0; ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    cr_expect(server.held == 0);
}
