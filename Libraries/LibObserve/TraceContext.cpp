// Reads and writes the header without allocating more than its result.
#include <LibObserve/TraceContext.h>

namespace Sagecrank {

namespace {

constexpr std::size_t plainLength = 55;
constexpr unsigned invalidVersion = 0xff;

// Lower case only, as the standard says.
std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char digit : text) {
        value <<= 4;
        if (digit >= '0' && digit <= '9')
            value |= static_cast<std::uint64_t>(digit - '0');
        else if (digit >= 'a' && digit <= 'f')
            value |= static_cast<std::uint64_t>(digit - 'a' + 10);
        else
            return std::nullopt;
    }
    return value;
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view text)
{
    if (text.size() < plainLength || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const auto version = parseHex(text.substr(0, 2));
    if (!version || *version == invalidVersion)
        return std::nullopt;
    if (text.size() > plainLength && (*version == 0 || text[plainLength] != '-'))
        return std::nullopt;
    const auto high = parseHex(text.substr(3, 16));
    const auto low = parseHex(text.substr(19, 16));
    const auto span = parseHex(text.substr(36, 16));
    const auto flags = parseHex(text.substr(53, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    return TraceContext{*high, *low, *span, (*flags & 1) != 0};
}

std::string hexText(std::uint64_t value, int digits)
{
    constexpr std::string_view letters = "0123456789abcdef";
    std::string text(static_cast<std::size_t>(digits), '0');
    for (auto at = text.rbegin(); at != text.rend(); ++at) {
        *at = letters[value & 15];
        value >>= 4;
    }
    return text;
}

std::string formatTraceParent(const TraceContext &context)
{
    std::string text;
    text.reserve(plainLength);
    text.append("00-").append(hexText(context.traceHigh)).append(hexText(context.traceLow)).append("-");
    text.append(hexText(context.span)).append(context.sampled ? "-01" : "-00");
    return text;
}

} // namespace Sagecrank
