// Reads the headers in which an upstream states its limit and that it leaves.
#include "UpstreamSignals.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace Sagecrank {

namespace {

constexpr std::string_view leavingValue = "1";

LimitStatement readLimit(std::string_view text)
{
    if (text.empty())
        return {LimitStatementKind::None, 0};
    double callsPerSecond = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), callsPerSecond);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isWhole || !std::isfinite(callsPerSecond) || callsPerSecond < 0)
        return {LimitStatementKind::Malformed, 0};
    return {LimitStatementKind::Named, callsPerSecond};
}

} // namespace

UpstreamSignals readUpstreamSignals(const std::vector<Header> &headers, const CallHeaders &names)
{
    return {readLimit(findHeader(headers, names.upstreamLimit)),
            findHeader(headers, names.upstreamLeaving) == leavingValue};
}

} // namespace Sagecrank
