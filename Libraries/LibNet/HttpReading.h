// Reads an HTTP message within bounds of time and memory, whatever arrives. Internal to LibNet, since it
// includes Beast's headers.
#pragma once

#include <LibCore/Time.h>
#include <LibNet/HttpWire.h>

#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace Sagecrank {

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

// Reads until `parse` returns a result, which is an error or the end of what it parses, and checks the
// deadline after each read. Beast's own reads do not end, and the stream's timeout, which each of them
// rearms, does not fire, while data keeps arriving whose last part is incomplete. The stream, the buffer and
// the parser must stay alive until the handler has run; it runs at once if the buffer holds all that `parse`
// needs.
template <bool isRequest, typename Parse, typename Handler>
void readUntilParsed(HttpStream &stream, boost::beast::flat_buffer &buffer,
                     boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser,
                     Instant deadline, Parse parse, Handler handler)
{
    const std::optional<boost::beast::error_code> parsed = parse();
    if (parsed)
        return handler(*parsed);
    if (SteadyClock::now() >= deadline)
        return handler(boost::beast::error_code(boost::beast::error::timeout));
    const std::size_t size = boost::beast::read_size(buffer, maximumUnparsedBytes);
    if (size == 0)
        return handler(boost::beast::error_code(boost::beast::http::error::buffer_overflow));
    stream.async_read_some(
        buffer.prepare(size),
        [&stream, &buffer, &parser, deadline, parse = std::move(parse),
         handler = std::move(handler)](boost::beast::error_code error, std::size_t received) mutable {
            if (error == boost::asio::error::eof)
                return handler(parseEndOfStream(parser));
            if (error)
                return handler(error);
            buffer.commit(received);
            readUntilParsed(stream, buffer, parser, deadline, std::move(parse), std::move(handler));
        });
}

// Reads until the parser has the header. What follows it stays in the buffer. `check` is asked for an error
// in the bytes that are to be parsed next, which start at a line.
template <bool isRequest, typename Check, typename Handler>
void readHeader(HttpStream &stream, boost::beast::flat_buffer &buffer,
                boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser,
                Instant deadline, Check check, Handler handler)
{
    parser.eager(false);
    const auto parse = [&buffer, &parser,
                        check = std::move(check)]() -> std::optional<boost::beast::error_code> {
        const boost::asio::const_buffer unparsed = buffer.data();
        boost::beast::error_code problem =
            check(std::string_view(static_cast<const char *>(unparsed.data()), unparsed.size()));
        if (!problem)
            problem = parseBuffer(buffer, parser);
        return problem || parser.is_header_done() ? std::optional(problem) : std::nullopt;
    };
    readUntilParsed(stream, buffer, parser, deadline, parse, std::move(handler));
}

// Reads until the parser has the whole message. `admit` is asked after each read with the size of the body so
// far; if it returns false, reading fails with no_buffer_space.
template <bool isRequest, typename Admit, typename Handler>
void readMessage(HttpStream &stream, boost::beast::flat_buffer &buffer,
                 boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser,
                 Instant deadline, Admit admit, Handler handler)
{
    parser.eager(true);
    const auto parse = [&buffer, &parser,
                        admit = std::move(admit)]() -> std::optional<boost::beast::error_code> {
        const boost::beast::error_code problem = parseBuffer(buffer, parser);
        if (!problem && !admit(parser.get().body().size()))
            return boost::beast::error_code(boost::asio::error::no_buffer_space);
        return problem || parser.is_done() ? std::optional(problem) : std::nullopt;
    };
    readUntilParsed(stream, buffer, parser, deadline, parse, std::move(handler));
}

// The same for a body that is bounded by the parser's limit only.
template <bool isRequest, typename Handler>
void readMessage(HttpStream &stream, boost::beast::flat_buffer &buffer,
                 boost::beast::http::parser<isRequest, boost::beast::http::string_body> &parser,
                 Instant deadline, Handler handler)
{
    readMessage(
        stream, buffer, parser, deadline, [](std::size_t) { return true; }, std::move(handler));
}

} // namespace Sagecrank
