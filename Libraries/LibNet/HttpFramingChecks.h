// The rules of message framing that hold for requests and for responses. Internal to LibNet, since it
// includes Beast's headers.
#pragma once

#include <LibNet/HttpWire.h>

#include <cstddef>
#include <string_view>

namespace Sagecrank {

// Describes what is wrong with the transfer coding of a message whose header Beast accepts; empty when it is
// valid. Two parsers may disagree on where such a message ends, and nothing here decodes other codings.
inline std::string_view findTransferCodingError(const boost::beast::http::fields &fields, unsigned version)
{
    constexpr unsigned version11 = 11;
    const std::size_t codingCount = fields.count(boost::beast::http::field::transfer_encoding);
    if (codingCount == 0)
        return {};
    if (codingCount > 1
        || !boost::beast::iequals(fields[boost::beast::http::field::transfer_encoding], "chunked"))
        return "a transfer coding other than chunked";
    if (fields.count(boost::beast::http::field::content_length) != 0)
        return "both a length and a transfer coding";
    if (version < version11)
        return "a transfer coding in HTTP/1.0";
    return {};
}

} // namespace Sagecrank
