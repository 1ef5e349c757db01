// Who writes, who reads, and how soon again.
#include <LibMembership/IntroducerRounds.h>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::uint32_t introducersPerZone = 3;

} // namespace

// Failure: groups of nodes that met within themselves stop looking for others. Symptom: two of them stay
// apart for a minute or for good. So the first of each zone goes on reading, both its own zone's rows and the
// other zones': wherever a group is, it has a first, and two groups that share a table come upon each other's
// rows.
//
// Load: all nodes start at once, and each takes itself for the only one and so for the first. Harm of reading
// everything in each round: 11 calls a node (78 nodes) before they have met. The other zones are left to the
// second round, by when one of each zone knows that it is first.
IntroducerRound IntroducerRounds::next(bool knowsOthers, std::uint32_t rank)
{
    ++this->begun;
    const bool first = rank == 0;
    const bool across = this->begun > 1 && (first || !knowsOthers);
    IntroducerRound round;
    round.writeZone = rank < introducersPerZone;
    round.readZone = first || !knowsOthers;
    round.writeMesh = across && first;
    round.readMesh = across;
    const bool settled = knowsOthers && (!first || this->backoff >= introducerRenewal);
    if (settled) {
        round.pause = introducerRenewal;
        return round;
    }
    round.pause = this->backoff;
    // Zones that start together may miss each other's rows, so the first of each looks more often at first.
    const Duration longest = knowsOthers ? introducerRenewal : this->pace.longestLonelyBackoff;
    this->backoff = std::min(this->backoff * 2, longest);
    return round;
}

} // namespace Sagecrank
