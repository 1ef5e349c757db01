// One failure of claims at a time: what the caller is told, and whether the call may start.
#include <LibSource/ClaimFixture.h>
#include <Support/TableTest.h>

#include <deque>

using namespace Sagecrank;

namespace {

const RecordedOutcome paid{201, "application/json", "{\"paid\":true}", true};

// Hands out the given fates in order, then "answered".
std::function<WriteOutcome()> inOrder(std::deque<WriteOutcome> fates)
{
    return [fates = std::move(fates)]() mutable {
        if (fates.empty())
            return WriteOutcome::Acknowledged;
        const WriteOutcome next = fates.front();
        fates.pop_front();
        return next;
    };
}

std::string stateOf(ClaimFixture &fixture, const std::string &key)
{
    const auto row = fixture.platform.row(claimKey(key));
    return row ? *row->text("claim_state") : "absent";
}

// Every put waits for its group, as on a node that has many under way.
ClaimSettings alwaysGrouping()
{
    ClaimSettings settings;
    settings.batching.requestsBeforeBatching = 0;
    return settings;
}

struct LostRow
{
    const char *name;
    std::deque<WriteOutcome> fates; // Of the claim's puts.
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
    WriteOutcome drawWriteOutcome;
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

struct GuardRow
{
    const char *attempt; // Whose row stands there; null when there is none.
    ClaimState state;
    bool claims;    // Whether the first claim of "mine", or its release, takes effect.
    bool takesOver; // The same for a claim that takes over from "previous".
    bool records;
};

const GuardRow guardRows[] = {
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

// A visitor reserves; the table loses the answer to the claim, or the claim lands only later. The visitor
// still gets one reservation, and a second try with the same key gets the first one's outcome. A late copy of
// the claim that lands after the outcome was recorded must not wipe it out.
TABLE_TEST(claims, lostAnswersStillGrantOnce, lostRows)
{
    ClaimFixture fixture(2);
    fixture.platform.drawWriteOutcome = inOrder(row.fates);
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

// The table does not confirm before the caller's deadline. The caller is told "not run" at its deadline,
// which must stay true, and its next try must not find the key stuck by a claim that landed after all.
TABLE_TEST(claims, unconfirmedByTheDeadlineNeverRuns, deadlineRows)
{
    ClaimFixture fixture(2);
    bool losing = true;
    fixture.platform.drawWriteOutcome = [&] {
        return losing ? row.drawWriteOutcome : WriteOutcome::Acknowledged;
    };
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

// The process is paused while the table's answer is on its way. It wakes after the caller's deadline and
// finds its claim confirmed. The call must not start, and the key must become free.
Test(claims, confirmedAfterTheDeadlineDoesNotStart)
{
    ClaimFixture fixture(2);
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(50));
    while (fixture.platform.putRequests == 0)
        fixture.step(fixture.platform.now + Milliseconds(10));
    fixture.platform.now += Milliseconds(500);
    fixture.platform.step(fixture.platform.now); // The answer comes before the gate's own timers.
    cr_assert(first->decision == ClaimDecision::NotRun);
    cr_assert(first->reason == "deadline_passed", "%s", first->reason.c_str());
    fixture.run(Milliseconds(500));
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(50));
    cr_assert(second->decision == ClaimDecision::Granted);
}

// Two tries with one key reach two gates at the same moment. One runs; the other is told that the key is in
// use. Neither is told "not run", since nothing failed.
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

// The holder dies between its claim and the end of the call. Nobody can know whether the invoice was written.
// Callers are told "in progress" up to the holder's deadline and "unknown" after it; it never runs again.
Test(claims, aDeadHoldersKeyNeverRunsAgain)
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

// The gate refuses a granted call after all (its upstream left). The key is released, so the caller's next
// try may run elsewhere; copies of the old attempt's puts that land afterwards change nothing.
Test(claims, aReleasedKeyMayBeTakenOver)
{
    ClaimFixture fixture(2);
    fixture.platform.drawWriteOutcome = inOrder({WriteOutcome::AppliedLate, WriteOutcome::ResponseLost});
    const auto first = fixture.claim(0, "k", "a1");
    fixture.run(Milliseconds(430));
    cr_assert(first->decision == ClaimDecision::Granted, "%s", first->reason.c_str());
    fixture.gates[0]->release("k", "a1");
    fixture.run(Milliseconds(10));
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(2000));
    cr_assert(second->decision == ClaimDecision::Granted, "%s", second->reason.c_str());
    cr_assert(*fixture.platform.row(claimKey("k"))->text("attempt") == "b1");
    fixture.gates[0]->finish("k", "a1", paid); // Too late and not its own any more.
    fixture.run(Milliseconds(100));
    cr_assert(stateOf(fixture, "k") == "claimed");
}

// The table is down. Callers are refused "not run" with when to come back; after five failures at once,
// without waiting for the table. When it is back, keyed calls run again without anybody's help.
Test(claims, anOutageRefusesAtOnceAndHealsItself)
{
    ClaimFixture fixture(1);
    fixture.platform.down = true;
    for (int i = 0; i < 5; ++i) {
        const auto answer = fixture.claim(0, "k" + std::to_string(i), "a");
        fixture.run(Milliseconds(10));
        cr_assert(answer->decision == ClaimDecision::NotRun);
        cr_assert(answer->reason == "claims_table_down", "%s", answer->reason.c_str());
    }
    const int before = fixture.platform.putRequests;
    int answeredAtOnce = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto answer = fixture.claim(0, "more" + std::to_string(i), "a");
        answeredAtOnce += answer->reason == "claims_table_down" ? 1 : 0; // No time has passed.
        fixture.run(Milliseconds(10));
        cr_assert(answer->reason == "claims_table_down", "%s", answer->reason.c_str());
        cr_assert(answer->retryAfter > Duration(0));
    }
    const int probes = fixture.platform.putRequests - before;
    cr_assert(probes >= 2 && probes <= 8, "%d probes in ten seconds", probes);
    cr_assert(answeredAtOnce == 1000 - probes, "%d at once, %d probes", answeredAtOnce, probes);
    fixture.platform.down = false;
    fixture.run(Milliseconds(5000));
    const auto probe = fixture.claim(0, "probe", "a");
    fixture.run(Milliseconds(10));
    cr_assert(probe->decision == ClaimDecision::Granted);
    const auto next = fixture.claim(0, "next", "a");
    fixture.run(Milliseconds(10));
    cr_assert(next->decision == ClaimDecision::Granted);
}

// The table takes connections and drops them, so every put may have taken effect. A caller with a long
// deadline must not wait it out for a table that is down; it is refused as soon as that is clear, and its key
// is freed once the table is back.
Test(claims, anOutageThatDropsConnectionsRefusesBeforeTheDeadline)
{
    ClaimFixture fixture(2);
    fixture.platform.down = true;
    fixture.platform.timeout = Milliseconds(2);
    fixture.platform.drawWriteOutcome = [] { return WriteOutcome::RequestLost; };
    const auto answer = fixture.claim(0, "k", "a1", Milliseconds(30000));
    fixture.run(Milliseconds(700));
    cr_assert(answer->decision == ClaimDecision::NotRun);
    cr_assert(answer->reason == "claims_table_down", "%s", answer->reason.c_str());
    cr_assert(answer->retryAfter > Duration(0));
    fixture.platform.down = false;
    fixture.platform.drawWriteOutcome = [] { return WriteOutcome::Acknowledged; };
    fixture.run(Milliseconds(6000));
    const auto second = fixture.claim(1, "k", "b1");
    fixture.run(Milliseconds(50));
    cr_assert(second->decision == ClaimDecision::Granted, "%s", second->reason.c_str());
}

// The table takes seconds. Claims pile up to the cap; the rest are refused at once, and those that wait are
// answered at their own deadline, not later.
Test(claims, aSlowTableHoldsNobodyPastItsDeadline)
{
    ClaimSettings settings;
    settings.maximumWaiting = 10;
    ClaimFixture fixture(1, 1, settings);
    fixture.platform.delay = Milliseconds(5000);
    std::vector<std::shared_ptr<ClaimResponse>> answers;
    for (int i = 0; i < 15; ++i)
        answers.push_back(fixture.claim(0, "k" + std::to_string(i), "a", Milliseconds(100)));
    for (int i = 10; i < 15; ++i)
        cr_assert(answers[i]->reason == "too_many_claims_wait");
    fixture.run(Milliseconds(100));
    for (int i = 0; i < 10; ++i)
        cr_assert(answers[i]->reason == "claims_table_slow", "%s", answers[i]->reason.c_str());
    const auto next = fixture.claim(0, "next", "a"); // By now the table counts as down.
    cr_assert(next->reason == "claims_table_down", "%s", next->reason.c_str());
}

// Only the attempt that was granted ends its claim, and only once. A stray end from an older attempt would
// record another call's outcome, or free a key while its call runs.
Test(claims, onlyTheHolderEndsItsClaim)
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
              == ClaimDecision::AlreadyDone); // Known before it is stored.
    fixture.gates[0]->release("k", "a1");
    fixture.run(Milliseconds(20));
    cr_assert(stateOf(fixture, "k") == "done");
    cr_assert(fixture.gates[0]->counters().finalizing.written == 1);
}

// The call ran, and the answer to the record of its outcome is lost. The record is found in the table and not
// written for a whole minute again and again.
Test(claims, aRecordWhoseAnswerIsLostIsSettled)
{
    ClaimFixture fixture(1);
    fixture.claim(0, "k", "a1");
    fixture.run(Milliseconds(20));
    fixture.platform.drawWriteOutcome = inOrder({WriteOutcome::ResponseLost, WriteOutcome::ResponseLost});
    fixture.gates[0]->finish("k", "a1", paid);
    fixture.run(Milliseconds(1000));
    cr_assert(stateOf(fixture, "k") == "done");
    cr_assert(fixture.gates[0]->counters().finalizing.written == 1);
    // The claim, the record, its repeat whose answer is lost too, and the one that finds it done.
    cr_assert(fixture.platform.putRequests == 4, "%d puts", fixture.platform.putRequests);
}

// The deadline passes while the claim still waits for its group. Its release must not join the same group:
// the table refuses a transaction that names a row twice, and with it every other claim of the group.
Test(claims, aClaimAndItsReleaseTravelApart)
{
    ClaimFixture fixture(1, 1, alwaysGrouping());
    const auto first = fixture.claim(0, "k", "a1", Milliseconds(1));
    fixture.run(Milliseconds(50));
    cr_assert(first->reason == "claims_table_slow");
    cr_assert(fixture.platform.transactRequests == 0);
    cr_assert(fixture.platform.putRequests == 2);
    cr_assert(stateOf(fixture, "k") == "released");
}

// Every put against every row that may stand there when it lands, however late.
TABLE_TEST(claimRow, putsTakeEffectOnlyFromTheirStates, guardRows)
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

// Ten keyed calls arrive within a millisecond. They share one request, and the one whose key is taken does
// not get the other nine refused.
Test(claims, aTakenKeyDoesNotRefuseItsGroup)
{
    ClaimFixture fixture(2, 1, alwaysGrouping());
    const auto holder = fixture.claim(1, "k3", "b");
    fixture.run(Milliseconds(20));
    cr_assert(holder->decision == ClaimDecision::Granted);
    fixture.platform.putRequests = 0;
    std::vector<std::shared_ptr<ClaimResponse>> answers;
    for (int i = 0; i < 10; ++i)
        answers.push_back(fixture.claim(0, "k" + std::to_string(i), "a"));
    fixture.run(Milliseconds(50));
    for (int i = 0; i < 10; ++i) {
        const ClaimDecision wanted = i == 3 ? ClaimDecision::InProgress : ClaimDecision::Granted;
        cr_assert(answers[i]->decision == wanted, "claim %d: %s", i, answers[i]->reason.c_str());
    }
    cr_assert(fixture.platform.transactRequests == 1);
    cr_assert(fixture.platform.putRequests == 9); // Each of the nine once more, alone.
    for (int i = 10; i < 20; ++i)
        answers.push_back(fixture.claim(0, "k" + std::to_string(i), "a"));
    fixture.run(Milliseconds(50));
    cr_assert(answers.back()->decision == ClaimDecision::Granted);
    cr_assert(fixture.platform.transactRequests == 2);
    cr_assert(fixture.platform.putRequests == 9);
}

// The owner of a keeper looks at nextWake() when it has claimed and when it has woken, not after each answer
// of the table. The answer to the claim is lost, and so is the answer to the record of its outcome: both must
// be followed up in time all the same.
Test(claims, wakesItsOwnerWhileAnAnswerIsAwaited)
{
    ClaimFixture fixture(1);
    fixture.platform.drawWriteOutcome =
        inOrder({WriteOutcome::RequestLost, WriteOutcome::Acknowledged, WriteOutcome::RequestLost});
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
    const auto answer = fixture.claim(0, "k", "a1");
    timer = fixture.gates[0]->nextWake();
    runUntil(fixture.platform.now + Milliseconds(300));
    cr_assert(answer->decision == ClaimDecision::Granted, "%s", answer->reason.c_str());
    fixture.gates[0]->finish("k", "a1", paid);
    timer = fixture.gates[0]->nextWake();
    runUntil(fixture.platform.now + Milliseconds(500));
    cr_assert(stateOf(fixture, "k") == "done");
    cr_assert(!fixture.gates[0]->nextWake(), "nothing is left to wait for");
}

// A visitor's reservation on a quiet node must not wait for others that never come; a hundred at once must
// not become a hundred requests.
Test(claims, groupsOnlyWhenManyAreUnderWay)
{
    ClaimFixture fixture(1);
    const auto first = fixture.claim(0, "first", "a");
    cr_assert(fixture.platform.putRequests == 1); // No time has passed.
    fixture.run(Milliseconds(20));
    fixture.platform.putRequests = 0;
    std::vector<std::shared_ptr<ClaimResponse>> answers;
    for (int i = 0; i < 100; ++i)
        answers.push_back(fixture.claim(0, "k" + std::to_string(i), "a"));
    fixture.run(Milliseconds(20));
    for (const auto &answer : answers)
        cr_assert(answer->decision == ClaimDecision::Granted, "%s", answer->reason.c_str());
    const int requests = fixture.platform.putRequests + fixture.platform.transactRequests;
    cr_assert(fixture.platform.putRequests >= 16);
    cr_assert(requests <= 20, "%d requests", requests);
}

TABLE_TEST(claims, keepsBodiesThatFit, bodyRows)
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
