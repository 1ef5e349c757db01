// Limits the table exchanges that a node serves: how many at once, and their bytes by the bandwidth of its
// link.
//
// When a whole fleet starts, everybody asks at once, while calls may already use the links.
#pragma once

#include <LibMembership/TokenBucket.h>

#include <cstdint>
#include <random>

namespace Sagecrank {

class TableAdmission
{
public:
    // `linkMbps`: zero if unknown.
    TableAdmission(std::uint32_t linkMbps, std::uint64_t seed)
        : bytes(bytesPerSecond(linkMbps), bytesPerSecond(linkMbps))
        , random(seed)
    {
    }

    // Commands. Each begin() that returns true must be followed by one end().
    bool begin(Instant now)
    {
        this->bytes.refill(now);
        if (this->active >= maximumActive || this->bytes.available() <= 0)
            return false;
        ++this->active;
        return true;
    }
    void sent(std::size_t count) { this->bytes.take(count); }
    void end() { --this->active; }
    // Randomised, so that nodes rejected together do not return together.
    Milliseconds retryAfter()
    {
        std::uniform_int_distribution<int> milliseconds(50, 300);
        return Milliseconds(milliseconds(this->random));
    }

private:
    static constexpr std::uint32_t maximumActive = 4;
    // A quarter of the link; the rest is for calls.
    static constexpr double linkShare = 0.25;
    static constexpr std::uint32_t assumedLinkMbps = 10;

    static double bytesPerSecond(std::uint32_t linkMbps)
    {
        return (linkMbps == 0 ? assumedLinkMbps : linkMbps) * 1e6 / 8 * linkShare;
    }

    TokenBucket bytes;
    std::mt19937_64 random;
    std::uint32_t active = 0; // Never above the maximum.
};

} // namespace Sagecrank
