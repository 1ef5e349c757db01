// When a node writes and reads the rows over which nodes find each other: a decision without clocks or calls.
// Each zone has rows of its own, and one row a zone in a partition that all zones read.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Sagecrank {

struct IntroducerPace
{
    // Seeds are given this long to answer before the table is asked. Zero where there are no seeds.
    Duration firstRound = Milliseconds(1500);
    // Between the rounds of a node that knows nobody; doubles up to the longest.
    Duration lonelyBackoff = Milliseconds(3000);
    Duration longestLonelyBackoff = Milliseconds(30000);
};

// What one round does.
struct IntroducerRound
{
    bool writeZone = false;
    bool writeMesh = false;
    bool readZone = false;
    bool readMesh = false;
    Duration pause{}; // Until the next round.
};

// How long a settled zone waits from round to round.
inline constexpr Duration introducerRenewal = std::chrono::seconds(60);

class IntroducerRounds
{
public:
    explicit IntroducerRounds(IntroducerPace pace)
        : pace(pace)
        , backoff(pace.lonelyBackoff)
    {
    }

    // `rank` is the node's place among the members of its zone that it knows; 0 is the first.
    IntroducerRound next(bool knowsOthers, std::uint32_t rank);

private:
    IntroducerPace pace;
    Duration backoff; // Of the next round but one, unless the zone has settled.
    std::uint32_t begun = 0;
};

} // namespace Sagecrank
