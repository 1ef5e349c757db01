// The clock types that decisions are driven by. State machines never read a clock; they are passed an
// Instant.
#pragma once

#include <chrono>
#include <cstdint>

namespace Sagecrank {

using SteadyClock = std::chrono::steady_clock;
using Instant = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

// Rounded towards zero; for log lines and messages.
inline std::int64_t wholeMilliseconds(Duration span)
{
    return std::chrono::duration_cast<Milliseconds>(span).count();
}

} // namespace Sagecrank
