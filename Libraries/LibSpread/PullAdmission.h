// How many pulls a node serves at once.
//
// Load: hundreds of peers learn within a second that this node holds a new version. Harm: serving all of them
// takes the node's bandwidth and processor time from its calls. Limit: eight at once; a whole site of 820
// services is about 150 KB, so eight fit in memory many times over, and a peer that is sent away finds
// another holder soon, because each that was served is one.
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

    // Commands. Every begin() that said yes is followed by one end().
    bool begin()
    {
        if (this->serving >= this->limit) {
            ++this->turnedAway;
            return false;
        }
        ++this->serving;
        return true;
    }
    void end() { --this->serving; }
    // Spread, so that peers that were sent away together do not come back together.
    Duration retryAfter()
    {
        std::uniform_int_distribution<int> spread(50, 300);
        return Milliseconds(spread(this->random));
    }

    // Queries.
    std::uint32_t activeCount() const { return this->serving; }
    std::uint64_t rejectedCount() const { return this->turnedAway; }

private:
    std::uint32_t limit;
    std::mt19937_64 random;
    std::uint32_t serving = 0; // Never above limit.
    std::uint64_t turnedAway = 0;
};

} // namespace Sagecrank
