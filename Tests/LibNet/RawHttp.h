// Bytes to and from a server as they are, for requests that no client would send.
#pragma once

#include <LibNet/FramedConnection.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>

namespace Sagecrank {

inline boost::asio::ip::tcp::socket connectTo(boost::asio::io_context &context, const std::string &address)
{
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(parseTcpEndpoint(address).value());
    return socket;
}

// What the server answers until it closes. `sending` tells whether all of the text left: a server may close
// before it has read everything.
inline std::string exchangeRaw(const std::string &address, const std::string &text,
                               boost::system::error_code &sending)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket = connectTo(context, address);
    boost::asio::write(socket, boost::asio::buffer(text), sending);
    if (!sending)
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, sending);
    std::string answer;
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
    return answer;
}

// The same where the whole text must leave; throws boost::system::system_error when it does not.
inline std::string exchangeRaw(const std::string &address, const std::string &text)
{
    boost::system::error_code sending;
    std::string answer = exchangeRaw(address, text, sending);
    if (sending)
        throw boost::system::system_error(sending);
    return answer;
}

// A connection that stays open between sending and reading; closes when it goes out of scope.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address)
        : socket(connectTo(this->context, address))
    {
    }

    void send(const std::string &text) { boost::asio::write(this->socket, boost::asio::buffer(text)); }

    void close() { this->socket.close(); }

    std::string readUntil(const std::string &end)
    {
        std::string answer;
        boost::system::error_code ignored;
        boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(answer), end, ignored);
        return answer;
    }

    std::string readToEnd()
    {
        std::string answer;
        boost::system::error_code ignored;
        boost::asio::read(this->socket, boost::asio::dynamic_buffer(answer), ignored);
        return answer;
    }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

} // namespace Sagecrank
