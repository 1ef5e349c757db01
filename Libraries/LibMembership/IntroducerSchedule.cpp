// Who writes, who reads, and how soon again.
#include <LibMembership/IntroducerSchedule.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// A node that knows nobody writes over the rows of others after this many rounds: they may name only hosts
// that are gone.
constexpr std::uint32_t roundsBesideRows = 3;

} // namespace

// Failure: groups of nodes that met within themselves stop looking for others. Symptom: two of them stay
// apart for a minute or for good. So the first of each zone goes on reading, both its own zone's rows and the
// other zones': wherever a group is, it has a first, and two groups that share a table come upon each other's
// rows.
//
// Each node of a fleet that starts takes itself for the first of its zone. Writing a row and greeting other
// zones wait until the rows have been read, or a start would cost as many writes and greetings as there are
// nodes.
IntroducerRound IntroducerSchedule::next(bool knowsOthers, std::uint32_t rank)
{
    ++this->begun;
    const bool first = rank == 0;
    IntroducerRound round;
    round.read = first || !knowsOthers;
    round.contactOtherZones = this->begun > 1 && round.read;
    round.write = this->writeOf(knowsOthers, rank);
    const bool settled = knowsOthers && (!first || this->backoff >= introducerRenewalInterval);
    if (settled) {
        round.pause = introducerRenewalInterval;
        return round;
    }
    round.pause = this->backoff;
    // Zones that start together may miss each other's rows, so the first of each looks more often at first.
    const Duration longest = knowsOthers ? introducerRenewalInterval : this->pace.maximumIsolatedBackoff;
    this->backoff = std::min(this->backoff * 2, longest);
    return round;
}

IntroducerWrite IntroducerSchedule::writeOf(bool knowsOthers, std::uint32_t rank) const
{
    if (!knowsOthers)
        return this->begun <= roundsBesideRows ? IntroducerWrite::FreeRow : IntroducerWrite::AnyRow;
    return rank < introducersPerZone ? IntroducerWrite::RankedRow : IntroducerWrite::None;
}

} // namespace Sagecrank
