// The hash that names and checks content.
#pragma once

#include <cstdint>

namespace Sagecrank {

// A 128-bit content hash. It finds damage and names content; it is no defence against a forger.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const Digest &) const = default;
    bool operator<(const Digest &other) const
    {
        return this->high != other.high ? this->high < other.high : this->low < other.low;
    }
};

} // namespace Sagecrank
