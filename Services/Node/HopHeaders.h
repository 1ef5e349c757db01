// Hop-by-hop HTTP headers: they apply to one connection and are not forwarded with a request or
// response.
#pragma once

#include <LibNet/HttpMessages.h>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace Sagecrank {

inline bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::string_view hopByHopHeaders[] = {
        "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "TE", "Trailer",
        "Upgrade",    "Expect",         "Proxy-Connection"};
    return std::any_of(std::begin(hopByHopHeaders), std::end(hopByHopHeaders),
                       [name](std::string_view header) { return headerNamesEqual(header, name); });
}

} // namespace Sagecrank
