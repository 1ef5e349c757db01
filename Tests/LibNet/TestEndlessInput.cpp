// Input that never ends, on connections of the HTTP client and of the server: it must be cut off, in bounded
// memory.
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include "RawHttp.h"

#include <Support/TableTest.h>

#include <array>
#include <atomic>
#include <fstream>
#include <optional>
#include <string>
#include <thread>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

// Far above what the other end needs to close the connection, far below what endless input would take.
constexpr Duration sendLimit = std::chrono::seconds(8);
constexpr std::size_t memoryLimitKilobytes = 64UL * 1024;

struct EndlessRow
{
    const char *what;
    std::string start; // Sent once, then `repeated` without end.
    std::string repeated;
};

const std::string longText(32UL * 1024, 'a');

constexpr std::size_t commonRowCount = 8;

std::array<EndlessRow, commonRowCount> endlessMessages(const std::string &header)
{
    const std::string chunked = header + "Transfer-Encoding: chunked\r\n\r\n";
    return {{
        {"a chunk extension", chunked + "5;x=", longText},
        {"a trailer line", chunked + "5\r\nhello\r\n0\r\nX: ", longText},
        {"trailer lines", chunked + "5\r\nhello\r\n0\r\n", "X: " + longText.substr(0, 1000) + "\r\n"},
        {"chunks", chunked, "400\r\n" + longText.substr(0, 1024) + "\r\n"},
        {"small chunks with long extensions", chunked, "1;x=" + longText.substr(0, 30'000) + "\r\nb\r\n"},
        {"header lines", header, "X: " + longText.substr(0, 1000) + "\r\n"},
        {"a header line", header + "X: ", longText},
        {"noise", "", "\x16\x03 noise \r\n"},
    }};
}

// Sends until the other end closes the connection. Returns whether it did so in time.
bool sendWithoutEnd(tcp::socket &socket, const EndlessRow &row)
{
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(row.start), error);
    std::string block = row.repeated;
    while (block.size() < longText.size())
        block += row.repeated;
    const Instant limit = SteadyClock::now() + sendLimit;
    while (!error && SteadyClock::now() < limit)
        boost::asio::write(socket, boost::asio::buffer(block), error);
    return static_cast<bool>(error);
}

// The largest memory that this process has had.
std::size_t peakMemoryKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:")
            status >> kilobytes;
    }
    return kilobytes;
}

const std::array<EndlessRow, commonRowCount> responseRows = endlessMessages("HTTP/1.1 200 OK\r\n");
const std::array<EndlessRow, commonRowCount> requestRows =
    endlessMessages("POST / HTTP/1.1\r\nHost: a.example\r\n");

// Parts that only responses have.
const EndlessRow responseOnlyRows[] = {
    {"a body without length", "HTTP/1.1 200 OK\r\n\r\n", longText},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
};

void checkThatTheResponseIsCutOff(const EndlessRow &row)
{
    std::atomic<bool> cutOff = false;
    boost::asio::io_context serverContext;
    tcp::acceptor acceptor(serverContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        cutOff = sendWithoutEnd(socket, row);
    });
    const std::size_t before = peakMemoryKilobytes();
    std::optional<HttpFailure> failed;
    {
        boost::asio::io_context context;
        HttpClient client(context, {});
        client.send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {"POST", "/", {}, ""},
                    Milliseconds(500), [&](const HttpFailure *failure, const HttpResponse &) {
                        if (failure != nullptr)
                            failed = *failure;
                        context.stop();
                    });
        context.run_for(2 * sendLimit);
    }
    server.join();
    cr_assert(failed.has_value(), "%s: no failure", row.what);
    cr_assert(failed->mayHaveBeenSent, "%s", row.what);
    cr_assert(cutOff, "%s: still read", row.what);
    cr_assert(peakMemoryKilobytes() - before < memoryLimitKilobytes, "%s: %zu KB more", row.what,
              peakMemoryKilobytes() - before);
}

} // namespace

// A faulty server sends bytes without end in some part of a response. The client must end the call with an
// unknown outcome and close the connection; its memory must not grow with what the server sends.
TABLE_TEST(endlessInput, aResponseWithoutEndIsCutOff, responseRows)
{
    checkThatTheResponseIsCutOff(row);
}

TABLE_TEST(endlessInput, aResponseOfAnEndlessFormIsCutOff, responseOnlyRows)
{
    checkThatTheResponseIsCutOff(row);
}

// A caller sends bytes without end in some part of a request. The server must reject the request or close the
// connection, and go on serving others; its memory must not grow with what the caller sends.
TABLE_TEST(endlessInput, aRequestWithoutEndIsCutOff, requestRows)
{
    boost::asio::io_context serverContext;
    std::atomic<int> handled = 0;
    HttpServerSettings settings;
    settings.limits.headerTimeout = Milliseconds(500);
    settings.limits.idleTimeout = Milliseconds(500);
    HttpServer server(serverContext, settings,
                      [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          ++handled;
                          exchange->respond(makeResponse(200, "text/plain", "served"));
                      });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    std::thread thread([&] { serverContext.run_for(3 * sendLimit); });
    const std::size_t before = peakMemoryKilobytes();
    boost::asio::io_context callerContext;
    tcp::socket caller = connectTo(callerContext, server.address());
    const bool cutOff = sendWithoutEnd(caller, row);
    const std::string other =
        exchangeRaw(server.address(), "GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n");
    serverContext.stop();
    thread.join();
    cr_assert(cutOff, "%s: still read", row.what);
    cr_assert(other.ends_with("served"), "%s: %s", row.what, other.c_str());
    cr_assert(handled == 1, "%s: %d requests reached the handler", row.what, handled.load());
    cr_assert(peakMemoryKilobytes() - before < memoryLimitKilobytes, "%s: %zu KB more", row.what,
              peakMemoryKilobytes() - before);
}
