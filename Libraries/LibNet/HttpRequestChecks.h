// Validates a request that Beast has parsed and converts its header to plain values. Internal to LibNet's
// HTTP server, since it includes Beast's headers.
#pragma once

#include <LibNet/HttpFramingChecks.h>
#include <LibNet/HttpMessages.h>
#include <LibNet/HttpWire.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Sagecrank {

// Maps a Beast read error to a response status; returns 0 when the connection just ended.
inline std::uint32_t statusForReadError(const boost::beast::error_code &error)
{
    if (error == boost::beast::http::error::header_limit)
        return 431;
    if (error == boost::beast::http::error::body_limit)
        return 413;
    if (error.category() == boost::beast::error_code(boost::beast::http::error::bad_method).category()
        && error != boost::beast::http::error::end_of_stream
        && error != boost::beast::http::error::partial_message)
        return 400;
    return 0;
}

// Whether a request with this method has content: RFC 9110, sections 9.3.6 and 9.3.8. Content in GET, HEAD
// and DELETE has no defined meaning, but is forwarded.
inline bool mayHaveContent(boost::beast::http::verb method)
{
    return method != boost::beast::http::verb::connect && method != boost::beast::http::verb::trace;
}

inline bool announcesContent(const boost::beast::http::request_header<> &header)
{
    if (header.count(boost::beast::http::field::transfer_encoding) != 0)
        return true;
    const std::string_view length = header[boost::beast::http::field::content_length];
    return length.find_first_not_of('0') != std::string_view::npos;
}

// Describes what is wrong with a header that Beast accepts; empty when it is valid. Most of these cases allow
// request smuggling: two parsers disagree on where a request ends or which host it is for. RFC 9112 requires
// 400 for each of them.
inline std::string_view findHeaderError(const boost::beast::http::request_header<> &header)
{
    if (!mayHaveContent(header.method()) && announcesContent(header))
        return "content in a request whose method has none";
    constexpr unsigned version11 = 11;
    const std::size_t hostCount = header.count(boost::beast::http::field::host);
    if (hostCount > 1)
        return "more than one Host";
    if (hostCount == 0 && header.version() >= version11)
        return "no Host";
    return findTransferCodingError(header, header.version());
}

inline HttpRequest toHttpRequest(const boost::beast::http::request<boost::beast::http::string_body> &message)
{
    HttpRequest request;
    request.method = message.method_string();
    request.target = message.target();
    request.headers.reserve(8);
    for (const auto &field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return request;
}

} // namespace Sagecrank
