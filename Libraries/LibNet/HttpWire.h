// What the HTTP server and client share: the types of their connections, and the writing of a message. Only
// for their two .cpp files, since Beast's headers cost seconds to compile.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <string>
#include <utility>

namespace Sagecrank {

// A connection knows its io_context by type. With the type-erased executor that the libraries use unless told
// otherwise, each step of each operation copies and destroys one, a tenth of a node's time for a call.
using HttpExecutor = boost::asio::io_context::executor_type;
using HttpSocket = boost::asio::ip::tcp::socket::rebind_executor<HttpExecutor>::other;
using HttpStream = boost::beast::basic_stream<boost::asio::ip::tcp, HttpExecutor>;

// The header as one run of bytes. Beast's own writing walks the header field by field through nested buffer
// sequences several times for each system call, which took a sixth of a node's time for a call.
template <bool isRequest>
std::string
headerBytes(const boost::beast::http::message<isRequest, boost::beast::http::string_body> &message)
{
    namespace http = boost::beast::http;
    http::serializer<isRequest, http::string_body> serializer(message);
    serializer.split(true);
    std::string bytes;
    bytes.reserve(512);
    boost::beast::error_code error;
    serializer.next(error, [&bytes](boost::beast::error_code &, const auto &buffers) {
        for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers))
            bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
    });
    return bytes;
}

// The header's bytes and the message stay alive and unchanged until the write ends.
template <bool isRequest, typename Handler>
void writeMessage(HttpStream &stream, const std::string &header,
                  const boost::beast::http::message<isRequest, boost::beast::http::string_body> &message,
                  Handler &&handler)
{
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(header),
                                                           boost::asio::buffer(message.body())};
    boost::asio::async_write(stream, buffers, std::forward<Handler>(handler));
}

} // namespace Sagecrank
