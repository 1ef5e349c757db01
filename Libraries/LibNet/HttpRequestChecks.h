// What the HTTP server makes of a request that Beast has read: what is wrong with it, and its header as plain
// values. Only for the server's .cpp file, as HttpWire.h is.
#pragma once

#include <LibNet/HttpMessages.h>
#include <LibNet/HttpWire.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Sagecrank {

// What Beast found wrong with a request, as the status that says so; zero when the connection just ended.
inline std::uint32_t statusOfReadError(const boost::beast::error_code &error)
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

// What is wrong with a header that Beast takes, or nothing. Failure: two readers of one request see its end
// at different places, or route it by different hosts. Symptom: a second request smuggled inside the first
// runs. RFC 9112 asks for 400 in each of these cases.
inline std::string_view headerProblem(const boost::beast::http::request_header<> &header)
{
    constexpr unsigned version11 = 11;
    const std::size_t hosts = header.count(boost::beast::http::field::host);
    if (hosts > 1)
        return "more than one Host";
    if (hosts == 0 && header.version() >= version11)
        return "no Host";
    const std::size_t codings = header.count(boost::beast::http::field::transfer_encoding);
    if (codings == 0)
        return {};
    if (codings > 1
        || !boost::beast::iequals(header[boost::beast::http::field::transfer_encoding], "chunked"))
        return "a transfer coding other than chunked";
    if (header.count(boost::beast::http::field::content_length) != 0)
        return "both a length and a transfer coding";
    if (header.version() < version11)
        return "a transfer coding in HTTP/1.0";
    return {};
}

inline HttpRequest headerOf(const boost::beast::http::request<boost::beast::http::string_body> &message)
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
