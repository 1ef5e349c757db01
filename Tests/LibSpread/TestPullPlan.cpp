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
    settings.pollerDelayPerRank = Duration::zero();
    settings.platformFirst = true;
    settings.peersOnlyDuration = Milliseconds(600);
    settings.platformPullers = 3;
    settings.otherZonesDelay = Milliseconds(500);
    settings.platformDelay = Milliseconds(1000);
    settings.platformDelayPerRank = Milliseconds(20);
    return settings;
}

const Holder near{"near", "", true};
const Holder far{"far", "", false};

} // namespace

// An operator's change is in force everywhere but at one node, which refuses the new route with 404 for two
// seconds. The store is silent towards that node alone; a peer of its zone tells it of the version and has
// it; but the node is one of those that may ask the store, asks it first, and waits for an answer that does
// not come. Evidence: lines of hosts turned away that swapped 2.2 s after the others (2001), each right after
// a pull from the store that had timed out (2004).
Test(pullPlan, whatPeersToldOfIsAskedOfPeers)
{
    PullPlan plan(contentComesAlong(), 1);
    const Instant now(std::chrono::hours(1));
    plan.setTarget({5, 0, 0}, now);
    cr_assert(plan.next(now, 4, 0, {near}).source == PullSource::ZonePeer);
}

// Changes come each second while the store turns a whole zone away. Its nodes hear of each from other zones,
// but stay at the version before all of them until the changes end: the wait after which another zone is
// asked began anew with each version. Evidence: two hosts that stayed 9 s behind, without one pull from a
// peer in between.
Test(pullPlan, newVersionsDoNotPutOtherZonesOff)
{
    PullPlan plan(contentComesAlong(), 1);
    const Instant begin(std::chrono::hours(1));
    std::uint64_t version = 5;
    Instant newsAt = begin;
    plan.setTarget({version, 0, 0}, begin);
    for (Instant now = begin; now < begin + std::chrono::seconds(10); now += tick) {
        if (now - newsAt >= std::chrono::seconds(1)) {
            newsAt = now;
            plan.setTarget({++version, 0, 0}, now);
        }
        const PullStep step = plan.next(now, 4, 9, {far});
        if (step.source == PullSource::OtherPeer) {
            cr_assert(now - begin <= contentComesAlong().otherZonesDelay + tick);
            return;
        }
        cr_assert(step.source == PullSource::None);
    }
    cr_assert_fail("no other zone was asked");
}

// The store is back, and the node that watches it reads the newest version, content and all. It must be in
// force at once, although reads for versions that peers told of had failed one after the other meanwhile, and
// the pause between them had grown. Evidence: a node that heard from the store at 13.16 s and swapped at
// 14.21 s.
Test(pullPlan, whatTheSourceItselfToldOfIsTakenAtOnce)
{
    PullPlan plan(contentComesAlong(), 1);
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
    plan.sourceReported({6, 0, 0}, now); // While another read is under way.
    cr_assert(plan.next(now, 4, 0, {near}).source == PullSource::Platform);
}

// Nobody near has what a peer told of: the platform is asked after a moment, as it was before.
Test(pullPlan, whatNoPeerHoldsIsReadFromThePlatform)
{
    PullPlan plan(contentComesAlong(), 1);
    const Instant begin(std::chrono::hours(1));
    plan.setTarget({5, 0, 0}, begin);
    cr_assert(plan.next(begin, 4, 0, {}).source == PullSource::None);
    const Instant later = begin + contentComesAlong().peersOnlyDuration;
    cr_assert(plan.next(later, 4, 0, {}).source == PullSource::Platform);
}

// A host loses power right after it told its zone that it holds a new version. Each node that had asked it
// waits until the connection is given up, and refuses the new route for that long, though others hold the
// version. Another is asked as soon as an answer is overdue; the answer that comes first counts.
Test(pullPlan, aPeerThatDoesNotAnswerIsOvertaken)
{
    PullPlan plan(contentComesAlong(), 1);
    const Instant begin(std::chrono::hours(1));
    const Holder other{"other", "", true};
    plan.setTarget({5, 0, 0}, begin);
    const PullStep first = plan.next(begin, 4, 9, {near, other});
    cr_assert(first.source == PullSource::ZonePeer);
    cr_assert(plan.next(begin + tick, 4, 9, {near, other}).source == PullSource::None);
    const Instant overdue = begin + contentComesAlong().responseTimeout;
    const PullStep second = plan.next(overdue, 4, 9, {near, other});
    cr_assert(second.source == PullSource::ZonePeer && second.holder.id != first.holder.id);
    cr_assert(plan.succeeded(second.number));
    cr_assert(!plan.succeeded(first.number), "its content is not offered again");
    cr_assert(!plan.hasOpenPulls());
}
