// Stream types and message writing shared by the HTTP server and client. Internal to LibNet, since Beast's
// headers add seconds of compile time.
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

// Connections use the concrete executor type. Asio's default type-erased executor is copied and destroyed in
// each step of each operation, which took a tenth of a node's CPU time per call.
using HttpExecutor = boost::asio::io_context::executor_type;
using HttpSocket = boost::asio::ip::tcp::socket::rebind_executor<HttpExecutor>::other;
using HttpStream = boost::beast::basic_stream<boost::asio::ip::tcp, HttpExecutor>;

// Serialises the header into one contiguous buffer. Beast's own writer walks the header fields through nested
// buffer sequences several times per system call, which took a sixth of a node's CPU time per call.
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

// The header and the message must stay alive and unchanged until the write completes.
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
