// The HTTP client against servers that answer early, break off or forget their connections.
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

constexpr std::size_t longBody = std::size_t{8} << 20; // More than both sides' socket buffers.

const std::string earlyAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";

// A server that one thread plays, one connection after the other.
class PlayedServer
{
public:
    template <typename Play>
    explicit PlayedServer(Play play)
        : acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , thread([this, play] { play(this->acceptor); })
    {
    }
    ~PlayedServer() { this->thread.join(); }

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

struct Answer
{
    bool failed = false;
    bool mayHaveBeenSent = false;
    HttpResponse response;
};

Answer sendAndWait(boost::asio::io_context &context, HttpClient &client, const std::string &address,
                   std::string body, ConnectionReuse connection = ConnectionReuse::Allowed)
{
    Answer answer;
    client.send(address, {"POST", "/", {}, std::move(body)}, {std::chrono::seconds(10), {}, connection},
                [&](const HttpFailure *failure, HttpResponse response) {
                    answer.failed = failure != nullptr;
                    answer.mayHaveBeenSent = failure != nullptr && failure->mayHaveBeenSent;
                    answer.response = std::move(response);
                    context.stop();
                });
    context.restart();
    context.run_for(std::chrono::seconds(11));
    return answer;
}

} // namespace

// A server refuses a long request by its header and closes the connection with the body still on its way. The
// client cannot send the rest; the caller must get the refusal, which says that nothing ran, and not
// "unknown".
Test(httpClient, anEarlyRefusalIsHeardThoughTheBodyCannotBeSent)
{
    PlayedServer server([](tcp::acceptor &acceptor) {
        tcp::socket socket = acceptor.accept();
        std::string buffer;
        readHeader(socket, buffer);
        boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
        socket.shutdown(tcp::socket::shutdown_send);
        // Reads a part, so that the answer is not lost with a reset before it is on its way, and goes.
        std::vector<char> part(64UL * 1024);
        boost::asio::read(socket, boost::asio::buffer(part));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    const Answer answer = sendAndWait(context, client, server.address(), std::string(longBody, 'x'));
    cr_assert(!answer.failed && answer.response.status == 503 && answer.response.body == "full");
}

// A server answers before it has read a long body, keeps the connection and reads on. What it gets where the
// rest of that body is due must be that rest, and the next request comes whole after it or on another
// connection.
Test(httpClient, theRestOfABodyFollowsAnEarlyAnswer)
{
    std::string rest;
    std::string next;
    {
        PlayedServer server([&](tcp::acceptor &acceptor) {
            tcp::socket socket = acceptor.accept();
            std::string buffer;
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
            rest = buffer;
            buffer.clear();
            std::string more(longBody - rest.size(), ' ');
            boost::asio::read(socket, boost::asio::buffer(more));
            rest += more;
            next = readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
        });
        boost::asio::io_context context;
        HttpClient client(context, {});
        cr_assert(sendAndWait(context, client, server.address(), std::string(longBody, 'x')).response.status
                  == 503);
        cr_assert(sendAndWait(context, client, server.address(), "").response.status == 503);
    }
    cr_assert(rest == std::string(longBody, 'x'));
    cr_assert(next.starts_with("POST / HTTP/1.1\r\n"));
}

struct IdleRow
{
    const char *what;
    Milliseconds idleTimeout; // Of the client.
    Milliseconds rest;        // Between two requests.
    int connections;
};

const IdleRow idleRows[] = {
    {"used at once", Milliseconds(200), Milliseconds(0), 1},
    {"rested too long", Milliseconds(200), Milliseconds(300), 2},
    {"may rest long", Milliseconds(30000), Milliseconds(300), 1},
};

// A server forgets connections that rested for 300 ms without closing them, and resets whatever comes on one.
// The outcome of that request would be unknown, so a booking would be lost; a new connection takes a
// millisecond.
TABLE_TEST(httpClient, usesNoConnectionThatRestedTooLong, idleRows)
{
    int connections = 0;
    {
        PlayedServer server([&connections](tcp::acceptor &acceptor) {
            tcp::socket socket = acceptor.accept();
            ++connections;
            std::string buffer;
            for (int request = 0; request < 2; ++request) {
                if (readHeader(socket, buffer).empty()) {
                    socket = acceptor.accept();
                    ++connections;
                    buffer.clear();
                    readHeader(socket, buffer);
                }
                boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
            }
        });
        boost::asio::io_context context;
        HttpClientSettings settings;
        settings.idleTimeout = row.idleTimeout;
        HttpClient client(context, settings);
        cr_assert(!sendAndWait(context, client, server.address(), "").failed);
        std::this_thread::sleep_for(row.rest);
        cr_assert(!sendAndWait(context, client, server.address(), "").failed, "%s", row.what);
    }
    cr_assert(connections == row.connections, "%s: %d connections", row.what, connections);
}

// A server closes an idle connection. The next request goes over a new one and is answered.
Test(httpClient, aConnectionThatWasClosedIsNotUsedAgain)
{
    PlayedServer server([](tcp::acceptor &acceptor) {
        for (int connection = 0; connection < 2; ++connection) {
            tcp::socket socket = acceptor.accept();
            std::string buffer;
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
        }
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    cr_assert(!sendAndWait(context, client, server.address(), "").failed);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert(!sendAndWait(context, client, server.address(), "").failed);
}

struct ChoiceRow
{
    ConnectionReuse choice;
    int connections;
};

const ChoiceRow choiceRows[] = {
    {ConnectionReuse::Allowed, 1},
    {ConnectionReuse::Disallowed, 2},
};

// A server falls silent on the connections that it has and answers on new ones. What is sent to find out
// whether it lives must not go over a connection that was kept, although one is idle.
TABLE_TEST(httpClient, aFreshConnectionIsAsGoodAsItsName, choiceRows)
{
    int connections = 0;
    {
        PlayedServer server([&connections, &row](tcp::acceptor &acceptor) {
            tcp::socket socket = acceptor.accept();
            ++connections;
            std::string buffer;
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
            const tcp::socket silent =
                row.connections == 2 ? std::move(socket) : tcp::socket(acceptor.get_executor());
            if (row.connections == 2) {
                socket = acceptor.accept();
                ++connections;
            }
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(earlyAnswer));
        });
        boost::asio::io_context context;
        HttpClient client(context, {});
        cr_assert(!sendAndWait(context, client, server.address(), "").failed);
        cr_assert(!sendAndWait(context, client, server.address(), "", row.choice).failed,
                  "choice %d, %d connections", static_cast<int>(row.choice), connections);
    }
    cr_assert(connections == row.connections, "%d connections", connections);
}
