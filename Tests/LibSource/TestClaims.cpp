// One failure of claims at a time: what the caller is told, and whether the call may start.
#include <LibSource/ClaimFixture.h>
#include <Support/TableTest.h>

#include <deque>

using namespace Sagecrank;

namespace {

const RecordedOutcome paid{201, "application/json", "{\"paid\":true}", true};

// Hands out the given fates in order, then "answered".
std::function<WriteFate()> inOrder(std::deque<WriteFate> fates)
{
    return [fates = std::move(fates)]() mutable {
        if (fates.empty())
            return WriteFate::Answered;
        const WriteFate next = fates.front();
        fates.pop_front();
        return next;
    };
}

std::string stateOf(ClaimBench &bench, const std::string &key)
{
    const auto row = bench.platform.row(claimKey(key));
    return row ? *row->text("claim_state") : "absent";
}

// Every put waits for its group, as on a node that has many under way.
ClaimSettings alwaysGrouping()
{
    ClaimSettings settings;
    settings.grouping.requestsBeforeGrouping = 0;
    return settings;
}

struct LostRow
{
    const char *name;
    std::deque<WriteFate> fates; // Of the claim's puts.
};

const LostRow lostRows[] = {
    {"answer lost after the effect", {WriteFate::AnswerLost}},
    {"request lost", {WriteFate::RequestLost}},
    {"effect after the read-back", {WriteFate::EffectLate}},
    {"effect late, then answer lost", {WriteFate::EffectLate, WriteFate::AnswerLost}},
    {"lost three times", {WriteFate::RequestLost, WriteFate::EffectLate, WriteFate::RequestLost}},
};

struct DeadlineRow
{
    const char *name;
    WriteFate fate;
};

const DeadlineRow deadlineRows[] = {
    {"never arrives", WriteFate::RequestLost},
    {"arrives at once, answers lost", WriteFate::AnswerLost},
    {"arrives after the deadline", WriteFate::EffectLate},
};

struct BodyRow
{
    const char *name;
    std::string body;
    bool kept;
};

const BodyRow bodyRows[] = {
    {"empty", "", true},
    {"largest", std::string(maximumRecordedBody, 'x'), true},
    {"too large", std::string(maximumRecordedBody + 1, 'x'), false},
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
    ClaimBench bench(2);
    bench.platform.fate = inOrder(row.fates);
    const auto first = bench.claim(0, "k", "a1", Milliseconds(2000));
    bench.run(Milliseconds(900));
    cr_assert(first->verdict == ClaimVerdict::Granted, "%s: %s", row.name, first->reason.c_str());
    const auto during = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(20));
    cr_assert(during->verdict == ClaimVerdict::InProgress, "%s: %s", row.name, during->reason.c_str());
    cr_assert(during->retryAfter > Duration(0));
    bench.gates[0]->finish("k", "a1", paid);
    bench.run(Milliseconds(2000));
    const auto after = bench.claim(1, "k", "b2");
    bench.run(Milliseconds(20));
    cr_assert(after->verdict == ClaimVerdict::AlreadyDone, "%s: %s", row.name, after->reason.c_str());
    cr_assert(after->outcome == paid, "%s", row.name);
}

// The table does not confirm before the caller's deadline. The caller is told "not run" at its deadline,
// which must stay true, and its next try must not find the key stuck by a claim that landed after all.
TABLE_TEST(claims, unconfirmedByTheDeadlineNeverRuns, deadlineRows)
{
    ClaimBench bench(2);
    bool losing = true;
    bench.platform.fate = [&] { return losing ? row.fate : WriteFate::Answered; };
    const auto first = bench.claim(0, "k", "a1", Milliseconds(90));
    bench.run(Milliseconds(91));
    cr_assert(first->verdict == ClaimVerdict::NotRun, "%s: %s", row.name, first->reason.c_str());
    cr_assert(first->retryAfter > Duration(0));
    losing = false;
    bench.run(Milliseconds(3000));
    cr_assert(stateOf(bench, "k") == "released", "%s: %s", row.name, stateOf(bench, "k").c_str());
    const auto second = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(50));
    cr_assert(second->verdict == ClaimVerdict::Granted, "%s: %s", row.name, second->reason.c_str());
}

// The process is paused while the table's answer is on its way. It wakes after the caller's deadline and
// finds its claim confirmed. The call must not start, and the key must become free.
Test(claims, confirmedAfterTheDeadlineDoesNotStart)
{
    ClaimBench bench(2);
    const auto first = bench.claim(0, "k", "a1", Milliseconds(50));
    while (bench.platform.putRequests == 0)
        bench.step(bench.platform.now + Milliseconds(10));
    bench.platform.now += Milliseconds(500);
    bench.platform.step(bench.platform.now); // The answer comes before the gate's own timers.
    cr_assert(first->verdict == ClaimVerdict::NotRun);
    cr_assert(first->reason == "deadline_passed", "%s", first->reason.c_str());
    bench.run(Milliseconds(500));
    const auto second = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(50));
    cr_assert(second->verdict == ClaimVerdict::Granted);
}

// Two tries with one key reach two gates at the same moment. One runs; the other is told that the key is in
// use. Neither is told "not run", since nothing failed.
Test(claims, twoGatesRaceForOneKey)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        ClaimBench bench(2, seed);
        const auto first = bench.claim(0, "k", "a1");
        const auto second = bench.claim(1, "k", "b1");
        bench.run(Milliseconds(50));
        const int granted = (first->verdict == ClaimVerdict::Granted ? 1 : 0)
                            + (second->verdict == ClaimVerdict::Granted ? 1 : 0);
        const int inUse = (first->verdict == ClaimVerdict::InProgress ? 1 : 0)
                          + (second->verdict == ClaimVerdict::InProgress ? 1 : 0);
        cr_assert(granted == 1, "seed %u: %d granted", seed, granted);
        cr_assert(inUse == 1, "seed %u: %d in progress", seed, inUse);
    }
}

// The holder dies between its claim and the end of the call. Nobody can know whether the invoice was written.
// Callers are told "in progress" up to the holder's deadline and "unknown" after it; it never runs again.
Test(claims, aDeadHoldersKeyNeverRunsAgain)
{
    ClaimBench bench(2);
    const auto first = bench.claim(0, "k", "a1", Milliseconds(500));
    bench.run(Milliseconds(20));
    cr_assert(first->verdict == ClaimVerdict::Granted);
    bench.gates[0].reset();
    const auto early = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(20));
    cr_assert(early->verdict == ClaimVerdict::InProgress);
    bench.run(Milliseconds(1000));
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto late = bench.claim(1, "k", "late" + std::to_string(attempt));
        bench.run(Milliseconds(60000));
        cr_assert(late->verdict == ClaimVerdict::Unknown, "%s", late->reason.c_str());
    }
}

// The gate refuses a granted call after all (its upstream left). The key is released, so the caller's next
// try may run elsewhere; copies of the old attempt's puts that land afterwards change nothing.
Test(claims, aReleasedKeyMayBeTakenOver)
{
    ClaimBench bench(2);
    bench.platform.fate = inOrder({WriteFate::EffectLate, WriteFate::AnswerLost});
    const auto first = bench.claim(0, "k", "a1");
    bench.run(Milliseconds(430));
    cr_assert(first->verdict == ClaimVerdict::Granted, "%s", first->reason.c_str());
    bench.gates[0]->release("k", "a1");
    bench.run(Milliseconds(10));
    const auto second = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(2000));
    cr_assert(second->verdict == ClaimVerdict::Granted, "%s", second->reason.c_str());
    cr_assert(*bench.platform.row(claimKey("k"))->text("attempt") == "b1");
    bench.gates[0]->finish("k", "a1", paid); // Too late and not its own any more.
    bench.run(Milliseconds(100));
    cr_assert(stateOf(bench, "k") == "claimed");
}

// The table is down. Callers are refused "not run" with when to come back; after five failures at once,
// without waiting for the table. When it is back, keyed calls run again without anybody's help.
Test(claims, anOutageRefusesAtOnceAndHealsItself)
{
    ClaimBench bench(1);
    bench.platform.down = true;
    for (int i = 0; i < 5; ++i) {
        const auto answer = bench.claim(0, "k" + std::to_string(i), "a");
        bench.run(Milliseconds(10));
        cr_assert(answer->verdict == ClaimVerdict::NotRun);
        cr_assert(answer->reason == "claims_table_down", "%s", answer->reason.c_str());
    }
    const int before = bench.platform.putRequests;
    int answeredAtOnce = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto answer = bench.claim(0, "more" + std::to_string(i), "a");
        answeredAtOnce += answer->reason == "claims_table_down" ? 1 : 0; // No time has passed.
        bench.run(Milliseconds(10));
        cr_assert(answer->reason == "claims_table_down", "%s", answer->reason.c_str());
        cr_assert(answer->retryAfter > Duration(0));
    }
    const int probes = bench.platform.putRequests - before;
    cr_assert(probes >= 2 && probes <= 8, "%d probes in ten seconds", probes);
    cr_assert(answeredAtOnce == 1000 - probes, "%d at once, %d probes", answeredAtOnce, probes);
    bench.platform.down = false;
    bench.run(Milliseconds(5000));
    const auto probe = bench.claim(0, "probe", "a");
    bench.run(Milliseconds(10));
    cr_assert(probe->verdict == ClaimVerdict::Granted);
    const auto next = bench.claim(0, "next", "a");
    bench.run(Milliseconds(10));
    cr_assert(next->verdict == ClaimVerdict::Granted);
}

// The table takes connections and drops them, so every put may have taken effect. A caller with a long
// deadline must not wait it out for a table that is down; it is refused as soon as that is clear, and its key
// is freed once the table is back.
Test(claims, anOutageThatDropsConnectionsRefusesBeforeTheDeadline)
{
    ClaimBench bench(2);
    bench.platform.down = true;
    bench.platform.timeout = Milliseconds(2);
    bench.platform.fate = [] { return WriteFate::RequestLost; };
    const auto answer = bench.claim(0, "k", "a1", Milliseconds(30000));
    bench.run(Milliseconds(700));
    cr_assert(answer->verdict == ClaimVerdict::NotRun);
    cr_assert(answer->reason == "claims_table_down", "%s", answer->reason.c_str());
    cr_assert(answer->retryAfter > Duration(0));
    bench.platform.down = false;
    bench.platform.fate = [] { return WriteFate::Answered; };
    bench.run(Milliseconds(6000));
    const auto second = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(50));
    cr_assert(second->verdict == ClaimVerdict::Granted, "%s", second->reason.c_str());
}

// The table takes seconds. Claims pile up to the cap; the rest are refused at once, and those that wait are
// answered at their own deadline, not later.
Test(claims, aSlowTableHoldsNobodyPastItsDeadline)
{
    ClaimSettings settings;
    settings.maximumWaiting = 10;
    ClaimBench bench(1, 1, settings);
    bench.platform.delay = Milliseconds(5000);
    std::vector<std::shared_ptr<ClaimAnswer>> answers;
    for (int i = 0; i < 15; ++i)
        answers.push_back(bench.claim(0, "k" + std::to_string(i), "a", Milliseconds(100)));
    for (int i = 10; i < 15; ++i)
        cr_assert(answers[i]->reason == "too_many_claims_wait");
    bench.run(Milliseconds(100));
    for (int i = 0; i < 10; ++i)
        cr_assert(answers[i]->reason == "claims_table_slow", "%s", answers[i]->reason.c_str());
    const auto next = bench.claim(0, "next", "a"); // By now the table counts as down.
    cr_assert(next->reason == "claims_table_down", "%s", next->reason.c_str());
}

// Only the attempt that was granted ends its claim, and only once. A stray end from an older attempt would
// record another call's outcome, or free a key while its call runs.
Test(claims, onlyTheHolderEndsItsClaim)
{
    ClaimBench bench(1);
    const auto first = bench.claim(0, "k", "a1");
    bench.gates[0]->finish("k", "a1", paid); // Not granted yet.
    bench.run(Milliseconds(20));
    cr_assert(first->verdict == ClaimVerdict::Granted);
    bench.gates[0]->finish("k", "a0", paid);
    bench.gates[0]->release("k", "a0");
    bench.gates[0]->leaveUnknown("k", "a0");
    bench.run(Milliseconds(20));
    cr_assert(stateOf(bench, "k") == "claimed");
    cr_assert(bench.claim(0, "k", "a2")->verdict == ClaimVerdict::InProgress);
    bench.gates[0]->finish("k", "a1", paid);
    cr_assert(bench.claim(0, "k", "a2")->verdict == ClaimVerdict::AlreadyDone); // Known before it is stored.
    bench.gates[0]->release("k", "a1");
    bench.run(Milliseconds(20));
    cr_assert(stateOf(bench, "k") == "done");
    cr_assert(bench.gates[0]->counters().settling.settled == 1);
}

// The call ran, and the answer to the record of its outcome is lost. The record is found in the table and not
// written for a whole minute again and again.
Test(claims, aRecordWhoseAnswerIsLostIsSettled)
{
    ClaimBench bench(1);
    bench.claim(0, "k", "a1");
    bench.run(Milliseconds(20));
    bench.platform.fate = inOrder({WriteFate::AnswerLost, WriteFate::AnswerLost});
    bench.gates[0]->finish("k", "a1", paid);
    bench.run(Milliseconds(1000));
    cr_assert(stateOf(bench, "k") == "done");
    cr_assert(bench.gates[0]->counters().settling.settled == 1);
    // The claim, the record, its repeat whose answer is lost too, and the one that finds it done.
    cr_assert(bench.platform.putRequests == 4, "%d puts", bench.platform.putRequests);
}

// The deadline passes while the claim still waits for its group. Its release must not join the same group:
// the table refuses a transaction that names a row twice, and with it every other claim of the group.
Test(claims, aClaimAndItsReleaseTravelApart)
{
    ClaimBench bench(1, 1, alwaysGrouping());
    const auto first = bench.claim(0, "k", "a1", Milliseconds(1));
    bench.run(Milliseconds(50));
    cr_assert(first->reason == "claims_table_slow");
    cr_assert(bench.platform.transactRequests == 0);
    cr_assert(bench.platform.putRequests == 2);
    cr_assert(stateOf(bench, "k") == "released");
}

// Every put against every row that may stand there when it lands, however late.
TABLE_TEST(claimRow, putsTakeEffectOnlyFromTheirStates, guardRows)
{
    const ClaimRow mine{"k", "mine", ClaimState::Claimed, 0, 0, {}};
    const std::optional<std::string> previous = "previous";
    std::optional<Row> standing;
    if (row.attempt != nullptr)
        standing = claimRow({"k", row.attempt, row.state, 0, 0, {}});
    cr_assert(claimPut(mine, std::nullopt).condition.holdsFor(standing) == row.claims);
    cr_assert(claimPut(mine, previous).condition.holdsFor(standing) == row.takesOver);
    cr_assert(releasePut(mine, std::nullopt).condition.holdsFor(standing) == row.claims);
    cr_assert(releasePut(mine, previous).condition.holdsFor(standing) == row.takesOver);
    cr_assert(recordPut(mine, {}).condition.holdsFor(standing) == row.records);
}

// Ten keyed calls arrive within a millisecond. They share one request, and the one whose key is taken does
// not get the other nine refused.
Test(claims, aTakenKeyDoesNotRefuseItsGroup)
{
    ClaimBench bench(2, 1, alwaysGrouping());
    const auto holder = bench.claim(1, "k3", "b");
    bench.run(Milliseconds(20));
    cr_assert(holder->verdict == ClaimVerdict::Granted);
    bench.platform.putRequests = 0;
    std::vector<std::shared_ptr<ClaimAnswer>> answers;
    for (int i = 0; i < 10; ++i)
        answers.push_back(bench.claim(0, "k" + std::to_string(i), "a"));
    bench.run(Milliseconds(50));
    for (int i = 0; i < 10; ++i) {
        const ClaimVerdict wanted = i == 3 ? ClaimVerdict::InProgress : ClaimVerdict::Granted;
        cr_assert(answers[i]->verdict == wanted, "claim %d: %s", i, answers[i]->reason.c_str());
    }
    cr_assert(bench.platform.transactRequests == 1);
    cr_assert(bench.platform.putRequests == 9); // Each of the nine once more, alone.
    for (int i = 10; i < 20; ++i)
        answers.push_back(bench.claim(0, "k" + std::to_string(i), "a"));
    bench.run(Milliseconds(50));
    cr_assert(answers.back()->verdict == ClaimVerdict::Granted);
    cr_assert(bench.platform.transactRequests == 2);
    cr_assert(bench.platform.putRequests == 9);
}

// The owner of a keeper looks at nextWake() when it has claimed and when it has woken, not after each answer
// of the table. The answer to the claim is lost, and so is the answer to the record of its outcome: both must
// be followed up in time all the same.
Test(claims, wakesItsOwnerWhileAnAnswerIsAwaited)
{
    ClaimBench bench(1);
    bench.platform.fate = inOrder({WriteFate::RequestLost, WriteFate::Answered, WriteFate::RequestLost});
    std::optional<Instant> timer;
    const auto runUntil = [&](Instant end) {
        while (true) {
            const auto event = bench.platform.nextEvent();
            const bool timerFirst = timer && *timer <= end && (!event || *timer <= *event);
            if (timerFirst) {
                bench.platform.now = std::max(bench.platform.now, *timer);
                bench.gates[0]->advance();
                timer = bench.gates[0]->nextWake();
            } else if (!bench.platform.step(end)) {
                break;
            }
        }
        bench.platform.now = end;
    };
    const auto answer = bench.claim(0, "k", "a1");
    timer = bench.gates[0]->nextWake();
    runUntil(bench.platform.now + Milliseconds(300));
    cr_assert(answer->verdict == ClaimVerdict::Granted, "%s", answer->reason.c_str());
    bench.gates[0]->finish("k", "a1", paid);
    timer = bench.gates[0]->nextWake();
    runUntil(bench.platform.now + Milliseconds(500));
    cr_assert(stateOf(bench, "k") == "done");
    cr_assert(!bench.gates[0]->nextWake(), "nothing is left to wait for");
}

// A visitor's reservation on a quiet node must not wait for others that never come; a hundred at once must
// not become a hundred requests.
Test(claims, groupsOnlyWhenManyAreUnderWay)
{
    ClaimBench bench(1);
    const auto first = bench.claim(0, "first", "a");
    cr_assert(bench.platform.putRequests == 1); // No time has passed.
    bench.run(Milliseconds(20));
    bench.platform.putRequests = 0;
    std::vector<std::shared_ptr<ClaimAnswer>> answers;
    for (int i = 0; i < 100; ++i)
        answers.push_back(bench.claim(0, "k" + std::to_string(i), "a"));
    bench.run(Milliseconds(20));
    for (const auto &answer : answers)
        cr_assert(answer->verdict == ClaimVerdict::Granted, "%s", answer->reason.c_str());
    const int requests = bench.platform.putRequests + bench.platform.transactRequests;
    cr_assert(bench.platform.putRequests >= 16);
    cr_assert(requests <= 20, "%d requests", requests);
}

TABLE_TEST(claims, keepsBodiesThatFit, bodyRows)
{
    ClaimBench bench(2);
    bench.claim(0, "k", "a1");
    bench.run(Milliseconds(20));
    bench.gates[0]->finish("k", "a1", {200, "text/plain", row.body, true});
    bench.run(Milliseconds(20));
    const auto again = bench.claim(1, "k", "b1");
    bench.run(Milliseconds(20));
    cr_assert(again->verdict == ClaimVerdict::AlreadyDone, "%s", row.name);
    cr_assert(again->outcome.bodyKept == row.kept, "%s", row.name);
    cr_assert(again->outcome.body == (row.kept ? row.body : ""), "%s", row.name);
}
