// The HTTP client against servers that respond early, drop connections or stop answering on them.
#include <LibNet/HttpServer.h>

#include "ScriptedServer.h"

#include <Support/TableTest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t longBody = std::size_t{8} << 20; // More than the socket buffers of both ends hold.

const std::string earlyResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";

// Echoes the Id of each request and rejects the first one. A copy of that rejection follows where the next
// response on its connection is expected.
class RejectingServer
{
public:
    explicit RejectingServer(boost::asio::io_context &context)
        : server(context, this->settings(),
                 [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                     HttpResponse response =
                         makeResponse(this->requests++ == 0 ? 503 : 200, "text/plain", "");
                     response.headers.push_back({"Id", std::string(findHeader(request.headers, "Id"))});
                     exchange->respond(std::move(response));
                 })
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
    }

    std::string address() const { return this->server.address(); }

private:
    HttpServerSettings settings()
    {
        HttpServerSettings settings;
        settings.rewriteResponse = [this](const std::string &response) {
            return RawResponse{response, false, this->requests == 1 ? response : std::string()};
        };
        return settings;
    }

    int requests = 0;
    HttpServer server;
};

CallResult sendWithId(boost::asio::io_context &context, HttpClient &client, const std::string &address,
                      const std::string &id)
{
    return sendAndWait(context, client, address, {"POST", "/", {{"Id", id}}, ""},
                       {std::chrono::seconds(10), "Id"});
}

} // namespace

// A server rejects a large request by its header and closes while the body is still being sent. The client
// cannot send the rest, but must report the rejection, which says that nothing ran, and not an unknown
// outcome.
Test(httpClient, reportsAnEarlyRejectionWhenTheBodyCannotBeSent)
{
    ScriptedServer server([](tcp::acceptor &acceptor) {
        tcp::socket socket = acceptor.accept();
        std::string buffer;
        readHeader(socket, buffer);
        boost::asio::write(socket, boost::asio::buffer(earlyResponse));
        socket.shutdown(tcp::socket::shutdown_send);
        // Reads a part of the body before closing, so that a reset does not destroy the response.
        std::vector<char> part(64UL * 1024);
        boost::asio::read(socket, boost::asio::buffer(part));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    const CallResult result = sendAndWait(context, client, server.address(), std::string(longBody, 'x'));
    cr_assert(!result.failed && result.response.status == 503 && result.response.body == "full");
}

// A server responds before it has read a large body, keeps the connection open and reads on. The client must
// still send the rest of that body; the next request follows it, or uses another connection.
Test(httpClient, sendsTheRestOfTheBodyAfterAnEarlyResponse)
{
    std::string restOfBody;
    std::string next;
    {
        ScriptedServer server([&](tcp::acceptor &acceptor) {
            tcp::socket socket = acceptor.accept();
            std::string buffer;
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyResponse));
            restOfBody = buffer;
            buffer.clear();
            std::string remainder(longBody - restOfBody.size(), ' ');
            boost::asio::read(socket, boost::asio::buffer(remainder));
            restOfBody += remainder;
            next = readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyResponse));
        });
        boost::asio::io_context context;
        HttpClient client(context, {});
        cr_assert(sendAndWait(context, client, server.address(), std::string(longBody, 'x')).response.status
                  == 503);
        cr_assert(sendAndWait(context, client, server.address(), "").response.status == 503);
    }
    cr_assert(restOfBody == std::string(longBody, 'x'));
    cr_assert(next.starts_with("POST / HTTP/1.1\r\n"));
}

struct IdleRow
{
    const char *what;
    Milliseconds idleTimeout; // Of the client.
    Milliseconds pause;       // Between two requests.
    int connectionCount;
};

const IdleRow idleRows[] = {
    {"used at once", Milliseconds(200), Milliseconds(0), 1},
    {"rested too long", Milliseconds(200), Milliseconds(300), 2},
    {"may rest long", Milliseconds(30000), Milliseconds(300), 1},
};

// A server drops connections after 300 ms without closing them, and resets any request sent on one. The
// outcome of that request would be unknown, so a booking could not be retried. Opening a new connection takes
// a millisecond.
TABLE_TEST(httpClient, doesNotReuseConnectionsPastTheirIdleTimeout, idleRows)
{
    int connectionCount = 0;
    {
        ScriptedServer server([&connectionCount](tcp::acceptor &acceptor) {
            tcp::socket socket = acceptor.accept();
            ++connectionCount;
            std::string buffer;
            for (int request = 0; request < 2; ++request) {
                if (readHeader(socket, buffer).empty()) {
                    socket = acceptor.accept();
                    ++connectionCount;
                    buffer.clear();
                    readHeader(socket, buffer);
                }
                boost::asio::write(socket, boost::asio::buffer(earlyResponse));
            }
        });
        boost::asio::io_context context;
        HttpClientSettings settings;
        settings.idleTimeout = row.idleTimeout;
        HttpClient client(context, settings);
        cr_assert(!sendAndWait(context, client, server.address(), "").failed);
        std::this_thread::sleep_for(row.pause);
        cr_assert(!sendAndWait(context, client, server.address(), "").failed, "%s", row.what);
    }
    cr_assert(connectionCount == row.connectionCount, "%s: %d connections", row.what, connectionCount);
}

// A server closes an idle connection. The next request must use a new one.
Test(httpClient, doesNotReuseAClosedConnection)
{
    ScriptedServer server([](tcp::acceptor &acceptor) {
        for (int connection = 0; connection < 2; ++connection) {
            tcp::socket socket = acceptor.accept();
            std::string buffer;
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyResponse));
        }
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    cr_assert(!sendAndWait(context, client, server.address(), "").failed);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(!sendAndWait(context, client, server.address(), "").failed);
}

struct ReuseRow
{
    ConnectionReuse reuse;
    int connectionCount;
};

const ReuseRow reuseRows[] = {
    {ConnectionReuse::Allowed, 1},
    {ConnectionReuse::Disallowed, 2},
};

// A server stops answering on existing connections but answers on new ones. A request that checks whether it
// is alive must not reuse a pooled connection, even if one is idle.
TABLE_TEST(httpClient, opensANewConnectionWhenReuseIsDisallowed, reuseRows)
{
    int connectionCount = 0;
    {
        ScriptedServer server([&connectionCount, &row](tcp::acceptor &acceptor) {
            tcp::socket socket = acceptor.accept();
            ++connectionCount;
            std::string buffer;
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyResponse));
            const tcp::socket silent =
                row.connectionCount == 2 ? std::move(socket) : tcp::socket(acceptor.get_executor());
            if (row.connectionCount == 2) {
                socket = acceptor.accept();
                ++connectionCount;
            }
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyResponse));
        });
        boost::asio::io_context context;
        HttpClient client(context, {});
        cr_assert(!sendAndWait(context, client, server.address(), "").failed);
        cr_assert(!sendAndWait(context, client, server.address(), "", row.reuse).failed,
                  "reuse %d, %d connections", static_cast<int>(row.reuse), connectionCount);
    }
    cr_assert(connectionCount == row.connectionCount, "%d connections", connectionCount);
}

namespace {

struct LateCopyRow
{
    const char *what;
    const char *secondId;
    std::uint64_t connection; // That carries the second request.
    std::uint32_t staleResponses;
};

const LateCopyRow lateCopyRows[] = {
    {"another request", "b", 1, 1},
    {"the same request again", "a", 2, 0},
};

} // namespace

// A server rejects request "a" and sends a late copy of the rejection where the next response is expected.
// The next request, which the server runs, must not be reported as rejected, whether or not it is "a" again.
TABLE_TEST(httpClient, aLateCopyOfARejectionIsNotTheResponseToTheNextRequest, lateCopyRows)
{
    boost::asio::io_context context;
    RejectingServer server(context);
    HttpClient client(context, {});
    cr_assert(sendWithId(context, client, server.address(), "a").response.status == 503);
    const HttpResponse next = sendWithId(context, client, server.address(), row.secondId).response;
    cr_assert(next.status == 200, "%s: %u", row.what, next.status);
    cr_assert(next.receivedOn.connection == row.connection, "%s", row.what);
    cr_assert(next.receivedOn.staleResponses == row.staleResponses, "%s", row.what);
}

// A connection stays open for days. The record of the requests that it has carried must not grow without
// bound, nor forget any of them while it is in use.
Test(httpClient, aConnectionIsReplacedBeforeItsRecordOfRequestsGrowsTooLong)
{
    constexpr int requestCount = 1001;
    boost::asio::io_context context;
    RejectingServer server(context);
    HttpClient client(context, {});
    for (int request = 1; request < requestCount; ++request) {
        const CallResult result = sendWithId(context, client, server.address(), std::to_string(request));
        cr_assert(!result.failed && result.response.receivedOn.connection == 1);
    }
    cr_assert(sendWithId(context, client, server.address(), "last").response.receivedOn.connection == 2);
}

namespace {

struct InterimRow
{
    const char *what;
    std::string interim;
    int count;
    bool failed;
};

const InterimRow interimRows[] = {
    {"continue", "HTTP/1.1 100 Continue\r\n\r\n", 1, false},
    {"early hints", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 3, false},
    {"without end", "HTTP/1.1 102 Processing\r\n\r\n", 100, true},
};

} // namespace

// A server sends interim responses before the final one. The first of them must not pass for the final
// response, which would then be taken for the response to the next request on the connection.
TABLE_TEST(httpClient, anInterimResponseIsNotTheFinalOne, interimRows)
{
    ScriptedServer server([&row](tcp::acceptor &acceptor) {
        tcp::socket socket = acceptor.accept();
        std::string buffer;
        readHeader(socket, buffer);
        boost::system::error_code ignored;
        for (int sent = 0; sent < row.count; ++sent)
            boost::asio::write(socket, boost::asio::buffer(row.interim), ignored);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        boost::asio::write(socket, boost::asio::buffer(earlyResponse), ignored);
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    const CallResult result = sendAndWait(context, client, server.address(), "");
    cr_assert(result.failed == row.failed, "%s", row.what);
    cr_assert(result.mayHaveBeenSent == row.failed, "%s", row.what);
    cr_assert(row.failed || result.response.status == 503, "%s: %u", row.what, result.response.status);
}
