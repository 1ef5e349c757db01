// Counts of values in buckets whose width grows with the value, so that a quantile of any size of value is
// known to the same relative error in a fixed amount of memory. Plain arithmetic; no locks.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>

namespace Sagecrank {

// Each power of two is cut into 2^PrecisionBits buckets: a bucket's middle is off by at most
// 1 / 2^(PrecisionBits + 1) of the value. Values at or above 2^RangeBits share the last bucket.
template <unsigned PrecisionBits, unsigned RangeBits>
struct LogBuckets
{
    static constexpr std::size_t perPower = std::size_t{1} << PrecisionBits;
    static constexpr std::size_t count = (RangeBits - PrecisionBits + 1) * perPower;

    static constexpr std::size_t index(std::uint64_t value)
    {
        if (value < perPower)
            return static_cast<std::size_t>(value);
        const unsigned power = static_cast<unsigned>(std::bit_width(value)) - 1;
        if (power >= RangeBits)
            return count - 1;
        const unsigned shift = power - PrecisionBits;
        return ((shift + 1) * perPower) + static_cast<std::size_t>((value >> shift) - perPower);
    }

    // The middle of the bucket.
    static constexpr double value(std::size_t index)
    {
        if (index < perPower)
            return static_cast<double>(index);
        const std::size_t shift = (index / perPower) - 1;
        const auto width = static_cast<double>(std::uint64_t{1} << shift);
        const auto low = static_cast<double>(perPower + (index % perPower)) * width;
        return low + ((width - 1) / 2);
    }
};

} // namespace Sagecrank
