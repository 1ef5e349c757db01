// The W3C trace context of a call, as it travels in the header `traceparent`:
//   00-<trace id, 32 hex digits>-<parent span id, 16 hex digits>-<flags, 2 hex digits>
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sagecrank {

struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0; // The two halves are not both zero.
    std::uint64_t span = 0;     // The sender's span; not zero.
    bool sampled = true;

    bool operator==(const TraceContext &) const = default;
};

// None when the text is malformed or names a zero id: the standard then has the receiver start a new trace.
// A later version of the header is read by its first four parts, as the standard asks.
std::optional<TraceContext> parseTraceParent(std::string_view text);

std::string formatTraceParent(const TraceContext &context);

// `digits` hex digits, lower case, zeros in front.
std::string hexText(std::uint64_t value, int digits = 16);

} // namespace Sagecrank
