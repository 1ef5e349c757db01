// Stream types and message writing shared by the HTTP server and client. Internal to LibNet, since Beast's
// headers add seconds of compile time.
#pragma once

#include <LibCore/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cstddef>
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

// Received bytes of one message that are held until they are parsed: a chunk's header with its extensions,
// the trailers, and what has been read ahead. The parser's limits cover the header and the body only.
inline constexpr std::size_t maximumUnparsedBytes = 65'536;

// Beast throws for a header field of 64 KiB or more. A header is therefore limited to less, and trailers are
// parsed from the unparsed bytes, which hold no such field either.
inline constexpr std::uint32_t maximumParsedHeaderBytes = 65'000;
static_assert(maximumParsedHeaderBytes < maximumUnparsedBytes);

// Whether a message was rejected because one of its parts is larger than allowed.
inline bool isSizeError(const boost::beast::error_code &error)
{
    namespace http = boost::beast::http;
    return error == http::error::buffer_overflow || error == http::error::header_limit
           || error == http::error::body_limit;
}

// Parses what the buffer holds. It is no error that the message is not complete.
template <bool isRequest>
boost::beast::error_code
parseBuffer(boost::beast::flat_buffer &buffer,
            boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser)
{
    boost::beast::error_code error;
    if (buffer.size() != 0)
        buffer.consume(parser.put(buffer.data(), error));
    return error == boost::beast::http::error::need_more ? boost::beast::error_code() : error;
}

// Parses the end of the connection, which completes a message without a length.
template <bool isRequest>
boost::beast::error_code
parseEndOfStream(boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser)
{
    if (!parser.got_some())
        return boost::beast::http::error::end_of_stream;
    boost::beast::error_code error;
    parser.put_eof(error);
    return error;
}

// Reads until the parser has the whole message, and checks the deadline after each read. Beast's own reads do
// not end, and the stream's timeout, which each of them rearms, does not fire, while data keeps arriving
// whose last part is incomplete. The stream, the buffer and the parser must stay alive until the handler has
// run; it runs at once if the buffer holds the rest of the message.
template <bool isRequest, typename Handler>
void readMessage(HttpStream &stream, boost::beast::flat_buffer &buffer,
                 boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser,
                 Instant deadline, Handler handler)
{
    parser.eager(true);
    const boost::beast::error_code problem = parseBuffer(buffer, parser);
    if (problem || parser.is_done())
        return handler(problem);
    if (SteadyClock::now() >= deadline)
        return handler(boost::beast::error_code(boost::beast::error::timeout));
    const std::size_t size = boost::beast::read_size(buffer, maximumUnparsedBytes);
    if (size == 0)
        return handler(boost::beast::error_code(boost::beast::http::error::buffer_overflow));
    stream.async_read_some(buffer.prepare(size),
                           [&stream, &buffer, &parser, deadline, handler = std::move(handler)](
                               boost::beast::error_code error, std::size_t received) mutable {
                               if (error == boost::asio::error::eof)
                                   return handler(parseEndOfStream(parser));
                               if (error)
                                   return handler(error);
                               buffer.commit(received);
                               readMessage(stream, buffer, parser, deadline, std::move(handler));
                           });
}

} // namespace Sagecrank
