// Tables of names for enumerations: what stands in settings, logs and answers is written in one place.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Sagecrank {

template <typename Enum, std::size_t Count>
struct EnumNames
{
    // One row per enumerator; a value without a row is named "unknown".
    std::pair<Enum, std::string_view> rows[Count];

    static constexpr std::size_t size() { return Count; }

    constexpr std::string_view name(Enum value) const
    {
        for (const auto &row : this->rows) {
            if (row.first == value)
                return row.second;
        }
        return "unknown";
    }

    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const auto &row : this->rows) {
            if (row.second == name)
                return row.first;
        }
        return std::nullopt;
    }
};

} // namespace Sagecrank
