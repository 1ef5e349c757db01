// A server that runs a script on a thread of its own, and a client's call to it.
#pragma once

#include <LibNet/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Sagecrank {

class ScriptedServer
{
public:
    template <typename Script>
    explicit ScriptedServer(Script script)
        : acceptor(this->context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
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
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

inline std::string readHeader(boost::asio::ip::tcp::socket &socket, std::string &buffer)
{
    boost::system::error_code ignored;
    const std::size_t size =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", ignored);
    std::string header = buffer.substr(0, size);
    buffer.erase(0, size);
    return header;
}

enum class StreamEnd : std::uint8_t {
    Closed,
    Reset,
};

// Responds to the requests of as many connections in turn, one each, and ends each connection after it.
inline void respondInTurn(boost::asio::ip::tcp::acceptor &acceptor, const std::vector<std::string> &responses,
                          StreamEnd end)
{
    constexpr auto untilReceived = std::chrono::milliseconds(5);
    for (const std::string &response : responses) {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        std::string buffer;
        readHeader(socket, buffer);
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(response), ignored);
        if (end == StreamEnd::Closed)
            continue;
        // A reset discards what the other end has not received yet.
        std::this_thread::sleep_for(untilReceived);
        socket.set_option(boost::asio::ip::tcp::socket::linger(true, 0));
        socket.close(); // The destructor would undo the option.
    }
}

// The first 0 bytes of `whole`, the first byte of it, and so on. Without `whole` itself.
inline std::vector<std::string> prefixesOf(const std::string &whole)
{
    std::vector<std::string> prefixes;
    for (std::size_t size = 0; size < whole.size(); ++size)
        prefixes.push_back(whole.substr(0, size));
    return prefixes;
}

struct CallResult
{
    bool failed = false;
    bool mayHaveBeenSent = false;
    HttpResponse response;
};

inline CallResult sendAndWait(boost::asio::io_context &context, HttpClient &client,
                              const std::string &address, HttpRequest request, const HttpSendOptions &options)
{
    CallResult result;
    client.send(address, std::move(request), options, [&](const HttpFailure *failure, HttpResponse response) {
        result.failed = failure != nullptr;
        result.mayHaveBeenSent = failure != nullptr && failure->mayHaveBeenSent;
        result.response = std::move(response);
        context.stop();
    });
    context.restart();
    context.run_for(std::chrono::seconds(11));
    return result;
}

inline CallResult sendAndWait(boost::asio::io_context &context, HttpClient &client,
                              const std::string &address, std::string body,
                              ConnectionReuse reuse = ConnectionReuse::Allowed)
{
    return sendAndWait(context, client, address, {"POST", "/", {}, std::move(body)},
                       {std::chrono::seconds(10), {}, reuse});
}

} // namespace Sagecrank
