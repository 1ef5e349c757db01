// Sends and receives raw bytes, for requests that an HTTP client would not send.
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

// Returns everything that the server sends until it closes. `sendError` reports whether the text could be
// sent completely: a server may close before it has read everything.
inline std::string exchangeRaw(const std::string &address, const std::string &text,
                               boost::system::error_code &sendError)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket = connectTo(context, address);
    boost::asio::write(socket, boost::asio::buffer(text), sendError);
    if (!sendError)
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, sendError);
    std::string response;
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), ignored);
    return response;
}

// As above, but throws boost::system::system_error when the text could not be sent completely.
inline std::string exchangeRaw(const std::string &address, const std::string &text)
{
    boost::system::error_code sendError;
    std::string response = exchangeRaw(address, text, sendError);
    if (sendError)
        throw boost::system::system_error(sendError);
    return response;
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
        std::string response;
        boost::system::error_code ignored;
        boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(response), end, ignored);
        return response;
    }

    std::string readUntilClosed()
    {
        std::string response;
        boost::system::error_code ignored;
        boost::asio::read(this->socket, boost::asio::dynamic_buffer(response), ignored);
        return response;
    }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

} // namespace Sagecrank
