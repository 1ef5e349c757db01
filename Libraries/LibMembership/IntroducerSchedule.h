// Decides when a node writes and reads the introducer rows through which nodes without seeds find each other.
// A state machine without clocks or I/O. The rows of all zones share one partition, so one read returns the
// introducers of the node's own zone and of the others.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <random>

namespace Sagecrank {

struct IntroducerTiming
{
    // Gives seeds time to answer before the table is read. Zero without seeds.
    Duration initialDelay = Milliseconds(1500);
    // Pause after the first round of an isolated node, one that knows no other member; doubles up to the
    // maximum.
    Duration isolatedBackoff = Milliseconds(3000);
    Duration maximumIsolatedBackoff = Milliseconds(30000);
    // Pause of an isolated node that found introducers of its zone: it contacts them again and again
    // meanwhile.
    Duration contactPause = Milliseconds(3000);
    // Longest random addition to the initial delay, so that most nodes of a fleet that starts find the rows
    // that the first ones write.
    Duration initialSpread{};
};

// Which of the zone's introducer rows a node writes in a round. A zone has introducersPerZone of them.
enum class IntroducerWrite : std::uint8_t {
    None,
    RankedRow, // The row of its own rank, without waiting for the read.
    FreeRow,   // A free row, if the read of this round finds one. Not by each of many that start together.
    AnyRow,    // A free row, or else over another node's row.
};

// What one round does.
struct IntroducerRound
{
    bool read = false;
    bool contactOtherZones = false; // In addition to the introducers of its own zone.
    IntroducerWrite write = IntroducerWrite::None;
    Duration pause{}; // Until the next round.
};

inline constexpr std::uint32_t introducersPerZone = 3;

// Pause between rounds once the node has found its peers.
inline constexpr Duration introducerRenewalInterval = std::chrono::seconds(60);

class IntroducerSchedule
{
public:
    IntroducerSchedule(IntroducerTiming timing, std::uint64_t seed)
        : timing(timing)
        , backoff(timing.isolatedBackoff)
        , random(seed)
    {
    }

    // Commands.

    // `rank` is the node's position among the known members of its zone; 0 is the first.
    IntroducerRound next(bool knowsOthers, std::uint32_t rank);
    // Pause from the answer to this round's read until the next round; zero: as the round said.
    Duration readAnswered(bool knowsOthers, bool foundOwnZone) const;

private:
    IntroducerWrite chooseWrite(bool knowsOthers, std::uint32_t rank);

    IntroducerTiming timing;
    Duration backoff; // Next pause, unless the node has settled.
    std::mt19937_64 random;
    std::uint32_t roundsStarted = 0;
};

} // namespace Sagecrank
