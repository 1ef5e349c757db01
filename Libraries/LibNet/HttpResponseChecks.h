// What is a valid and complete response, by RFC 9110 and RFC 9112, beyond what Beast checks. Internal to
// LibNet's HTTP client, since it includes Beast's headers.
#pragma once

#include <LibCore/HttpStatus.h>
#include <LibNet/HttpFramingChecks.h>
#include <LibNet/HttpMessages.h>
#include <LibNet/HttpWire.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Sagecrank {

// Whether a header contains a continuation line. Beast appends such a line to the value before it; another
// parser takes it for a field, which may be the one that states the length. RFC 9112, section 5.2 lets a
// gateway reject the response. `header` starts at a line; what follows the header is not looked at.
inline bool hasFoldedLine(std::string_view header)
{
    constexpr std::string_view lineEnd = "\r\n";
    while (!header.starts_with(lineEnd)) {
        const std::size_t end = header.find(lineEnd);
        if (end == std::string_view::npos)
            return false;
        header.remove_prefix(end + lineEnd.size());
        if (header.starts_with(' ') || header.starts_with('\t'))
            return true;
    }
    return false;
}

// Checks a header before it is parsed, as far as it has been received.
inline boost::beast::error_code checkUnparsedHeader(std::string_view header)
{
    if (hasFoldedLine(header))
        return boost::beast::http::error::bad_obs_fold;
    return {};
}

// Describes what is wrong with a header that Beast accepts; empty when it is valid.
inline std::string_view findHeaderError(const boost::beast::http::response_header<> &header)
{
    const std::uint32_t status = header.result_int();
    if (!isInterimStatus(status) && !isFinalStatus(status))
        return "a status outside of 100 to 599";
    // The client never asks for it, and what follows on the connection would be no HTTP.
    if (header.result() == boost::beast::http::status::switching_protocols)
        return "a switch of protocols";
    return findTransferCodingError(header, header.version());
}

// Whether a body without a length, which ends with the connection, is complete. The system reports a reset
// once: if a write has reported it, the next read finds what looks like a regular end. The error is EPIPE
// only if the server had ended its side before the reset, and all that it sent before has been received.
inline bool isCompleteAtEndOfStream(const boost::beast::error_code &writeError)
{
    return !writeError || writeError == boost::asio::error::broken_pipe;
}

// Without the body.
inline HttpResponse toHttpResponse(const boost::beast::http::response_header<> &header)
{
    HttpResponse response;
    response.status = header.result_int();
    response.headers.reserve(8);
    for (const auto &field : header)
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return response;
}

} // namespace Sagecrank
