// Chooses the reads, writes and pauses of introducer rounds.
#include <LibMembership/IntroducerSchedule.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// After this many rounds an isolated node overwrites the rows of others: they may name only hosts that are
// gone.
constexpr std::uint32_t roundsBeforeOverwrite = 3;

// In its first round one isolated node in this many writes a free row. The rows of all zones share a
// partition that takes 200 writes a second; when each node of a starting fleet wrote, the rows appeared
// seconds late.
constexpr std::uint32_t firstRoundWriters = 2;

} // namespace

// If nodes stopped reading once they know some members, two separately formed groups could stay apart for a
// minute or for good. The first-ranked node of each zone therefore keeps reading the rows of all zones: every
// group has one, so groups that share a table find each other's rows.
//
// When a fleet starts, every node ranks itself first in its zone. An isolated node therefore writes a row and
// contacts other zones only after it has read the rows; otherwise a start would cost as many writes and
// contacts as there are nodes.
IntroducerRound IntroducerSchedule::next(bool knowsOthers, std::uint32_t rank)
{
    ++this->roundsStarted;
    const bool first = rank == 0;
    IntroducerRound round;
    round.read = first || !knowsOthers;
    round.contactOtherZones = this->roundsStarted > 1 && round.read;
    round.write = this->chooseWrite(knowsOthers, rank);
    const bool settled = knowsOthers && (!first || this->backoff >= introducerRenewalInterval);
    if (settled) {
        round.pause = introducerRenewalInterval;
        return round;
    }
    round.pause = this->backoff;
    // Zones that start together may miss each other's rows, so their first-ranked nodes read often at first.
    const Duration maximum = knowsOthers ? introducerRenewalInterval : this->timing.maximumIsolatedBackoff;
    this->backoff = std::min(this->backoff * 2, maximum);
    return round;
}

// A node that found introducers contacts them until they answer. Reading their rows again meanwhile doubled
// the reads of a fleet that starts.
Duration IntroducerSchedule::readAnswered(bool knowsOthers, bool foundOwnZone) const
{
    return !knowsOthers && foundOwnZone ? this->timing.contactPause : Duration::zero();
}

IntroducerWrite IntroducerSchedule::chooseWrite(bool knowsOthers, std::uint32_t rank)
{
    if (!knowsOthers && this->roundsStarted == 1)
        return this->random() % firstRoundWriters == 0 ? IntroducerWrite::FreeRow : IntroducerWrite::None;
    if (!knowsOthers)
        return this->roundsStarted <= roundsBeforeOverwrite ? IntroducerWrite::FreeRow
                                                            : IntroducerWrite::AnyRow;
    return rank < introducersPerZone ? IntroducerWrite::RankedRow : IntroducerWrite::None;
}

} // namespace Sagecrank
