// Headers that concern one connection only: neither a request nor an answer carries them on to the next.
#pragma once

#include <LibNet/HttpMessages.h>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace Sagecrank {

inline bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::string_view hop[] = {
        "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "TE", "Trailer",
        "Upgrade",    "Expect",         "Proxy-Connection"};
    return std::any_of(std::begin(hop), std::end(hop),
                       [name](std::string_view header) { return headerNamesEqual(header, name); });
}

} // namespace Sagecrank
