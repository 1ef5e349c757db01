// Forwarding a call to two upstreams on other hosts: which calls are retried and what the caller is told.
#include "FakePeer.h"

#include <LibDecide/Gate.h>
#include <Node/Callers/ForwardedCall.h>

#include <Support/TableTest.h>

#include <array>
#include <optional>

using namespace Sagecrank;

namespace {

class ForwardFixture
{
public:
    explicit ForwardFixture(Milliseconds peerSilence = std::chrono::minutes(1), std::size_t hosts = 2)
        : settings(makeSettings(peerSilence))
    {
        std::vector<Member> members;
        for (std::size_t index = 0; index < hosts; ++index) {
            Member member;
            member.id = "host-" + std::to_string(index);
            member.zone = "zone";
            member.cluster = "booking";
            member.upstream = UpstreamState::Ready;
            member.slots = 4;
            member.peerAddress = this->peers[index].address();
            members.push_back(member);
        }
        this->view.replace(this->builder.build(members));
    }

    void call(const CallPlan &plan, const std::string &key = "")
    {
        CallRequest request;
        request.cluster = plan.cluster;
        request.idempotent = plan.idempotent;
        request.idempotencyKey = key;
        this->forwarded = std::make_shared<ForwardedCall>(
            this->forwarding, this->worker, plan, request,
            [this](CallResponse response) { this->answer = std::move(response); });
        this->forwarded->start();
    }

    static CallPlan plan(bool idempotent, Milliseconds timeout = std::chrono::seconds(30))
    {
        CallPlan plan;
        plan.cluster = "booking";
        plan.idempotent = idempotent;
        plan.maximumRetries = 1;
        plan.deadline = SteadyClock::now() + timeout;
        return plan;
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant limit = SteadyClock::now() + std::chrono::seconds(20);
        while (!condition() && SteadyClock::now() < limit)
            this->worker.ioContext().run_one_for(Milliseconds(20));
        return condition();
    }

    // The index of the peer that received the first call; the other one is 1 - firstPeer().
    std::size_t firstPeer() const { return this->peers[0].calls.empty() ? 1 : 0; }
    std::size_t callsSent() const { return this->peers[0].calls.size() + this->peers[1].calls.size(); }

    RcuThread reader;
    NodeSettings settings;
    HistoryRecorder history{"node", false};
    EventLog log{"node", {}, [](LogLevel, const std::string &) {}};
    Metrics metrics;
    SpanRing spans{64};
    RequestObserver observer{this->log, this->metrics, this->spans};
    LocalGate gate{"node",
                   makeAdmissionHooks(std::make_shared<Gate>(GateSettings{})),
                   CallHeaders{},
                   {},
                   {},
                   this->history,
                   this->observer};
    BodyGrantQueue bodies{BodyGrantSettings{}};
    BodyMemory bodyMemory{1 << 30};
    Worker worker{this->settings, this->gate, this->bodies, this->bodyMemory, this->observer, {}};
    std::array<FakePeer, 2> peers{FakePeer(this->worker.ioContext()), FakePeer(this->worker.ioContext())};
    std::shared_ptr<ServiceState> service = std::make_shared<ServiceState>(
        LoadBalancerSettings{}, 0.1, 10, [number = std::uint64_t{0}]() mutable { return number += 7919; });
    UpstreamViewBuilder builder{"node", "zone", [this] { return this->service; }};
    RcuPointer<UpstreamView> view;
    CallIds ids{"node"};
    RefusedCallers refusedCallers;
    std::optional<Duration> refusedFor; // Set: every call is quarantined for this long.
    ForwardingContext forwarding{"node",
                                 this->gate,
                                 this->view,
                                 this->ids,
                                 this->history,
                                 this->observer,
                                 this->refusedCallers,
                                 {[this](const CallRequest &) { return this->refusedFor; }, {}, {}}};
    std::shared_ptr<ForwardedCall> forwarded;
    std::optional<CallResponse> answer;

private:
    static NodeSettings makeSettings(Milliseconds peerSilence)
    {
        NodeSettings settings;
        settings.id = "node";
        settings.requests.peerSilence = peerSilence;
        return settings;
    }
};

struct LostRow
{
    const char *what;
    bool idempotent;
    const char *key;
    bool sentAgain;
};

const LostRow lostRows[] = {
    {"a lookup", true, "", true},
    {"a booking without a key", false, "", false},
    {"a booking with a key", false, "key-1", false},
    {"a keyed call on an idempotent route", true, "key-1", false},
};

struct RefusedRow
{
    const char *what;
    bool idempotent;
    bool claimHeld;
    bool sentAgain;
};

const RefusedRow refusedRows[] = {
    {"a lookup", true, false, true},
    {"a booking", false, false, true},
    {"a booking whose key was claimed", false, true, false},
};

} // namespace

// The host of a running call dies and the call's outcome is unknown. A lookup is retried on another host. A
// booking may have been made, so its caller gets an unknown outcome at once, with the time after which to
// retry.
TABLE_TEST(forwardedCall, aLostCallIsRetriedOnlyIfIdempotent, lostRows)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(row.idempotent), row.key);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    const std::size_t firstPeer = fixture.firstPeer();
    fixture.peers[firstPeer].connections[0]->close(makeError(ErrorKind::Unavailable, "test", "", "killed"));
    cr_assert(fixture.runUntil([&] { return fixture.answer || fixture.callsSent() == 2; }));
    cr_assert((fixture.callsSent() == 2) == row.sentAgain, "%s", row.what);
    if (!row.sentAgain) {
        cr_assert(fixture.answer->outcome == Outcome::Unknown);
        cr_assert(fixture.answer->retryAfterMilliseconds > 0);
        return;
    }
    fixture.peers[1 - firstPeer].answer(0, "second");
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->body == "second");
}

// A full gate refuses a call as not run. Any call may then be retried at another gate, except one whose
// idempotency key is still claimed by the refused attempt: the retry would conflict with that claim and
// needlessly end as unknown.
TABLE_TEST(forwardedCall, aRefusedCallIsRetriedElsewhere, refusedRows)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(row.idempotent), row.claimHeld ? "key-1" : "");
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    const std::size_t firstPeer = fixture.firstPeer();
    fixture.peers[firstPeer].refuse(0, row.claimHeld);
    cr_assert(fixture.runUntil([&] { return fixture.answer || fixture.callsSent() == 2; }));
    cr_assert((fixture.callsSent() == 2) == row.sentAgain, "%s", row.what);
    if (row.sentAgain) {
        cr_assert(fixture.peers[1 - firstPeer].calls.size() == 1, "the same gate was asked twice");
        return;
    }
    cr_assert(fixture.answer->outcome == Outcome::NotRun);
    cr_assert(fixture.answer->retryAfterMilliseconds == 70);
}

// Every gate refuses. The caller is told after a bounded number of attempts rather than at its deadline.
Test(forwardedCall, givesUpWhenEveryGateRefuses)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(true));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    const std::size_t firstPeer = fixture.firstPeer();
    fixture.peers[firstPeer].refuse(0, false);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 2; }));
    fixture.peers[1 - firstPeer].refuse(0, false);
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->outcome == Outcome::NotRun);
    cr_assert(SteadyClock::now()
              < ForwardFixture::plan(true, Milliseconds(0)).deadline + std::chrono::seconds(25));
}

// A lookup's host dies while the call runs, and every gate refuses the retry. The outcome must not be "not
// run" because of the last refusal, since the first attempt may have run.
Test(forwardedCall, aRefusalAfterALostAttemptIsUnknown)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(true));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    const std::size_t firstPeer = fixture.firstPeer();
    fixture.peers[firstPeer].connections[0]->close(makeError(ErrorKind::Unavailable, "test", "", "killed"));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 2; }));
    fixture.peers[1 - firstPeer].refuse(0, false);
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value() || fixture.callsSent() == 3; }));
    if (!fixture.answer)
        fixture.peers[fixture.peers[firstPeer].calls.size() > 1 ? firstPeer : 1 - firstPeer].refuse(1, false);
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->outcome == Outcome::Unknown);
    cr_assert(fixture.answer->status == 504);
    cr_assert(fixture.answer->retryAfterMilliseconds > 0);
}

// A lookup's upstream responds with 500, and every gate refuses the retry. The caller gets the upstream's
// response and not an unknown outcome.
Test(forwardedCall, aRefusalAfterAnErrorKeepsTheUpstreamsResponse)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(true));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    const std::size_t firstPeer = fixture.firstPeer();
    fixture.peers[firstPeer].answer(0, "no tour today", 500);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 2; }));
    fixture.peers[1 - firstPeer].refuse(0, false);
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->outcome == Outcome::Done);
    cr_assert(fixture.answer->status == 500 && fixture.answer->body == "no tour today");
}

// A call is still running at its deadline. The caller gets its final response then, and the attempt is
// cancelled at the peer.
Test(forwardedCall, deadlineCompletesAndCancels)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(true, Milliseconds(2000)));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->outcome == Outcome::Unknown);
    cr_assert(fixture.answer->status == 504);
    cr_assert(fixture.runUntil([&] { return fixture.peers[fixture.firstPeer()].cancels == 1; }));
}

Test(forwardedCall, noUpstreamIsNotRun)
{
    ForwardFixture fixture;
    fixture.view.replace(fixture.builder.build({}));
    fixture.call(ForwardFixture::plan(false));
    cr_assert(fixture.answer.has_value());
    cr_assert(fixture.answer->outcome == Outcome::NotRun);
    cr_assert(fixture.answer->reason == "no_upstream_present");
}

// The caller disconnects. The attempt is cancelled at the peer, and its response is dropped.
Test(forwardedCall, abandonedCallIsCancelled)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(true));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    fixture.forwarded->abandon();
    const std::size_t firstPeer = fixture.firstPeer();
    cr_assert(fixture.runUntil([&] { return fixture.peers[firstPeer].cancels == 1; }));
    cr_assert(!fixture.answer);
    cr_assert(fixture.service->loadBalancer.outstanding("host-" + std::to_string(firstPeer)) == 0);
}

// One upstream is slow. After the time in which nearly all calls complete, a hedged attempt goes to the other
// one; the caller gets its response, and the slow attempt is cancelled.
Test(forwardedCall, hedgingUsesTheFirstResponse)
{
    ForwardFixture fixture;
    for (int seen = 0; seen < 1000; ++seen)
        fixture.service->hedge.observe(Milliseconds(5));
    CallPlan plan = ForwardFixture::plan(true);
    plan.hedged = true;
    fixture.call(plan);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 2; }));
    cr_assert(fixture.peers[0].calls.size() == 1);
    cr_assert(fixture.peers[0].calls[0].attemptId != fixture.peers[1].calls[0].attemptId);
    fixture.peers[1].answer(0, "fast");
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->body == "fast");
    cr_assert(fixture.runUntil([&] { return fixture.peers[0].cancels == 1; }));
}

// A node restarts while its caller's call is queued at another host for longer than the shutdown may take.
// The call is withdrawn there and reported as not run. Without that, the caller's connection would close
// without a response.
Test(forwardedCall, shutdownWithdrawsQueuedCalls)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(false));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    FakePeer &peer = fixture.peers[fixture.firstPeer()];
    fixture.worker.withdrawPendingCalls();
    cr_assert(fixture.runUntil([&] { return peer.withdrawals == 1; }));
    cr_assert(!fixture.answer, "it may be running there");
    peer.refuse(0, false);
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->outcome == Outcome::NotRun && fixture.answer->status == 503);
    cr_assert(fixture.callsSent() == 1, "it was sent elsewhere");
}

// The same for a call that is running there: it is reported as unknown before the node exits.
Test(forwardedCall, shutdownReportsRunningCallsAsUnknown)
{
    ForwardFixture fixture;
    fixture.call(ForwardFixture::plan(false));
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    bool ended = false;
    fixture.worker.withdrawPendingCalls();
    fixture.worker.finishCalls(Duration::zero(), [&ended] { ended = true; });
    cr_assert(fixture.runUntil([&] { return ended; }));
    cr_assert(fixture.answer && fixture.answer->outcome == Outcome::Unknown && fixture.answer->status == 504);
    cr_assert(fixture.answer->retryAfterMilliseconds > 0);
}

// A request that crashes upstreams is refused at once, with the time after which to retry, and reaches no
// gate.
Test(forwardedCall, aQuarantinedRequestIsRefusedAtOnce)
{
    ForwardFixture fixture;
    fixture.refusedFor = std::chrono::minutes(5);
    fixture.call(ForwardFixture::plan(true));
    cr_assert(fixture.answer.has_value());
    cr_assert(fixture.answer->outcome == Outcome::NotRun && fixture.answer->status == 503);
    cr_assert(fixture.answer->retryAfterMilliseconds == 300'000);
    cr_assert(fixture.callsSent() == 0);
}

// A path goes silent for good while the node shuts down. New calls must use a new connection rather than wait
// on the silent one until their deadlines.
Test(forwardedCall, newCallsAvoidASilentLinkDuringShutdown)
{
    constexpr Milliseconds silence(100);
    ForwardFixture fixture(silence, 1);
    FakePeer &peer = fixture.peers[0];
    peer.repliesToPings = false;
    fixture.call(ForwardFixture::plan(false));
    const std::shared_ptr<ForwardedCall> slow = fixture.forwarded;
    cr_assert(fixture.runUntil([&] { return peer.calls.size() == 1; }));
    const std::shared_ptr<PeerLink> link = fixture.worker.link(peer.address());
    fixture.worker.beginShutdown();
    cr_assert(fixture.runUntil([&] { return link->isSilent(SteadyClock::now()); }));
    cr_assert(!fixture.answer, "a call that may be running was ended");
    fixture.call(ForwardFixture::plan(false));
    cr_assert(fixture.runUntil([&] { return peer.calls.size() == 2; }));
    cr_assert(peer.connections.size() == 2);
    peer.answerOn(1, 1, "new");
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->body == "new");
    fixture.answer.reset();
    peer.answerOn(0, 0, "slow");
    cr_assert(fixture.runUntil([&] { return fixture.answer.has_value(); }));
    cr_assert(fixture.answer->body == "slow");
}

namespace {

struct LateRow
{
    const char *what;
    bool firstDrains;
};

const LateRow lateRows[] = {
    {"the first gate stays", false},
    {"the first gate ends", true},
};

} // namespace

// No gate accepts the call within its latency target. The call is then retried, accepting a late response, at
// a gate that is not draining.
TABLE_TEST(forwardedCall, aLateResponseIsRequestedFromAGateThatIsNotDraining, lateRows)
{
    ForwardFixture fixture;
    CallPlan plan = ForwardFixture::plan(true);
    plan.target = SteadyClock::now() + std::chrono::seconds(20);
    fixture.call(plan);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    FakePeer &firstPeer = fixture.peers[fixture.firstPeer()];
    FakePeer &second = fixture.peers[1 - fixture.firstPeer()];
    cr_assert(!firstPeer.calls[0].lateAccepted);
    firstPeer.refuse(0, false, row.firstDrains);
    cr_assert(fixture.runUntil([&] { return second.calls.size() == 1; }));
    second.refuse(0, false);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 3 || fixture.answer; }));
    cr_assert(firstPeer.calls.size() == (row.firstDrains ? 1 : 2), "%s", row.what);
    if (!row.firstDrains)
        firstPeer.refuse(1, false);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() > 3 || fixture.answer; }));
    cr_assert(fixture.answer && fixture.answer->outcome == Outcome::NotRun,
              "the gate is asked for a late response only once");
}

namespace {

struct RejectedRow
{
    const char *what;
    bool secondGateRefuses; // Otherwise its host is gone.
};

const RejectedRow rejectedRows[] = {
    {"the other gate refuses", true},
    {"the other host is gone", false},
};

} // namespace

// An upstream rejects a call and no other one takes it. Sending it to the first upstream again would be a
// retry that the retry budget does not count.
TABLE_TEST(forwardedCall, aRejectedCallDoesNotReturnToItsUpstream, rejectedRows)
{
    ForwardFixture fixture;
    CallPlan plan = ForwardFixture::plan(false);
    plan.target = SteadyClock::now() + std::chrono::seconds(20);
    fixture.call(plan);
    cr_assert(fixture.runUntil([&] { return fixture.callsSent() == 1; }));
    FakePeer &first = fixture.peers[fixture.firstPeer()];
    FakePeer &second = fixture.peers[1 - fixture.firstPeer()];
    if (!row.secondGateRefuses)
        second.stop();
    first.shed(0);
    if (row.secondGateRefuses) {
        cr_assert(fixture.runUntil([&] { return second.calls.size() == 1; }));
        second.refuse(0, false);
    }
    cr_assert(fixture.runUntil([&] { return first.calls.size() > 1 || fixture.answer; }));
    cr_assert(first.calls.size() == 1, "%s: the upstream gets the call again", row.what);
    cr_assert(fixture.answer && fixture.answer->outcome == Outcome::NotRun, "%s", row.what);
}
