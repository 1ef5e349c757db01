// A parsed request: its cost and its effect. Parsing and applying are separate steps because rate limits,
// delays and lost responses are decided between them.
#pragma once

#include <LibNet/HttpMessages.h>

#include <cstdint>
#include <functional>

namespace Sagecrank {

struct Operation
{
    bool isWrite = false;
    std::uint32_t units = 1; // Items read or written, counted by the rate limits.
    std::function<HttpResponse()> apply;
};

} // namespace Sagecrank
