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

namespace {

void writeHex(char *at, std::uint64_t value, int digits)
{
    constexpr std::string_view letters = "0123456789abcdef";
    for (int digit = digits - 1; digit >= 0; --digit) {
        at[digit] = letters[value & 15];
        value >>= 4;
    }
}

} // namespace

std::string hexText(std::uint64_t value, int digits)
{
    std::string text(static_cast<std::size_t>(digits), '0');
    writeHex(text.data(), value, digits);
    return text;
}

std::string formatTraceParent(const TraceContext &context)
{
    std::string text(plainLength, '-');
    writeHex(text.data(), 0, 2);
    writeHex(text.data() + 3, context.traceHigh, 16);
    writeHex(text.data() + 19, context.traceLow, 16);
    writeHex(text.data() + 36, context.span, 16);
    writeHex(text.data() + 53, context.sampled ? 1 : 0, 2);
    return text;
}

} // namespace Sagecrank
