// Choice and timing of pulls while the source or a peer does not answer.
#include <LibSpread/PullPlan.h>

#include <criterion/criterion.h>

using namespace Sagecrank;

namespace {

constexpr Duration tick = Milliseconds(10);

// For a source that sends a version's content along with its number.
PullSettings sourceSendsContent()
{
    PullSettings settings;
    settings.pollerDelayPerRank = Duration::zero();
    settings.platformFirst = true;
    settings.peersOnlyDuration = Milliseconds(600);
    settings.platformPullers = 3;
    settings.otherZonesDelay = Milliseconds(500);
    settings.platformDelay = Milliseconds(1000);
    settings.platformDelayPerRank = Milliseconds(20);
    return settings;
}

const Holder zoneHolder{"near", "", true};
const Holder otherZoneHolder{"far", "", false};

} // namespace

// Guards against a node that answers 404 for a new route two seconds longer than the others. Only this node
// cannot reach the store; a peer in its zone reports the version and holds it, but the node, being a platform
// puller, asked the store first and waited for its timeout. Seen in logs: such hosts swapped 2.2 s after the
// others (event 2001), right after a pull from the store had timed out (2004).
Test(pullPlan, versionReportedByPeersIsPulledFromPeers)
{
    PullPlan plan(sourceSendsContent(), 1);
    const Instant now(std::chrono::hours(1));
    plan.setTarget({5, 0, 0}, now);
    cr_assert(plan.next(now, 4, 0, {zoneHolder}).source == PullSource::ZonePeer);
}

// Guards against a zone that stays behind while versions arrive each second and the store rejects its reads:
// the delay for asking other zones restarted with each version. Seen in logs: two hosts stayed 9 s behind
// without a single pull from a peer.
Test(pullPlan, newVersionsDoNotDelayOtherZones)
{
    PullPlan plan(sourceSendsContent(), 1);
    const Instant begin(std::chrono::hours(1));
    std::uint64_t version = 5;
    Instant lastVersionAt = begin;
    plan.setTarget({version, 0, 0}, begin);
    for (Instant now = begin; now < begin + std::chrono::seconds(10); now += tick) {
        if (now - lastVersionAt >= std::chrono::seconds(1)) {
            lastVersionAt = now;
            plan.setTarget({++version, 0, 0}, now);
        }
        const PullStep step = plan.next(now, 4, 9, {otherZoneHolder});
        if (step.source == PullSource::OtherPeer) {
            cr_assert(now - begin <= sourceSendsContent().otherZonesDelay + tick);
            return;
        }
        cr_assert(step.source == PullSource::None);
    }
    cr_assert_fail("no other zone was asked");
}

// Guards against a late swap after the store returns: a poller reads the newest version with its content, but
// waited for the backoff of earlier failed pulls of versions that peers had reported. Seen in logs: a node
// read from the store at 13.16 s and swapped at 14.21 s.
Test(pullPlan, versionReportedBySourceIsPulledAtOnce)
{
    PullPlan plan(sourceSendsContent(), 1);
    Instant now(std::chrono::hours(1));
    plan.setTarget({5, 0, 0}, now);
    int failed = 0;
    for (; failed < 8; now += tick) {
        const PullStep step = plan.next(now, 4, 0, {});
        if (step.source == PullSource::None)
            continue;
        plan.failed(now, step.number, PullFailure::Unreachable, {});
        ++failed;
    }
    plan.setTarget({6, 0, 0}, now);
    while (plan.next(now, 4, 0, {}).source != PullSource::Platform)
        now += tick;
    plan.sourceReported({6, 0, 0}, now); // While another pull is open.
    cr_assert(plan.next(now, 4, 0, {zoneHolder}).source == PullSource::Platform);
}

// A version that peers reported but none in the zone holds is pulled from the platform after a short delay.
Test(pullPlan, versionWithoutHolderIsPulledFromPlatform)
{
    PullPlan plan(sourceSendsContent(), 1);
    const Instant begin(std::chrono::hours(1));
    plan.setTarget({5, 0, 0}, begin);
    cr_assert(plan.next(begin, 4, 0, {}).source == PullSource::None);
    const Instant later = begin + sourceSendsContent().peersOnlyDuration;
    cr_assert(plan.next(later, 4, 0, {}).source == PullSource::Platform);
}

// Guards against waiting for the connection timeout of a holder that lost power right after it reported a new
// version, during which the new route is refused. Another holder must be asked as soon as the pull is
// overdue, and the first answer wins.
Test(pullPlan, overduePeerIsSuperseded)
{
    PullPlan plan(sourceSendsContent(), 1);
    const Instant begin(std::chrono::hours(1));
    const Holder other{"other", "", true};
    plan.setTarget({5, 0, 0}, begin);
    const PullStep first = plan.next(begin, 4, 9, {zoneHolder, other});
    cr_assert(first.source == PullSource::ZonePeer);
    cr_assert(plan.next(begin + tick, 4, 9, {zoneHolder, other}).source == PullSource::None);
    const Instant overdue = begin + sourceSendsContent().responseTimeout;
    const PullStep second = plan.next(overdue, 4, 9, {zoneHolder, other});
    cr_assert(second.source == PullSource::ZonePeer && second.holder.id != first.holder.id);
    cr_assert(plan.succeeded(second.number));
    cr_assert(!plan.succeeded(first.number), "a superseded pull was accepted");
    cr_assert(!plan.hasOpenPulls());
}
