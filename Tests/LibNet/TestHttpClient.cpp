// The HTTP client against servers that respond early, drop connections or stop answering on them.
#include <LibNet/HttpClient.h>

#include <Support/TableTest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t longBody = std::size_t{8} << 20; // More than the socket buffers of both ends hold.

const std::string earlyResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";

// Runs a scripted server on a thread of its own.
class ScriptedServer
{
public:
    template <typename Script>
    explicit ScriptedServer(Script script)
        : acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , thread([this, script] { script(this->acceptor); })
    {
    }
    ~ScriptedServer() { this->thread.join(); }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    std::thread thread;
};

std::string readHeader(tcp::socket &socket, std::string &buffer)
{
    boost::system::error_code ignored;
    const std::size_t size =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", ignored);
    std::string header = buffer.substr(0, size);
    buffer.erase(0, size);
    return header;
}

struct CallResult
{
    bool failed = false;
    bool mayHaveBeenSent = false;
    HttpResponse response;
};

CallResult sendAndWait(boost::asio::io_context &context, HttpClient &client, const std::string &address,
                       std::string body, ConnectionReuse reuse = ConnectionReuse::Allowed)
{
    CallResult result;
    client.send(address, {"POST", "/", {}, std::move(body)}, {std::chrono::seconds(10), {}, reuse},
                [&](const HttpFailure *failure, HttpResponse response) {
                    result.failed = failure != nullptr;
                    result.mayHaveBeenSent = failure != nullptr && failure->mayHaveBeenSent;
                    result.response = std::move(response);
                    context.stop();
                });
    context.restart();
    context.run_for(std::chrono::seconds(11));
    return result;
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
