// Letters without regard to case, as protocols compare names. Bytes beyond ASCII are left as they are.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Sagecrank {

constexpr char lowerLetter(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

inline std::string lowerText(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), lowerLetter);
    return lower;
}

constexpr bool sameWithoutCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lowerLetter, lowerLetter);
}

// For tables that are searched without regard to case and without a copy of the text.
struct CaselessHash
{
    using is_transparent = void;
    constexpr std::size_t operator()(std::string_view text) const
    {
        // FNV-1a of 64 bits.
        std::uint64_t hash = 0xcbf29ce484222325ULL;
        for (const char letter : text)
            hash = (hash ^ static_cast<unsigned char>(lowerLetter(letter))) * 0x100000001b3ULL;
        return hash;
    }
};

struct CaselessEqual
{
    using is_transparent = void;
    constexpr bool operator()(std::string_view left, std::string_view right) const
    {
        return sameWithoutCase(left, right);
    }
};

} // namespace Sagecrank
