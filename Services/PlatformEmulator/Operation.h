// One request to the platform after it was read: what it costs and what it does. Reading a request and
// doing it are apart, because limits, delays and lost answers come between the two.
#pragma once

#include <LibNet/HttpMessages.h>

#include <cstdint>
#include <functional>

namespace Sagecrank {

struct Operation
{
    bool isWrite = false;
    std::uint32_t units = 1; // Items read or written; what the limits count.
    std::function<HttpResponse()> apply;
};

} // namespace Sagecrank
