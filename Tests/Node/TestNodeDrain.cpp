// The order of a drain, and the presence of the upstream beside the node.
#include <Node/NodeDrain.h>
#include <Node/Upstream/UpstreamPresence.h>

#include <Support/TableTest.h>

#include <string>
#include <vector>

using namespace Sagecrank;

namespace {

class DrainFixture
{
public:
    NodeDrain drain{{std::chrono::seconds(3), std::chrono::seconds(60)},
                    {[this] { this->steps.emplace_back("deflect"); },
                     [this] { this->steps.emplace_back("goodbye"); }, [this] { return this->leaveAnnounced; },
                     [this] { this->steps.emplace_back("stop callers"); }, [this] { return this->idle; },
                     [this] { this->steps.emplace_back("withdraw"); },
                     [this] { this->steps.emplace_back("leave"); }}};
    std::vector<std::string> steps;
    bool idle = true;
    bool leaveAnnounced = true;
    Instant start = Instant() + std::chrono::hours(1);
};

class PresenceFixture
{
public:
    UpstreamPresence presence{
        {[this](const std::string &cluster) { this->silent.push_back(cluster); },
         [this](const UpstreamAnnouncement &announcement) { this->gate.push_back(announcement.condition); },
         [this](const std::string &, UpstreamState state, std::uint32_t) { this->told.push_back(state); }}};
    std::vector<std::string> silent;
    std::vector<UpstreamCondition> gate;
    std::vector<UpstreamState> told;
    Instant start = Instant() + std::chrono::hours(1);
    UpstreamAnnouncement booking{"booking", "127.0.0.1:9101", 6, UpstreamCondition::NotReady};
};

} // namespace

// A host is taken away while a reservation runs on it. The node asks its callers to go elsewhere, tells the
// other nodes and waits until they have heard; only then it refuses new callers, and it says goodbye when the
// reservation has ended, so nothing is cut.
Test(nodeDrain, leavesOnlyWhenIdle)
{
    DrainFixture fixture;
    fixture.idle = false;
    fixture.drain.advance(fixture.start);
    cr_assert(fixture.steps.empty());
    fixture.drain.begin(fixture.start);
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + Milliseconds(1999));
    cr_assert(fixture.steps == std::vector<std::string>{"deflect"});
    fixture.drain.advance(fixture.start + Milliseconds(2000));
    fixture.drain.advance(fixture.start + Milliseconds(2999));
    cr_assert(fixture.steps == std::vector<std::string>({"deflect", "goodbye"}));
    fixture.drain.advance(fixture.start + Milliseconds(3000));
    fixture.drain.advance(fixture.start + Milliseconds(9000));
    cr_assert(fixture.steps == std::vector<std::string>({"deflect", "goodbye", "stop callers"}));
    fixture.idle = true;
    fixture.drain.advance(fixture.start + Milliseconds(9001));
    cr_assert(fixture.steps == std::vector<std::string>({"deflect", "goodbye", "stop callers", "leave"}));
}

// Hosts are restarted one after the other, and each takes its upstream out while its callers look for another
// node. The other nodes go on sending for as long as they need no more to hear of the leave.
Test(nodeDrain, theUpstreamServesWhileCallersLeave)
{
    DrainFixture fixture;
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + Milliseconds(1999));
    cr_assert(fixture.drain.stage() == DrainStage::Deflecting);
    fixture.drain.advance(fixture.start + Milliseconds(2000));
    cr_assert(fixture.drain.stage() == DrainStage::Announcing);
}

// A request is read between the last look at what is open and the end, and is cut at its upstream.
Test(nodeDrain, nothingIsBegunAfterTheLastLook)
{
    bool idle = true;
    bool refused = false;
    std::vector<std::string> steps;
    NodeDrainHooks hooks;
    hooks.deflectCallers = hooks.announceLeave = hooks.stopCallers = hooks.withdrawWaiting = [] {};
    hooks.leaveAnnounced = [] { return true; };
    hooks.idle = [&] { return idle; };
    hooks.leave = [&] { steps.emplace_back("leave"); };
    hooks.refuseCallers = [&] { steps.emplace_back("refuse"); };
    hooks.callersRefused = [&] { return refused; };
    NodeDrain drain({std::chrono::seconds(3), std::chrono::seconds(60)}, std::move(hooks));
    const Instant start = Instant() + std::chrono::hours(1);
    drain.begin(start);
    drain.advance(start + Milliseconds(3000));
    cr_assert(steps == std::vector<std::string>{"refuse"});
    idle = false; // A request was read before its thread refused.
    refused = true;
    drain.advance(start + Milliseconds(3001));
    cr_assert(steps == std::vector<std::string>{"refuse"});
    idle = true;
    drain.advance(start + Milliseconds(3500));
    cr_assert(steps == std::vector<std::string>({"refuse", "leave"}));
}

// Each step comes an interval late, and the last answers with it, when the process is being killed.
Test(nodeDrain, eachStepIsDueAtItsTime)
{
    DrainFixture fixture;
    fixture.idle = false;
    cr_assert(!fixture.drain.nextStep());
    fixture.drain.begin(fixture.start);
    for (const Milliseconds step :
         {Milliseconds(2000), Milliseconds(3000), Milliseconds(60000), Milliseconds(60900)}) {
        cr_assert(fixture.drain.nextStep() == fixture.start + step);
        fixture.drain.advance(*fixture.drain.nextStep());
    }
    cr_assert(fixture.drain.stage() == DrainStage::Left && !fixture.drain.nextStep());
}

// With less linger than the news needs, the news comes first.
Test(nodeDrain, aShortLingerAnnouncesAtOnce)
{
    std::vector<std::string> steps;
    NodeDrain drain({Milliseconds(500), std::chrono::seconds(60)},
                    {[&] { steps.emplace_back("deflect"); }, [&] { steps.emplace_back("goodbye"); },
                     [] { return true; }, [&] { steps.emplace_back("stop callers"); }, [] { return false; },
                     [] {}, [] {}});
    const Instant start = Instant() + std::chrono::hours(1);
    drain.begin(start);
    cr_assert(steps == std::vector<std::string>({"deflect", "goodbye"}));
    drain.advance(start + Milliseconds(500));
    cr_assert(steps.back() == "stop callers");
}

// An idle node waits for the news all the same: a call may be on its way from a node that has not heard.
Test(nodeDrain, lingersEvenWhenIdle)
{
    DrainFixture fixture;
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + Milliseconds(2999));
    cr_assert(fixture.drain.stage() == DrainStage::Announcing);
}

Test(nodeDrain, leavesAtTheMaximumWhateverRuns)
{
    DrainFixture fixture;
    fixture.idle = false;
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + std::chrono::seconds(60));
    fixture.drain.advance(fixture.start + std::chrono::seconds(60) + Milliseconds(899));
    cr_assert(fixture.drain.stage() == DrainStage::Finishing && fixture.steps.back() == "withdraw");
    fixture.drain.advance(fixture.start + std::chrono::seconds(60) + Milliseconds(900));
    cr_assert(fixture.drain.stage() == DrainStage::Left);
    const std::vector<std::string> last(fixture.steps.end() - 2, fixture.steps.end());
    cr_assert(last == std::vector<std::string>({"withdraw", "leave"}));
}

// A host is restarted, and nothing runs there any more. Saying goodbye only then keeps its upstream out for
// as long again; it is said while the other nodes are given time to hear, and the node ends with it.
Test(nodeDrain, theGoodbyeTakesNoTimeOfItsOwn)
{
    DrainFixture fixture;
    fixture.leaveAnnounced = false;
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + Milliseconds(2000));
    cr_assert(fixture.steps == std::vector<std::string>({"deflect", "goodbye"}));
    fixture.drain.advance(fixture.start + Milliseconds(3000));
    cr_assert(fixture.drain.stage() == DrainStage::Finishing);
    fixture.leaveAnnounced = true;
    fixture.drain.advance(fixture.start + Milliseconds(3050));
    cr_assert(fixture.drain.stage() == DrainStage::Left && fixture.steps.back() == "leave");
}

// An upstream dies without a word. Its announcement runs out, the gate refuses what waits and others hear
// that it is gone; when it announces itself again it is taken back.
Test(upstreamPresence, silenceMeansGone)
{
    PresenceFixture fixture;
    fixture.presence.announced(fixture.start, fixture.booking, UpstreamState::Ready);
    fixture.presence.advance(fixture.start + std::chrono::seconds(3));
    cr_assert(fixture.told == std::vector{UpstreamState::Ready});
    fixture.presence.advance(fixture.start + Milliseconds(3001));
    fixture.presence.advance(fixture.start + Milliseconds(4000));
    cr_assert(fixture.told == std::vector({UpstreamState::Ready, UpstreamState::Gone}));
    cr_assert(fixture.silent == std::vector<std::string>{"booking"});
    cr_assert(fixture.gate.back() == UpstreamCondition::NotReady);
    fixture.presence.announced(fixture.start + Milliseconds(5000), fixture.booking, UpstreamState::Ready);
    cr_assert(fixture.told.back() == UpstreamState::Ready);
}

// The node drains while its upstream goes on saying that it is ready. Were that believed, new work would come
// to a host that is about to go.
Test(upstreamPresence, drainOverridesTheUpstreamsOwnWord)
{
    PresenceFixture fixture;
    fixture.presence.announced(fixture.start, fixture.booking, UpstreamState::Ready);
    fixture.presence.drain();
    fixture.presence.announced(fixture.start + Milliseconds(500), fixture.booking, UpstreamState::Ready);
    cr_assert(fixture.told == std::vector({UpstreamState::Ready, UpstreamState::Draining}));
    cr_assert(fixture.gate.back() == UpstreamCondition::Draining);
}
