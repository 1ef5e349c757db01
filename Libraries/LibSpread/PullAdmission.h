// Limits how many configuration pulls a node serves at once.
//
// Hundreds of peers learn within a second that this node holds a new version. Serving all of them at once
// would take bandwidth and CPU time from its calls. With a limit of eight, memory is no concern, since a full
// site of 820 services is about 150 KB. A rejected peer soon finds another holder, because every served peer
// becomes one.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <random>

namespace Sagecrank {

class PullAdmission
{
public:
    PullAdmission(std::uint32_t limit, std::uint64_t seed)
        : limit(limit)
        , random(seed)
    {
    }

    // Commands. Each begin() that returns true must be followed by one end().
    bool begin()
    {
        if (this->active >= this->limit) {
            ++this->rejected;
            return false;
        }
        ++this->active;
        return true;
    }
    void end() { --this->active; }
    // Randomised, so that peers rejected together do not retry together.
    Duration retryAfter()
    {
        std::uniform_int_distribution<int> milliseconds(50, 300);
        return Milliseconds(milliseconds(this->random));
    }

    // Queries.
    std::uint32_t activeCount() const { return this->active; }
    std::uint64_t rejectedCount() const { return this->rejected; }

private:
    std::uint32_t limit;
    std::mt19937_64 random;
    std::uint32_t active = 0; // Never above the limit.
    std::uint64_t rejected = 0;
};

} // namespace Sagecrank
