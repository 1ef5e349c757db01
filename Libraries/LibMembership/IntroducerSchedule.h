// When a node writes and reads the rows over which nodes find each other: a decision without clocks or calls.
// A few rows a zone stand in one partition, so that one read shows a node its own zone and the others.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Sagecrank {

struct IntroducerTiming
{
    // Seeds are given this long to answer before the table is asked. Zero where there are no seeds.
    Duration initialDelay = Milliseconds(1500);
    // Between the rounds of a node that knows nobody; doubles up to the longest.
    Duration isolatedBackoff = Milliseconds(3000);
    Duration maximumIsolatedBackoff = Milliseconds(30000);
};

// Where a node writes its own row, if it does. Rows of a zone stand in as many places as it may have.
enum class IntroducerWrite : std::uint8_t {
    None,
    RankedRow, // The one of its rank, at once.
    FreeRow,   // After the read of the round, if one is free.
    AnyRow,    // The same, and else in place of another row.
};

// What one round does.
struct IntroducerRound
{
    bool read = false;
    bool contactOtherZones = false; // Beside those of its own zone.
    IntroducerWrite write = IntroducerWrite::None;
    Duration pause{}; // Until the next round.
};

inline constexpr std::uint32_t introducersPerZone = 3;

// How long a settled zone waits from round to round.
inline constexpr Duration introducerRenewalInterval = std::chrono::seconds(60);

class IntroducerSchedule
{
public:
    explicit IntroducerSchedule(IntroducerTiming pace)
        : pace(pace)
        , backoff(pace.isolatedBackoff)
    {
    }

    // `rank` is the node's place among the members of its zone that it knows; 0 is the first.
    IntroducerRound next(bool knowsOthers, std::uint32_t rank);

private:
    IntroducerWrite writeOf(bool knowsOthers, std::uint32_t rank) const;

    IntroducerTiming pace;
    Duration backoff; // Of the next round but one, unless the zone has settled.
    std::uint32_t begun = 0;
};

} // namespace Sagecrank
