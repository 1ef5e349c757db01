// Times as people and other systems write them: a number and its unit, "1500ms" or "2.5s".
#pragma once

#include <LibCore/Time.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace Sagecrank {

// Nothing when the text is no such time, is negative or longer than a year.
inline std::optional<Milliseconds> parseDuration(std::string_view text)
{
    constexpr double longest = 365.0 * 24 * 3600 * 1000;
    double number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc())
        return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (unit != "ms" && unit != "s")
        return std::nullopt;
    const double milliseconds = unit == "s" ? number * 1000 : number;
    if (!(milliseconds >= 0 && milliseconds <= longest))
        return std::nullopt;
    return Milliseconds(std::llround(milliseconds));
}

} // namespace Sagecrank
