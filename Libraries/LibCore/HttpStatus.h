// The valid statuses of HTTP responses, by RFC 9110, section 15.
#pragma once

#include <cstdint>

namespace Sagecrank {

// The final response follows.
constexpr bool isInterimStatus(std::uint32_t status)
{
    return status >= 100 && status < 200;
}

constexpr bool isFinalStatus(std::uint32_t status)
{
    return status >= 200 && status < 600;
}

} // namespace Sagecrank
