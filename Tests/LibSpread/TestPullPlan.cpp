// Whom a node asks for a version that it lacks, and when, while a source or a peer does not answer.
#include <LibSpread/PullPlan.h>

#include <criterion/criterion.h>

using namespace Sagecrank;

namespace {

constexpr Duration tick = Milliseconds(10);

// As nodes have it whose source brings a version's content along with its number.
PullSettings contentComesAlong()
{
    PullSettings settings;
    settings.laterPollerDelay = Duration::zero();
    settings.platformFirst = true;
    settings.platformPullers = 3;
    settings.otherZonesAfter = Milliseconds(500);
    settings.platformAfter = Milliseconds(1000);
    settings.platformAfterEachRank = Milliseconds(20);
    return settings;
}

const Holder far{"far", "", false};

} // namespace

// Changes come each second while the store turns a whole zone away. Its nodes hear of each from other zones,
// but stay at the version before all of them until the changes end: the wait after which another zone is
// asked began anew with each version. Evidence: two hosts that stayed 9 s behind, without one pull from a
// peer in between.
Test(pullPlan, newVersionsDoNotPutOtherZonesOff)
{
    PullPlan plan(contentComesAlong(), 1);
    const Instant begin(std::chrono::hours(1));
    std::uint64_t version = 5;
    Instant heardAt = begin;
    plan.want({version, 0, 0}, begin);
    for (Instant now = begin; now < begin + std::chrono::seconds(10); now += tick) {
        if (now - heardAt >= std::chrono::seconds(1)) {
            heardAt = now;
            plan.want({++version, 0, 0}, now);
        }
        const PullStep step = plan.next(now, 4, 9, {far});
        if (step.source == PullSource::OtherPeer) {
            cr_assert(now - begin <= contentComesAlong().otherZonesAfter + tick);
            return;
        }
        cr_assert(step.source == PullSource::None);
    }
    cr_assert_fail("no other zone was asked");
}
