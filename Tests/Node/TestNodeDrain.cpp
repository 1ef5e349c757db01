// The stages of a drain, and the presence of the upstream beside the node.
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
        {[this](const std::string &cluster) { this->expired.push_back(cluster); },
         [this](const UpstreamAnnouncement &announcement) { this->gate.push_back(announcement.condition); },
         [this](const UpstreamAnnouncement &, UpstreamState state) { this->published.push_back(state); },
         [this](const Departure &) { ++this->departures; }}};
    std::vector<std::string> expired;
    std::vector<UpstreamCondition> gate;
    std::vector<UpstreamState> published;
    int departures = 0;
    Instant start = Instant() + std::chrono::hours(1);
    UpstreamAnnouncement booking{"booking", "127.0.0.1:9101", 6, UpstreamCondition::NotReady};
};

} // namespace

// A host is removed while a call runs on it. The node must ask its callers to use another node, announce to
// the other nodes that it leaves, and wait until the announcement has spread. Only then may it refuse new
// callers, and it must not end before the call has.
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

// When hosts are restarted one after the other, each upstream should keep serving while the callers of its
// node move to other nodes. So the other nodes are told only when the linger time is nearly over.
Test(nodeDrain, upstreamServesWhileCallersLeave)
{
    DrainFixture fixture;
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + Milliseconds(1999));
    cr_assert(fixture.drain.stage() == DrainStage::Deflecting);
    fixture.drain.advance(fixture.start + Milliseconds(2000));
    cr_assert(fixture.drain.stage() == DrainStage::Announcing);
}

// A request that is read between the last idle check and the shutdown would be cut off at its upstream.
Test(nodeDrain, refusesNewRequestsBeforeTheLastIdleCheck)
{
    bool idle = true;
    bool refused = false;
    std::vector<std::string> steps;
    NodeDrainHooks hooks;
    hooks.deflectCallers = hooks.announceLeave = hooks.stopCallers = hooks.withdrawPendingCalls = [] {};
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

// Guards against accepting a call that would be cut off: it must end before pending calls are withdrawn.
Test(nodeDrain, callsEndBeforePendingCallsAreWithdrawn)
{
    DrainFixture fixture;
    fixture.drain.begin(fixture.start);
    cr_assert(fixture.drain.callsEndBy() == fixture.start + std::chrono::seconds(60));
}

// If each step came an interval late, the final responses would be sent when the process is being killed.
Test(nodeDrain, nextStepIsTheTimeOfTheNextStage)
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

// If the linger time is shorter than the announcement needs, the leave is announced at once.
Test(nodeDrain, shortLingerAnnouncesAtOnce)
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

// An idle node lingers too: a call may arrive from a node that has not received the announcement yet.
Test(nodeDrain, lingersEvenWhenIdle)
{
    DrainFixture fixture;
    fixture.drain.begin(fixture.start);
    fixture.drain.advance(fixture.start + Milliseconds(2999));
    cr_assert(fixture.drain.stage() == DrainStage::Announcing);
}

Test(nodeDrain, leavesAfterTheMaximumTime)
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

// Announcing the leave only when the node is idle would keep its upstream out of service for longer. It must
// be announced during the linger time, and an idle node must end as soon as the announcement has been sent.
Test(nodeDrain, leaveIsAnnouncedDuringLinger)
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

// An upstream dies without an announcement. When its last announcement expires, the gate and the other nodes
// must be told that it is gone; when it announces itself again, it must be accepted again.
Test(upstreamPresence, expiredAnnouncementMeansGone)
{
    PresenceFixture fixture;
    fixture.presence.announced(fixture.start, fixture.booking, UpstreamState::Ready);
    fixture.presence.advance(fixture.start + std::chrono::seconds(3));
    cr_assert(fixture.published == std::vector{UpstreamState::Ready});
    fixture.presence.advance(fixture.start + Milliseconds(3001));
    fixture.presence.advance(fixture.start + Milliseconds(4000));
    cr_assert(fixture.published == std::vector({UpstreamState::Ready, UpstreamState::Gone}));
    cr_assert(fixture.expired == std::vector<std::string>{"booking"});
    cr_assert(fixture.gate.back() == UpstreamCondition::NotReady);
    fixture.presence.announced(fixture.start + Milliseconds(5000), fixture.booking, UpstreamState::Ready);
    cr_assert(fixture.published.back() == UpstreamState::Ready);
}

// Another version takes over this upstream's calls. Its announcements, which go on, must not reopen the gate;
// if the other version turns out bad, it must serve again.
Test(upstreamPresence, versionThatIsReplacedTakesNoCalls)
{
    PresenceFixture fixture;
    fixture.presence.announced(fixture.start, fixture.booking, UpstreamState::Ready);
    fixture.presence.setUse(UpstreamUse::Finishing);
    fixture.presence.announced(fixture.start + Milliseconds(500), fixture.booking, UpstreamState::Ready);
    cr_assert(fixture.gate.back() == UpstreamCondition::Draining);
    cr_assert(fixture.departures == 0);
    fixture.presence.setUse(UpstreamUse::Finished);
    fixture.presence.announced(fixture.start + Milliseconds(900), fixture.booking, UpstreamState::Ready);
    fixture.presence.advance(fixture.start + Milliseconds(1000));
    cr_assert(fixture.gate.back() == UpstreamCondition::NotReady);
    fixture.presence.setUse(UpstreamUse::Serving);
    cr_assert(fixture.published
              == std::vector({UpstreamState::Ready, UpstreamState::Draining, UpstreamState::Gone,
                              UpstreamState::Ready}));
}

// The node drains while its upstream keeps announcing that it is ready. Accepting that would attract new
// calls to a host that is about to leave.
Test(upstreamPresence, drainOverridesAnnouncements)
{
    PresenceFixture fixture;
    fixture.presence.announced(fixture.start, fixture.booking, UpstreamState::Ready);
    fixture.presence.drain();
    fixture.presence.announced(fixture.start + Milliseconds(500), fixture.booking, UpstreamState::Ready);
    cr_assert(fixture.published == std::vector({UpstreamState::Ready, UpstreamState::Draining}));
    cr_assert(fixture.gate.back() == UpstreamCondition::Draining);
}
