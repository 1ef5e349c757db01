// Tests claims with one failure at a time: the response to the caller, and whether the call may start.
#include <LibSource/ClaimFixture.h>
#include <Support/TableTest.h>

#include <deque>

using namespace Sagecrank;

namespace {

const RecordedOutcome paid{201, "application/json", "{\"paid\":true}", true};

// Returns the given outcomes in order, then Acknowledged.
std::function<WriteOutcome()> outcomesInOrder(std::deque<WriteOutcome> outcomes)
{
    return [outcomes = std::move(outcomes)]() mutable {
        if (outcomes.empty())
            return WriteOutcome::Acknowledged;
        const WriteOutcome next = outcomes.front();
        outcomes.pop_front();
        return next;
    };
}

std::string stateOf(ClaimFixture &fixture, const std::string &key)
{
    const auto row = fixture.platform.row(claimKey(key));
    return row ? *row->text("claim_state") : "absent";
}

// Every put waits for its batch, as on a node with many requests in flight.
ClaimSettings alwaysBatching()
{
    ClaimSettings settings;
    settings.batching.requestsBeforeBatching = 0;
    return settings;
}

struct LostRow
{
    const char *name;
    std::deque<WriteOutcome> outcomes; // Of the claim's puts.
};

const LostRow lostRows[] = {
    {"answer lost after the effect", {WriteOutcome::ResponseLost}},
    {"request lost", {WriteOutcome::RequestLost}},
    {"effect after the read-back", {WriteOutcome::AppliedLate}},
    {"effect late, then answer lost", {WriteOutcome::AppliedLate, WriteOutcome::ResponseLost}},
    {"lost three times", {WriteOutcome::RequestLost, WriteOutcome::AppliedLate, WriteOutcome::RequestLost}},
};

struct DeadlineRow
{
    const char *name;
    WriteOutcome outcome;
};

const DeadlineRow deadlineRows[] = {
    {"never arrives", WriteOutcome::RequestLost},
    {"arrives at once, answers lost", WriteOutcome::ResponseLost},
    {"arrives after the deadline", WriteOutcome::AppliedLate},
};

struct BodyRow
{
    const char *name;
    std::string body;
    bool kept;
};

const BodyRow bodyRows[] = {
    {"empty", "", true},
    {"largest", std::string(maximumRecordedBodyBytes, 'x'), true},
    {"too large", std::string(maximumRecordedBodyBytes + 1, 'x'), false},
    {"text beyond ASCII", "Sj\xc3\xa6lland", true},
    {"binary", "\xff\xfe\x01", false},
    {"cut inside a character", "Sj\xc3", false},
};

struct ConditionRow
{
    const char *attempt; // Of the existing row; null if there is none.
    ClaimState state;
    bool claims;    // Whether the first claim of "mine", or its release, takes effect.
    bool takesOver; // Whether a claim that takes over from "previous", or its release, takes effect.
    bool records;
};

const ConditionRow conditionRows[] = {
    {nullptr, ClaimState::Claimed, true, false, false},
    {"mine", ClaimState::Claimed, true, true, true},
    {"mine", ClaimState::Done, false, false, false},
    {"mine", ClaimState::Released, false, false, false},
    {"previous", ClaimState::Claimed, false, false, false},
    {"previous", ClaimState::Done, false, false, false},
    {"previous", ClaimState::Released, false, true, false},
    {"other", ClaimState::Claimed, false, false, false},
    {"other", ClaimState::Done, false, false, false},
    {"other", ClaimState::Released, false, false, false},
};

} // namespace

// The table loses the response to the claim, or applies the claim late. The call must still run exactly once,
// and a second attempt with the same key must get the first one's outcome. A late copy of the claim that
// arrives after the outcome was recorded must not overwrite it.
TABLE_TEST(claims, lostResponsesGrantOnce, lostRows)
{
    ClaimFixture fixture(2);
    fixture.platform.drawWriteOutcome = outcomesInOrder(row.outcomes);
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(2000));
    fixture.run(Milliseconds(900));
    cr_assert(first->decision == ClaimDecision::Granted, "%s: %s", row.name, first->reason.c_str());
    const auto during = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(20));
    cr_assert(during->decision == ClaimDecision::InProgress, "%s: %s", row.name, during->reason.c_str());
    cr_assert(during->retryAfter > Duration(0));
    fixture.gates[0]->finish("k", "a1", paid);
    fixture.run(Milliseconds(2000));
    const auto after = fixture.claim(1, "k", "b2");
    fixture.run(Milliseconds(20));
    cr_assert(after->decision == ClaimDecision::AlreadyDone, "%s: %s", row.name, after->reason.c_str());
    cr_assert(after->outcome == paid, "%s", row.name);
}

// The table does not confirm the claim before the caller's deadline. The caller is told "not run" at its
// deadline, which must stay true, and its next attempt must not be blocked by the claim taking effect later.
TABLE_TEST(claims, unconfirmedByTheDeadlineNeverRuns, deadlineRows)
{
    ClaimFixture fixture(2);
    bool losing = true;
    fixture.platform.drawWriteOutcome = [&] { return losing ? row.outcome : WriteOutcome::Acknowledged; };
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(90));
    fixture.run(Milliseconds(91));
    cr_assert(first->decision == ClaimDecision::NotRun, "%s: %s", row.name, first->reason.c_str());
    cr_assert(first->retryAfter > Duration(0));
    losing = false;
    fixture.run(Milliseconds(3000));
    cr_assert(stateOf(fixture, "k") == "released", "%s: %s", row.name, stateOf(fixture, "k").c_str());
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(50));
    cr_assert(second->decision == ClaimDecision::Granted, "%s: %s", row.name, second->reason.c_str());
}

// The process is paused while the table's response is in transit. It resumes after the caller's deadline and
// finds its claim confirmed. The call must not start, and the key must become free.
Test(claims, confirmedAfterTheDeadlineDoesNotStart)
{
    ClaimFixture fixture(2);
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(50));
    while (fixture.platform.putRequests == 0)
        fixture.step(fixture.platform.now + Milliseconds(10));
    fixture.platform.now += Milliseconds(500);
    fixture.platform.step(fixture.platform.now); // The response arrives before the gate's own timers.
    cr_assert(first->decision == ClaimDecision::NotRun);
    cr_assert(first->reason == "deadline_passed", "%s", first->reason.c_str());
    fixture.run(Milliseconds(500));
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(50));
    cr_assert(second->decision == ClaimDecision::Granted);
}

// Guards against a recorded outcome without a valid status being returned to a later attempt as its response.
Test(claims, anOutcomeWithoutAValidStatusIsUnknown)
{
    ClaimFixture fixture(2);
    fixture.claim(0, "k", "a1");
    fixture.run(Milliseconds(20));
    fixture.gates[0]->finish("k", "a1", {0, "text/plain", "broken", true});
    fixture.run(Milliseconds(100));
    cr_assert(stateOf(fixture, "k") == "done");
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(100));
    cr_assert(second->decision == ClaimDecision::Unknown, "%s", second->reason.c_str());
}

// Two attempts with the same key reach two gates at the same time. One runs; the other is told that the key
// is in use. Neither is told "not run", since nothing failed.
Test(claims, twoGatesRaceForOneKey)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        ClaimFixture fixture(2, seed);
        const auto first = fixture.claim(0, "k", "a1");
        const auto second = fixture.claim(1, "k", "b1");
        fixture.run(Milliseconds(50));
        const int granted = (first->decision == ClaimDecision::Granted ? 1 : 0)
                            + (second->decision == ClaimDecision::Granted ? 1 : 0);
        const int inUse = (first->decision == ClaimDecision::InProgress ? 1 : 0)
                          + (second->decision == ClaimDecision::InProgress ? 1 : 0);
        cr_assert(granted == 1, "seed %u: %d granted", seed, granted);
        cr_assert(inUse == 1, "seed %u: %d in progress", seed, inUse);
    }
}

// The claiming process crashes before the end of the call, so it is unknown whether the call took effect.
// Callers are told "in progress" until that attempt's deadline and "unknown" after it; the key never runs
// again.
Test(claims, keyOfCrashedProcessNeverRunsAgain)
{
    ClaimFixture fixture(2);
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(500));
    fixture.run(Milliseconds(20));
    cr_assert(first->decision == ClaimDecision::Granted);
    fixture.gates[0].reset();
    const auto early = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(20));
    cr_assert(early->decision == ClaimDecision::InProgress);
    fixture.run(Milliseconds(1000));
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto late = fixture.claim(1, "k", "late" + std::to_string(attempt));
        fixture.run(Milliseconds(60000));
        cr_assert(late->decision == ClaimDecision::Unknown, "%s", late->reason.c_str());
    }
}

// The gate rejects a granted call because its upstream has gone. The key is released, so the caller's next
// attempt may run elsewhere; copies of the old attempt's puts that arrive afterwards have no effect.
Test(claims, releasedKeyCanBeTakenOver)
{
    ClaimFixture fixture(2);
    fixture.platform.drawWriteOutcome =
        outcomesInOrder({WriteOutcome::AppliedLate, WriteOutcome::ResponseLost});
    const auto first = fixture.claim(0, "k", "a1");
    fixture.run(Milliseconds(430));
    cr_assert(first->decision == ClaimDecision::Granted, "%s", first->reason.c_str());
    fixture.gates[0]->release("k", "a1");
    fixture.run(Milliseconds(10));
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(2000));
    cr_assert(second->decision == ClaimDecision::Granted, "%s", second->reason.c_str());
    cr_assert(*fixture.platform.row(claimKey("k"))->text("attempt") == "b1");
    fixture.gates[0]->finish("k", "a1", paid); // The key belongs to another attempt by now.
    fixture.run(Milliseconds(100));
    cr_assert(stateOf(fixture, "k") == "claimed");
}

// The table is down. Callers are told "not run" and when to retry; after five failures they are told so
// immediately, without waiting for the table. When the table is back, keyed calls run again by themselves.
Test(claims, outageRejectsImmediatelyAndRecovers)
{
    ClaimFixture fixture(1);
    fixture.platform.down = true;
    for (int i = 0; i < 5; ++i) {
        const auto response = fixture.claim(0, "k" + std::to_string(i), "a");
        fixture.run(Milliseconds(10));
        cr_assert(response->decision == ClaimDecision::NotRun);
        cr_assert(response->reason == "claims_table_down", "%s", response->reason.c_str());
    }
    const int before = fixture.platform.putRequests;
    int immediateResponses = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto response = fixture.claim(0, "more" + std::to_string(i), "a");
        immediateResponses += response->reason == "claims_table_down" ? 1 : 0; // No time has passed.
        fixture.run(Milliseconds(10));
        cr_assert(response->reason == "claims_table_down", "%s", response->reason.c_str());
        cr_assert(response->retryAfter > Duration(0));
    }
    const int probes = fixture.platform.putRequests - before;
    cr_assert(probes >= 2 && probes <= 8, "%d probes in ten seconds", probes);
    cr_assert(immediateResponses == 1000 - probes, "%d at once, %d probes", immediateResponses, probes);
    fixture.platform.down = false;
    fixture.run(Milliseconds(5000));
    const auto probe = fixture.claim(0, "probe", "a");
    fixture.run(Milliseconds(10));
    cr_assert(probe->decision == ClaimDecision::Granted);
    const auto next = fixture.claim(0, "next", "a");
    fixture.run(Milliseconds(10));
    cr_assert(next->decision == ClaimDecision::Granted);
}

// The table accepts connections and drops them, so every put may have taken effect. A caller with a long
// deadline must not wait until then for a table that is down. It is rejected once the circuit breaker opens,
// and its key is released when the table is back.
Test(claims, droppedConnectionsRejectBeforeDeadline)
{
    ClaimFixture fixture(2);
    fixture.platform.down = true;
    fixture.platform.timeout = Milliseconds(2);
    fixture.platform.drawWriteOutcome = [] { return WriteOutcome::RequestLost; };
    const auto response = fixture.claim(0, "k", "a1", Milliseconds(30000));
    fixture.run(Milliseconds(700));
    cr_assert(response->decision == ClaimDecision::NotRun);
    cr_assert(response->reason == "claims_table_down", "%s", response->reason.c_str());
    cr_assert(response->retryAfter > Duration(0));
    fixture.platform.down = false;
    fixture.platform.drawWriteOutcome = [] { return WriteOutcome::Acknowledged; };
    fixture.run(Milliseconds(6000));
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(50));
    cr_assert(second->decision == ClaimDecision::Granted, "%s", second->reason.c_str());
}

// The table takes seconds to respond. Claims accumulate up to the limit and further ones are rejected
// immediately. Those that wait are answered at their own deadline, not later.
Test(claims, slowTableNeverDelaysPastDeadline)
{
    ClaimSettings settings;
    settings.maximumWaiting = 10;
    ClaimFixture fixture(1, 1, settings);
    fixture.platform.delay = Milliseconds(5000);
    std::vector<std::shared_ptr<ClaimResponse>> responses;
    for (int i = 0; i < 15; ++i)
        responses.push_back(fixture.claim(0, "k" + std::to_string(i), "a", Milliseconds(100)));
    for (int i = 10; i < 15; ++i)
        cr_assert(responses[i]->reason == "too_many_claims_wait");
    fixture.run(Milliseconds(100));
    for (int i = 0; i < 10; ++i)
        cr_assert(responses[i]->reason == "claims_table_slow", "%s", responses[i]->reason.c_str());
    const auto next = fixture.claim(0, "next", "a"); // The circuit breaker is open.
    cr_assert(next->reason == "claims_table_down", "%s", next->reason.c_str());
}

// Only the attempt that was granted can end its claim, and only once. Otherwise a call of finish or release
// for an older attempt would record another call's outcome, or free a key while its call runs.
Test(claims, onlyGrantedAttemptEndsItsClaim)
{
    ClaimFixture fixture(1);
    const auto first = fixture.claim(0, "k", "a1");
    fixture.gates[0]->finish("k", "a1", paid); // Not granted yet.
    fixture.run(Milliseconds(20));
    cr_assert(first->decision == ClaimDecision::Granted);
    fixture.gates[0]->finish("k", "a0", paid);
    fixture.gates[0]->release("k", "a0");
    fixture.gates[0]->leaveUnknown("k", "a0");
    fixture.run(Milliseconds(20));
    cr_assert(stateOf(fixture, "k") == "claimed");
    cr_assert(fixture.claim(0, "k", "a2")->decision == ClaimDecision::InProgress);
    fixture.gates[0]->finish("k", "a1", paid);
    cr_assert(fixture.claim(0, "k", "a2")->decision
              == ClaimDecision::AlreadyDone); // Known locally before it is stored.
    fixture.gates[0]->release("k", "a1");
    fixture.run(Milliseconds(20));
    cr_assert(stateOf(fixture, "k") == "done");
    cr_assert(fixture.gates[0]->counters().finalizing.written == 1);
}

// The response to the put that records the outcome is lost. The record is found in the table, so the put is
// not repeated until it is given up.
Test(claims, recordWithLostResponseIsFound)
{
    ClaimFixture fixture(1);
    fixture.claim(0, "k", "a1");
    fixture.run(Milliseconds(20));
    fixture.platform.drawWriteOutcome =
        outcomesInOrder({WriteOutcome::ResponseLost, WriteOutcome::ResponseLost});
    fixture.gates[0]->finish("k", "a1", paid);
    fixture.run(Milliseconds(1000));
    cr_assert(stateOf(fixture, "k") == "done");
    cr_assert(fixture.gates[0]->counters().finalizing.written == 1);
    // The claim, the record, a repeat whose response is lost too, and one that finds the row already done.
    cr_assert(fixture.platform.putRequests == 4, "%d puts", fixture.platform.putRequests);
}

// The deadline passes while the claim still waits for its batch. Its release must not join the same batch,
// because the table rejects a transaction that contains a row twice, and with it all other claims.
Test(claims, claimAndReleaseNeverShareBatch)
{
    ClaimFixture fixture(1, 1, alwaysBatching());
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(1));
    fixture.run(Milliseconds(50));
    cr_assert(first->reason == "claims_table_slow");
    cr_assert(fixture.platform.transactRequests == 0);
    cr_assert(fixture.platform.putRequests == 2);
    cr_assert(stateOf(fixture, "k") == "released");
}

// Checks every put against every row that may exist when the put arrives, however late.
TABLE_TEST(claimRow, putsTakeEffectOnlyFromTheirStates, conditionRows)
{
    const ClaimRow mine{"k", "mine", ClaimState::Claimed, 0, 0, {}};
    const std::optional<std::string> previous = "previous";
    std::optional<Row> existing;
    if (row.attempt != nullptr)
        existing = claimRow({"k", row.attempt, row.state, 0, 0, {}});
    cr_assert(claimPut(mine, std::nullopt).condition.matches(existing) == row.claims);
    cr_assert(claimPut(mine, previous).condition.matches(existing) == row.takesOver);
    cr_assert(releasePut(mine, std::nullopt).condition.matches(existing) == row.claims);
    cr_assert(releasePut(mine, previous).condition.matches(existing) == row.takesOver);
    cr_assert(recordPut(mine, {}).condition.matches(existing) == row.records);
}

// Ten keyed calls arrive within a millisecond and share one request. The one whose key is taken must not
// cause the other nine to be rejected.
Test(claims, takenKeyDoesNotFailItsBatch)
{
    ClaimFixture fixture(2, 1, alwaysBatching());
    const auto holderResponse = fixture.claim(1, "k3", "b");
    fixture.run(Milliseconds(20));
    cr_assert(holderResponse->decision == ClaimDecision::Granted);
    fixture.platform.putRequests = 0;
    std::vector<std::shared_ptr<ClaimResponse>> responses;
    for (int i = 0; i < 10; ++i)
        responses.push_back(fixture.claim(0, "k" + std::to_string(i), "a"));
    fixture.run(Milliseconds(50));
    for (int i = 0; i < 10; ++i) {
        const ClaimDecision wanted = i == 3 ? ClaimDecision::InProgress : ClaimDecision::Granted;
        cr_assert(responses[i]->decision == wanted, "claim %d: %s", i, responses[i]->reason.c_str());
    }
    cr_assert(fixture.platform.transactRequests == 1);
    cr_assert(fixture.platform.putRequests == 9); // Each of the nine is repeated individually.
    for (int i = 10; i < 20; ++i)
        responses.push_back(fixture.claim(0, "k" + std::to_string(i), "a"));
    fixture.run(Milliseconds(50));
    cr_assert(responses.back()->decision == ClaimDecision::Granted);
    cr_assert(fixture.platform.transactRequests == 2);
    cr_assert(fixture.platform.putRequests == 9);
}

// The owner calls nextWake() after claim() and after advance(), but not after each response of the table. The
// request of the claim is lost, and so is that of the record of its outcome: both must still be repeated in
// time.
Test(claims, wakesWhileResponseIsPending)
{
    ClaimFixture fixture(1);
    fixture.platform.drawWriteOutcome =
        outcomesInOrder({WriteOutcome::RequestLost, WriteOutcome::Acknowledged, WriteOutcome::RequestLost});
    std::optional<Instant> timer;
    const auto runUntil = [&](Instant end) {
        while (true) {
            const auto event = fixture.platform.nextEvent();
            const bool timerFirst = timer && *timer <= end && (!event || *timer <= *event);
            if (timerFirst) {
                fixture.platform.now = std::max(fixture.platform.now, *timer);
                fixture.gates[0]->advance();
                timer = fixture.gates[0]->nextWake();
            } else if (!fixture.platform.step(end)) {
                break;
            }
        }
        fixture.platform.now = end;
    };
    const auto response = fixture.claim(0, "k", "a1");
    timer = fixture.gates[0]->nextWake();
    runUntil(fixture.platform.now + Milliseconds(300));
    cr_assert(response->decision == ClaimDecision::Granted, "%s", response->reason.c_str());
    fixture.gates[0]->finish("k", "a1", paid);
    timer = fixture.gates[0]->nextWake();
    runUntil(fixture.platform.now + Milliseconds(500));
    cr_assert(stateOf(fixture, "k") == "done");
    cr_assert(!fixture.gates[0]->nextWake(), "nothing is left to wait for");
}

// A call on an idle node must not wait for a batch to fill, and a hundred concurrent calls must not cause a
// hundred requests.
Test(claims, batchesOnlyUnderLoad)
{
    ClaimFixture fixture(1);
    const auto first = fixture.claim(0, "first", "a");
    cr_assert(fixture.platform.putRequests == 1); // No time has passed.
    fixture.run(Milliseconds(20));
    fixture.platform.putRequests = 0;
    std::vector<std::shared_ptr<ClaimResponse>> responses;
    for (int i = 0; i < 100; ++i)
        responses.push_back(fixture.claim(0, "k" + std::to_string(i), "a"));
    fixture.run(Milliseconds(20));
    for (const auto &response : responses)
        cr_assert(response->decision == ClaimDecision::Granted, "%s", response->reason.c_str());
    const int requests = fixture.platform.putRequests + fixture.platform.transactRequests;
    cr_assert(fixture.platform.putRequests >= 16);
    cr_assert(requests <= 20, "%d requests", requests);
}

TABLE_TEST(claims, storesBodiesThatFit, bodyRows)
{
    ClaimFixture fixture(2);
    fixture.claim(0, "k", "a1");
    fixture.run(Milliseconds(20));
    fixture.gates[0]->finish("k", "a1", {200, "text/plain", row.body, true});
    fixture.run(Milliseconds(20));
    const auto again = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(20));
    cr_assert(again->decision == ClaimDecision::AlreadyDone, "%s", row.name);
    cr_assert(again->outcome.bodyKept == row.kept, "%s", row.name);
    cr_assert(again->outcome.body == (row.kept ? row.body : ""), "%s", row.name);
}
