// The clock types that decisions are driven by. State machines never read a clock; they are passed an
// Instant.
#pragma once

#include <chrono>

namespace Sagecrank {

using SteadyClock = std::chrono::steady_clock;
using Instant = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

} // namespace Sagecrank
