// A gate with an upstream that speaks the platform's protocol with seeded faults: late and immediate copies
// of responses, interim responses, chunks with extensions and trailers, truncation, noise, and writes that
// are split at any byte. A call that is reported as not run has not run, and a response belongs to the run
// that the call made.
#include "PlatformGate.h"

#include <Support/InputMutator.h>
#include <Support/TableTest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6};

constexpr std::size_t callsPerSeed = 150;
constexpr std::size_t callIds = 4; // Each is sent many times, as a retried call is.

std::string textBetween(const std::string &text, std::string_view before, std::string_view after)
{
    const std::size_t start = text.find(before) + before.size();
    return text.substr(start, text.find(after, start) - start);
}

// Draws what an upstream sends for a request, and keeps what it sent before on the same connection.
class ResponseGenerator
{
public:
    explicit ResponseGenerator(std::uint64_t seed)
        : random(seed)
    {
    }

    bool draw(double share) { return std::uniform_real_distribution<>()(this->random) < share; }
    std::size_t below(std::size_t bound) { return this->random() % bound; }

    // `target` is that of the request, which a response to a request that ran repeats as its body.
    std::string response(const std::string &callId, const std::string &target, bool ran)
    {
        const std::string id = this->draw(0.95) ? "Attempt-Id: " + callId + "\r\n" : "";
        if (!ran)
            return this->rejection() + id + this->framed("rejected");
        const std::string status = this->draw(0.9) ? "200 OK" : "500 Failed";
        return "HTTP/1.1 " + status + "\r\nServer-Stamp: s\r\n" + id + this->framed(target);
    }

    // Bytes that come ahead of a response, given those that the connection has carried.
    std::string prefix(const std::vector<std::string> &earlier)
    {
        std::string text;
        while (!earlier.empty() && this->draw(0.3))
            text += earlier[this->below(earlier.size())];
        while (this->draw(0.1))
            text += "HTTP/1.1 102 Processing\r\n\r\n";
        return text;
    }

    // Damages some responses.
    std::string damaged(std::string text)
    {
        // In a body, nobody could tell noise from the upstream's own bytes.
        if (this->draw(0.03))
            text.insert(this->below(1 + text.find("\r\n\r\n")), "\x16\x03\r\n");
        if (this->draw(0.05))
            text += text;
        if (this->draw(0.05))
            text.resize(this->below(text.size()));
        return text;
    }

private:
    std::string rejection()
    {
        static constexpr const char *rejections[] = {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n",
                                                     "HTTP/1.1 429 Many\r\nNot-Executed: 1\r\n",
                                                     "HTTP/1.1 421 Other\r\nInstance-Id: i-2\r\n"};
        return rejections[this->below(std::size(rejections))];
    }

    std::string framed(const std::string &body)
    {
        if (this->draw(0.7))
            return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string text = "Transfer-Encoding: chunked\r\n\r\n";
        for (const char byte : body)
            text += std::string(this->draw(0.3) ? "1;x=\"y\"" : "1") + "\r\n" + byte + "\r\n";
        return text + "0\r\n" + (this->draw(0.3) ? "X-Trailer: 503 Not-Executed\r\n" : "") + "\r\n";
    }

    std::mt19937_64 random;
};

class FuzzedUpstream
{
public:
    FuzzedUpstream(boost::asio::io_context &context, std::uint64_t seed)
        : generator(seed)
        , acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        this->acceptNext();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    std::unordered_set<std::string> ranTargets;

private:
    struct Connection
    {
        explicit Connection(tcp::socket socket)
            : socket(std::move(socket))
        {
        }

        tcp::socket socket;
        std::string input;
        std::vector<std::string> sent; // Whole responses.
        std::string output;
        bool closes = false;
    };

    void acceptNext()
    {
        this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            this->read(std::make_shared<Connection>(std::move(socket)));
            this->acceptNext();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
            connection->socket, boost::asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, connection](const boost::system::error_code &error, std::size_t size) {
                if (error)
                    return;
                const std::string head = connection->input.substr(0, size);
                connection->input.erase(0, size);
                this->respond(connection, head);
            });
    }

    void respond(const std::shared_ptr<Connection> &connection, const std::string &head)
    {
        const std::string callId = textBetween(head, "Attempt-Id: ", "\r");
        const std::string target = textBetween(head, "POST ", " ");
        const bool runs = this->generator.draw(0.5);
        if (runs)
            this->ranTargets.insert(target);
        const std::string response = this->generator.response(callId, target, runs);
        connection->output = this->generator.prefix(connection->sent) + this->generator.damaged(response);
        connection->sent.push_back(response);
        connection->closes = this->generator.draw(0.05);
        this->writePiece(connection);
    }

    void writePiece(const std::shared_ptr<Connection> &connection)
    {
        if (connection->output.empty()) {
            if (!connection->closes)
                this->read(connection);
            return;
        }
        const std::size_t size = 1 + this->generator.below(connection->output.size());
        const auto piece = std::make_shared<std::string>(connection->output.substr(0, size));
        connection->output.erase(0, size);
        boost::asio::async_write(
            connection->socket, boost::asio::buffer(*piece),
            [this, connection, piece](const boost::system::error_code &error, std::size_t) {
                if (!error)
                    this->writePiece(connection);
            });
    }

    ResponseGenerator generator;
    tcp::acceptor acceptor;
};

} // namespace

// Guards against bytes of a faulty upstream that make a promise or a success of another call's response.
TABLE_TEST(upstreamFuzz, whatACallIsToldIsTrue, seeds)
{
    PlatformGate platform;
    FuzzedUpstream upstream(platform.context, row);
    std::size_t promises = 0;
    std::size_t successes = 0;
    for (std::size_t number = 0; number < InputMutator::scaledRounds(callsPerSeed); ++number) {
        // A 421 makes the gate wait for an announcement.
        platform.gate.announce(
            {"booking", upstream.address(), 2, UpstreamCondition::Ready, "i-1", 7, number + 1});
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 50'000;
        request.callerCallId = "call-" + std::to_string(number % callIds);
        request.method = "POST";
        request.target = "/" + std::to_string(number); // Of this attempt only.
        const std::string target = request.target;
        const CallResponse response = platform.call(std::move(request));
        const bool ran = upstream.ranTargets.contains(target);
        cr_assert(response.outcome != Outcome::NotRun || !ran, "call %zu was told that it has not run",
                  number);
        cr_assert(response.outcome != Outcome::Done || (ran && response.body == target),
                  "call %zu got another's response: %s", number, response.body.c_str());
        promises += response.outcome == Outcome::NotRun;
        successes += response.outcome == Outcome::Done;
    }
    cr_expect(promises > 0 && successes > 0);
}
