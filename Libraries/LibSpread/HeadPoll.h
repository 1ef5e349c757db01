// When a node reads the head row of the platform's table.
//
// Load: 6,500 nodes want to know of a new version within seconds, and the table gives about two thousand
// reads a second to everything. Harm: polling by every node each second is three times that. So the first two
// members of each zone poll each second (25 zones: 50 reads a second) and all others about once a minute
// (6,450 nodes: 108 reads a second); together 158 reads a second, 8% of what the platform gives. Everybody
// else hears of a version by gossip, and the slow poll bounds the time of one that a wrong view cut off.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <random>

namespace Sagecrank {

struct HeadPollSettings
{
    std::uint32_t fastPollersPerZone = 2; // Two, so that the death of one delays nothing.
    Duration fastInterval = Milliseconds(1000);
    Duration slowInterval = std::chrono::seconds(60);
    Duration longestBackoff = std::chrono::seconds(8);
    // The first read of a node that has heard of no peers: a whole fleet that starts at once spreads over it.
    Duration blindSpread = std::chrono::seconds(8);
    Duration firstSpread = Milliseconds(1000);
};

class HeadPoll
{
public:
    HeadPoll(HeadPollSettings settings, std::uint64_t seed);

    // Commands. Each draws jitter, so that nodes that started together do not stay together.
    Duration firstDelay(bool hasView);
    Duration nextDelay(std::uint32_t rank);
    void succeeded() { this->failures = 0; }
    void failed() { ++this->failures; }

    // Queries.
    bool isFast(std::uint32_t rank) const { return rank < this->settings.fastPollersPerZone; }
    std::uint32_t failuresInRow() const { return this->failures; }

private:
    Duration jittered(Duration interval, double spread);

    HeadPollSettings settings;
    std::mt19937_64 random;
    std::uint32_t failures = 0; // In a row.
};

} // namespace Sagecrank
