// What the gate reports about a call, checked against what the upstream received.
#include "GateFixture.h"

#include <Support/TableTest.h>

#include <thread>

using namespace Sagecrank;

namespace {

struct UnavailableRow
{
    UpstreamCondition condition;
    const char *reason;
};

const UnavailableRow unavailableRows[] = {
    {UpstreamCondition::Draining, "draining"},
    {UpstreamCondition::NotReady, "not_ready"},
};

struct ClaimRow
{
    ClaimDecision decision;
    Outcome outcome;
    std::uint32_t status;
    bool replayed;
};

const ClaimRow claimRows[] = {
    {ClaimDecision::AlreadyDone, Outcome::Done, 201, true},
    {ClaimDecision::InProgress, Outcome::Unknown, 409, false},
    {ClaimDecision::Unknown, Outcome::Unknown, 504, false},
    {ClaimDecision::NotRun, Outcome::NotRun, 503, false},
};

} // namespace

Test(localGate, runsAndAnswers)
{
    GateFixture fixture;
    fixture.submit("one", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    cr_assert(fixture.receivedRequests[0].target == "/one");
    cr_assert(findHeader(fixture.receivedRequests[0].headers, "Sagecrank-Attempt") == "one");
    cr_assert(fixture.gate.inFlight() == 1);
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", "open"));
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::Done);
    cr_assert(fixture.answers["one"].body == "open");
    cr_assert(fixture.gate.inFlight() == 0);
}

// The configuration allows one queued call for the service. A second one is refused at once with a retry
// delay.
Test(localGate, queueLengthFollowsConfiguration)
{
    GateFixture fixture;
    fixture.gate.setMaximumQueue(1);
    for (const char *name : {"runs", "waits", "refused"})
        fixture.submit(name, CallClass::NonIdempotent, "");
    cr_assert(fixture.answered("refused"));
    cr_assert(fixture.answers["refused"].reason == "queue_full");
    cr_assert(fixture.answers["refused"].retryAfterMilliseconds > 0);
    cr_assert(!fixture.answered("waits"));
}

// The node shuts down with one running and one queued call. The queued call is refused, so that its caller
// can go elsewhere; the running call is answered.
Test(localGate, shutdownRefusesQueuedCalls)
{
    GateFixture fixture;
    fixture.submit("runs", CallClass::Interactive, "");
    fixture.submit("waits", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.gate.refuseQueuedCalls();
    cr_assert(fixture.runUntil([&] { return fixture.answered("waits"); }));
    cr_assert(fixture.answers["waits"].outcome == Outcome::NotRun);
    cr_assert(!fixture.answered("runs"));
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", "open"));
    cr_assert(fixture.runUntil([&] { return fixture.answered("runs"); }));
    cr_assert(fixture.answers["runs"].outcome == Outcome::Done && fixture.receivedRequests.size() == 1);
}

// The upstream is draining or gone. The caller is told at once that its call did not run and when to retry,
// and the upstream receives nothing.
TABLE_TEST(localGate, unavailableUpstreamRefusesAtOnce, unavailableRows)
{
    GateFixture fixture;
    fixture.announce(1, row.condition);
    fixture.submit("one", CallClass::NonIdempotent, "");
    cr_assert(fixture.answered("one"));
    cr_assert(fixture.answers["one"].outcome == Outcome::NotRun);
    cr_assert(fixture.answers["one"].reason == row.reason);
    cr_assert(fixture.answers["one"].retryAfterMilliseconds > 0);
    cr_assert(fixture.receivedRequests.empty());
}

// A second reservation with the same key arrives while the result of the first one is known, unknown or
// cannot be read. Whatever the table answers, this attempt must not reach the upstream.
TABLE_TEST(localGate, runsNothingWithoutAClaim, claimRows)
{
    GateFixture fixture;
    fixture.submit("again", CallClass::NonIdempotent, "key-1");
    cr_assert(fixture.claims.size() == 1);
    ClaimResponse answer;
    answer.decision = row.decision;
    answer.outcome = {201, "text/plain", "reserved", true};
    answer.retryAfter = Milliseconds(1500);
    fixture.claims[0](answer);
    cr_assert(fixture.runUntil([&] { return fixture.answered("again"); }));
    cr_assert(fixture.answers["again"].outcome == row.outcome);
    cr_assert(fixture.answers["again"].status == row.status);
    cr_assert(fixture.answers["again"].replayed == row.replayed);
    cr_assert(fixture.receivedRequests.empty());
    cr_assert(fixture.released.empty());
}

// The table answers a claim only after the deadline of the call, because the process was paused or the table
// is slow. The caller has been told "unknown" or has gone, and starting the call would run a reservation that
// nobody waits for. The claim is released.
Test(localGate, claimGrantedAfterDeadlineStartsNothing)
{
    GateFixture fixture;
    fixture.submit("late", CallClass::NonIdempotent, "key-1", Milliseconds(500));
    std::this_thread::sleep_for(Milliseconds(550));
    fixture.claims[0]({ClaimDecision::Granted, {}, {}, {}});
    cr_assert(fixture.runUntil([&] { return fixture.answered("late"); }));
    cr_assert(fixture.answers["late"].outcome == Outcome::NotRun);
    cr_assert(fixture.answers["late"].claimHeld);
    cr_assert(fixture.released == fixture.claimedKeys);
    cr_assert(fixture.receivedRequests.empty());
}

// The process is paused between the decision to start a queued reservation and its start. When it resumes,
// the deadline has passed and the caller has been told; starting the call would run work that nobody waits
// for.
Test(localGate, pausedBetweenDecisionAndStartStartsNothing)
{
    GateFixture fixture;
    fixture.submit("first", CallClass::NonIdempotent, "");
    fixture.submit("second", CallClass::NonIdempotent, "", Milliseconds(1500));
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    cr_assert(fixture.gate.queued() == 1);
    fixture.onAnswer = [&fixture] {
        fixture.onAnswer = nullptr;
        std::this_thread::sleep_for(Milliseconds(1600));
    };
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", ""));
    cr_assert(fixture.runUntil([&] { return fixture.answered("second"); }));
    cr_assert(fixture.answers["second"].outcome == Outcome::NotRun);
    cr_assert(fixture.answers["second"].reason == "deadline_passed");
    fixture.submit("third", CallClass::NonIdempotent, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 2; }));
    cr_assert(fixture.receivedRequests[1].target == "/third");
}

// The answer of a call with an idempotency key is recorded before a retry can ask for it.
Test(localGate, recordsTheAnswerOfAKeyedCall)
{
    GateFixture fixture;
    fixture.submit("one", CallClass::NonIdempotent, "key-1");
    fixture.claims[0]({ClaimDecision::Granted, {}, {}, {}});
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.exchanges[0]->respond(makeResponse(201, "text/plain", "reserved"));
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    cr_assert(fixture.recorded == fixture.claimedKeys);
    cr_assert(fixture.released.empty());
}

// The upstream dies while it runs a call. Nobody knows whether the reservation was made, so the outcome is
// "unknown" and never "not run", and the key stays claimed.
Test(localGate, brokenConnectionIsUnknown)
{
    GateFixture fixture;
    fixture.submit("one", CallClass::NonIdempotent, "key-1");
    fixture.claims[0]({ClaimDecision::Granted, {}, {}, {}});
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.upstream.closeAll();
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::Unknown);
    cr_assert(fixture.released.empty());
    cr_assert(fixture.leftUnknown == fixture.claimedKeys);
    cr_assert(fixture.recorded.empty());
}

// Nothing listens at the upstream's address. No byte was sent, so the call did not run and its key is
// released.
Test(localGate, unreachableUpstreamIsNotRun)
{
    GateFixture fixture;
    fixture.gate.announce({"booking", "127.0.0.1:1", 1, UpstreamCondition::Ready});
    fixture.submit("one", CallClass::NonIdempotent, "key-1");
    fixture.claims[0]({ClaimDecision::Granted, {}, {}, {}});
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::NotRun);
    cr_assert(fixture.released == fixture.claimedKeys);
}

// The upstream sheds the call with an answer that proves that it did not run. The outcome is passed on with
// its retry delay.
Test(localGate, sheddingIsNotRun)
{
    GateFixture fixture;
    fixture.submit("one", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    HttpResponse shed = makeResponse(503, "text/plain", "busy");
    shed.headers.push_back({"Sagecrank-Outcome", "not-run"});
    shed.headers.push_back({"Retry-After", "2"});
    fixture.exchanges[0]->respond(shed);
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::NotRun);
    cr_assert(fixture.answers["one"].retryAfterMilliseconds == 2000);
}

// The only slot is in use, and the caller of a queued call gives up. That call must never reach the upstream,
// even after the slot is free.
Test(localGate, callCancelledInQueueNeverRuns)
{
    GateFixture fixture;
    fixture.submit("first", CallClass::Interactive, "");
    const auto second = fixture.submit("second", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    cr_assert(fixture.gate.queued() == 1);
    fixture.gate.cancel(second);
    cr_assert(fixture.answers["second"].outcome == Outcome::NotRun);
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", ""));
    cr_assert(fixture.runUntil([&] { return fixture.answered("first"); }));
    // A third call takes the freed slot. If the second one had started, it would come first.
    fixture.submit("third", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 2; }));
    cr_assert(fixture.receivedRequests[1].target == "/third");
    fixture.exchanges[1]->respond(makeResponse(200, "text/plain", ""));
    cr_assert(fixture.runUntil([&] { return fixture.answered("third"); }));
    cr_assert(fixture.gate.inFlight() == 0);
}

// A drain starts with one running and one queued call. The running one gets its whole answer, and the queued
// one is refused at once.
Test(localGate, drainFinishesRunningCalls)
{
    GateFixture fixture;
    fixture.submit("running", CallClass::NonIdempotent, "");
    fixture.submit("waiting", CallClass::NonIdempotent, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.announce(1, UpstreamCondition::Draining);
    cr_assert(fixture.runUntil([&] { return fixture.answered("waiting"); }));
    cr_assert(fixture.answers["waiting"].outcome == Outcome::NotRun);
    cr_assert(!fixture.answered("running"));
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", "whole"));
    cr_assert(fixture.runUntil([&] { return fixture.answered("running"); }));
    cr_assert(fixture.answers["running"].body == "whole");
    cr_assert(fixture.gate.inFlight() == 0);
}

// A caller gives up on a running reservation. After cutting it off nobody would know whether it ran, so it
// goes on and its answer is recorded for a retry.
Test(localGate, runningReservationIsNotCutOff)
{
    GateFixture fixture;
    const auto call = fixture.submit("one", CallClass::NonIdempotent, "key-1");
    fixture.claims[0]({ClaimDecision::Granted, {}, {}, {}});
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.gate.cancel(call);
    fixture.exchanges[0]->respond(makeResponse(201, "text/plain", "reserved"));
    cr_assert(fixture.runUntil([&] { return !fixture.recorded.empty(); }));
}

// A client uses the same key for a reservation and its refund. If the key alone was claimed, the refund would
// be answered with the reservation's result and never run. The same request sent again with another query
// must meet its own claim.
Test(localGate, sameKeyForAnotherOperationIsAnotherClaim)
{
    GateFixture fixture;
    fixture.submit("reserve", CallClass::NonIdempotent, "key-1");
    fixture.submit("refund", CallClass::NonIdempotent, "key-1");
    fixture.submit("reserve?again=1", CallClass::NonIdempotent, "key-1");
    cr_assert(fixture.claimedKeys.size() == 3);
    cr_assert(fixture.claimedKeys[0] != fixture.claimedKeys[1]);
    cr_assert(fixture.claimedKeys[0] == fixture.claimedKeys[2]);
}

// A host was reassigned to another service, and a node with a stale view still sends calls of the former one.
Test(localGate, refusesCallsOfAnotherService)
{
    GateFixture fixture;
    fixture.gate.announce({"entry", fixture.upstream.address(), 1, UpstreamCondition::Ready});
    fixture.submit("one", CallClass::Interactive, "");
    cr_assert(fixture.answers["one"].outcome == Outcome::NotRun);
    cr_assert(fixture.receivedRequests.empty());
}

// An upstream sends an answer twice, the second time in place of the next answer. If it was accepted, a
// caller would see the answer to another caller's request. The call id in the answer tells them apart.
Test(localGate, ignoresAnswerToAnotherCall)
{
    GateFixture fixture;
    fixture.submit("two", CallClass::Interactive, "", Milliseconds(300));
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    HttpResponse response = makeResponse(200, "text/plain", "for one");
    response.headers.push_back({"Sagecrank-Call-Id", "one"});
    fixture.exchanges[0]->respond(std::move(response));
    cr_assert(fixture.runUntil([&] { return fixture.answered("two"); }));
    cr_assert(fixture.answers["two"].outcome == Outcome::Unknown, "%s", fixture.answers["two"].body.c_str());
}

// The request crashed the upstream of another gate, so it must not reach this one's.
Test(localGate, quarantinedRequestIsRefusedAtOnce)
{
    GateFixture fixture;
    fixture.quarantinedTarget = "/crashing";
    fixture.submit("crashing", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.answered("crashing"); }));
    cr_assert(fixture.answers["crashing"].outcome == Outcome::NotRun);
    cr_assert(fixture.answers["crashing"].status == 503);
    cr_assert(fixture.answers["crashing"].retryAfterMilliseconds == 300'000);
    cr_assert(fixture.receivedRequests.empty());
    fixture.submit("other", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
}

// An upstream exits while it runs calls. They are reported once the upstream is seen to be gone.
Test(localGate, reportsCallsRunningAtACrash)
{
    GateFixture fixture;
    fixture.announce(3, UpstreamCondition::Ready);
    fixture.submit("one", CallClass::Interactive, "");
    fixture.submit("two", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 2; }));
    for (const auto &exchange : fixture.exchanges)
        exchange->drop();
    cr_assert(fixture.runUntil([&] { return fixture.answered("one") && fixture.answered("two"); }));
    cr_assert(fixture.crashes.empty());
    fixture.upstream.stopAccepting();
    fixture.submit("three", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.answered("three"); }));
    cr_assert(fixture.runUntil([&] { return fixture.crashes.size() == 1; }));
    cr_assert(fixture.crashes[0].size() == 2);
}

// An exiting upstream closes its connections one after another, and its listening socket among the last.
Test(localGate, reportsCrashThatClosesConnectionsSlowly)
{
    GateFixture fixture;
    fixture.submit("one", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.exchanges[0]->drop();
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    fixture.context.run_for(Milliseconds(20));
    cr_assert(fixture.crashes.empty());
    fixture.upstream.closeAll();
    cr_assert(fixture.runUntil([&] { return fixture.crashes.size() == 1; }));
}

// Only the connection broke: the call must not be blamed when the upstream exits later.
Test(localGate, brokenConnectionAloneIsNoCrash)
{
    GateFixture fixture;
    fixture.submit("one", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.exchanges[0]->drop();
    cr_assert(fixture.runUntil([&] { return fixture.answered("one"); }));
    fixture.context.run_for(Milliseconds(500));
    UpstreamAnnouncement next = fixture.gate.announcement();
    next.startedAt = 1;
    fixture.gate.announce(next);
    cr_assert(fixture.crashes.empty());
}

// A call that may run only once is not cut off when its caller leaves, so a crash under it is noticed.
Test(localGate, reportsCrashAfterCallerLeft)
{
    GateFixture fixture;
    const auto call = fixture.submit("one", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.gate.cancel(call);
    fixture.upstream.stopAccepting();
    fixture.exchanges[0]->drop();
    cr_assert(fixture.runUntil([&] { return fixture.crashes.size() == 1; }));
}

// wouldAdmit() rejects a call that offer() then admits. The early check must not keep the ticket, or its slot
// would be lost for good.
Test(localGate, earlyCheckKeepsNoTicket)
{
    GateFixture fixture;
    AdmissionHooks hooks = makeAdmissionHooks(std::make_shared<Gate>(GateSettings{1, 64, 7}));
    hooks.wouldAdmit = [](Instant, const CallAttributes &) { return false; };
    LocalGate gate("gate", hooks, CallHeaders{}, ClaimHooks{}, QuarantineHooks{}, fixture.history,
                   fixture.observer);
    gate.announce({"booking", fixture.upstream.address(), 1, UpstreamCondition::Ready});
    const auto refusedEarly = [&] {
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 30000000;
        return gate.tryRefuseBeforeBody({fixture.context, fixture.client}, request, Duration::zero(),
                                        [](const CallResponse &) {});
    };
    cr_assert(!refusedEarly()); // It would start.
    cr_assert(gate.running() == 0);
    CallAttributes attributes;
    attributes.deadline = SteadyClock::now() + std::chrono::seconds(30);
    std::vector<GateAction> actions;
    hooks.offer(SteadyClock::now(), attributes, actions);
    cr_assert(!refusedEarly()); // It would be queued.
    cr_assert(gate.running() == 1);
    cr_assert(gate.queued() == 0);
}
