// The persisted rows of an upstream, and how a restarted node uses them.
#include "UpstreamFixture.h"

#include <Support/TableTest.h>

#include <map>

using namespace Sagecrank;

namespace {

const bool failingRows[] = {true, false};
const bool unavailableRows[] = {true, false};

struct DelayedRow
{
    const char *what;
    UpstreamState announced;
    std::uint64_t startedAt; // Of the announcement after the restart; the departed instance started at 100.
    const char *instance;
    UpstreamState expected;
};

const DelayedRow delayedRows[] = {
    {"a delayed announcement of the departed instance", UpstreamState::Ready, 100, "i-1",
     UpstreamState::None},
    {"a delayed warming announcement of it", UpstreamState::Warming, 100, "i-1", UpstreamState::None},
    {"it announces again that it drains", UpstreamState::Draining, 100, "i-1", UpstreamState::Draining},
    {"a new instance with the same name", UpstreamState::Ready, 200, "i-1", UpstreamState::Ready},
    {"another instance", UpstreamState::Ready, 150, "i-2", UpstreamState::Ready},
};

struct LossRow
{
    const char *what;
    bool isWriting;     // The write of the departure, at the restore.
    bool isUnavailable; // The table fails writes at first.
};

const LossRow lossRows[] = {
    {"it had been persisted", false, false},
    {"it was acknowledged around the restore", true, false},
    {"the table fails writes for a while", false, true},
};

struct NeedRow
{
    const char *what;
    std::vector<std::pair<UpstreamState, std::uint64_t>> announced; // With the start time of the instance.
    Duration restoreDelay;                                          // Time until the restore.
    int departures;                                                 // Rewritten.
    bool serving;
};

const NeedRow needRows[] = {
    {"one has served for a short time", {{UpstreamState::Ready, 100}}, Duration::zero(), 0, true},
    {"one has served for long", {{UpstreamState::Ready, 100}}, maximumBackupAge, 0, false},
    {"one left long ago, none followed", {{UpstreamState::Draining, 100}}, maximumBackupAge, 1, false},
    {"one left, and another serves",
     {{UpstreamState::Draining, 100}, {UpstreamState::Ready, 200}},
     Duration::zero(),
     0,
     true},
};

struct ServingRow
{
    const char *what;
    std::vector<std::pair<UpstreamState, std::uint64_t>> announced; // With the start time of the instance.
    UpstreamState expected;
};

const ServingRow servingRows[] = {
    {"no announcement", {}, UpstreamState::None},
    {"one serves", {{UpstreamState::Ready, 100}}, UpstreamState::Ready},
    {"one was warming", {{UpstreamState::Warming, 100}}, UpstreamState::Ready},
    {"it left", {{UpstreamState::Ready, 100}, {UpstreamState::Draining, 100}}, UpstreamState::None},
    {"its name left after a restart, and the row names the run before",
     {{UpstreamState::Ready, 100}, {UpstreamState::Draining, 200}},
     UpstreamState::None},
    {"it left and another serves",
     {{UpstreamState::Ready, 100}, {UpstreamState::Gone, 100}, {UpstreamState::Ready, 200}},
     UpstreamState::Ready},
};

struct EarlierVersionRow
{
    std::uint64_t startedAt; // In the row; the instance that announces itself started at 100.
    UpstreamState expected;
    UpstreamState expectedLater; // After `departedNameTimeout`.
};

const EarlierVersionRow earlierVersionRows[] = {
    {100, UpstreamState::None, UpstreamState::None},
    {0, UpstreamState::None, UpstreamState::Ready},
    {99, UpstreamState::Ready, UpstreamState::Ready},
};

} // namespace

// Guards against calls reaching an upstream that was promised none. The node confirms a drain and is killed;
// its next process gets a delayed announcement from before the drain and would take the upstream for ready.
// The row names the departed instance.
TABLE_TEST(upstreamRecord, confirmedDepartureSurvivesRestart, delayedRows)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        killed.announce(UpstreamState::Draining, 3);
    }
    table.rows.erase({"upstream/node-1", "serving"});
    Process next(table);
    next.announce(row.announced, 2, row.startedAt, row.instance);
    cr_assert(next.presence.state() == row.expected, "%s", row.what);
}

// An upstream may announce that it leaves without draining first and serve on for a while. Its earlier
// announcements must be rejected as after a drain.
Test(upstreamRecord, leaveWithoutDrainIsPersisted)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        killed.leave("i-1");
    }
    Process next(table);
    next.announce(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == UpstreamState::None);
}

// Guards against a delayed "ready" that brings back an instance whose answers say that it leaves, in the same
// process of the node and in the next.
Test(upstreamRecord, leavingStatedInAnAnswerIsFinal)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        killed.presence.leavingStated(killed.now, killed.unixNow, "i-1", 100);
        cr_assert(killed.presence.state() == UpstreamState::Draining);
        killed.now += std::chrono::minutes(1);
        killed.announce(UpstreamState::Ready, 2);
        cr_assert(killed.presence.state() == UpstreamState::Draining);
    }
    Process next(table);
    next.announce(UpstreamState::Ready, 3);
    cr_assert(next.presence.state() == UpstreamState::None);
    next.announce(UpstreamState::Ready, 1, 200, "i-2");
    cr_assert(next.presence.state() == UpstreamState::Ready);
}

// A late answer of an earlier instance does not concern the present one.
Test(upstreamRecord, leavingStatedByAnEarlierInstanceIsIgnored)
{
    FakeTable table;
    Process node(table);
    node.announce(UpstreamState::Ready, 1, 100, "i-1");
    node.announce(UpstreamState::Ready, 1, 200, "i-2");
    node.presence.leavingStated(node.now, node.unixNow, "i-1", 100);
    cr_assert(node.presence.state() == UpstreamState::Ready);
    node.announce(UpstreamState::Ready, 1, 300, "i-2");
    node.presence.leavingStated(node.now, node.unixNow, "i-2", 200);
    cr_assert(node.presence.state() == UpstreamState::Ready);
    cr_assert(table.writes == 0);
}

// A departure is confirmed only once the row is written: a node that is killed before has promised nothing.
Test(upstreamRecord, confirmsOnlyAfterTheRowIsWritten)
{
    FakeTable table;
    table.holdsWrites = true;
    Process node(table);
    node.announce(UpstreamState::Ready, 1);
    int confirmed = 0;
    node.record.whenPersisted([&confirmed](bool persisted) { confirmed += persisted ? 1 : 0; });
    cr_assert(confirmed == 1);
    node.announce(UpstreamState::Draining, 2);
    node.record.whenPersisted([&confirmed](bool persisted) { confirmed += persisted ? 1 : 0; });
    cr_assert(confirmed == 1 && node.presence.state() == UpstreamState::Draining);
    table.finishWrite();
    cr_assert(confirmed == 2);
    node.announce(UpstreamState::Draining, 3);
    cr_assert(table.writes == 1);
}

// The table does not answer, or fails the write. A confirmation that is not persisted would not bind the next
// process, so it is denied within the time limit and the upstream asks again. The upstream drains in any
// case.
TABLE_TEST(upstreamRecord, deniesConfirmationOfUnpersistedDeparture, failingRows)
{
    FakeTable table;
    table.holdsWrites = true;
    Process node(table);
    table.unavailable = row;
    node.announce(UpstreamState::Draining, 2);
    std::optional<bool> answer;
    node.record.whenPersisted([&answer](bool persisted) { answer = persisted; });
    node.context.run_for(departureWriteTimeout + Milliseconds(200));
    cr_assert(answer == std::optional(false));
    cr_assert(node.presence.state() == UpstreamState::Draining);
}

// The upstream asks again once the table is available.
Test(upstreamRecord, confirmsOnceTheTableIsAvailable)
{
    FakeTable table;
    Process node(table);
    table.unavailable = true;
    node.announce(UpstreamState::Draining, 2);
    table.unavailable = false;
    node.announce(UpstreamState::Draining, 3);
    bool confirmed = false;
    node.record.whenPersisted([&confirmed](bool persisted) { confirmed = persisted; });
    cr_assert(confirmed);
}

// The table is unavailable for long while a whole fleet starts. Each node must back off.
Test(upstreamRecord, backsOffWhileTheTableIsUnavailable)
{
    FakeTable table;
    table.unavailable = true;
    Process node(table);
    node.context.run_for(Milliseconds(3500));
    cr_assert(table.reads == 3, "%d reads", table.reads);
}

// Guards against calls reaching an upstream whose departure was confirmed, when several of its earlier
// announcements arrive late at a process that cannot read the record. One that is sent to an address of this
// process proves that the upstream runs, so a healthy upstream is back within one announcement interval. Once
// the table is available, a departure in the row overrides the announcements.
Test(upstreamRecord, acceptsOnlyProvenAnnouncementsWhileTheTableIsUnavailable)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Draining, 3);
    }
    table.unavailable = true;
    Process next(table);
    cr_assert(next.announce(UpstreamState::Ready, 1) == AnnouncementResult::Unproven);
    cr_assert(next.presence.state() == UpstreamState::None && next.failures == 1);
    cr_assert(next.announce(UpstreamState::Ready, 2) == AnnouncementResult::Unproven);
    cr_assert(next.presence.state() == UpstreamState::None);
    next.announce(UpstreamState::Ready, 3, 100, "i-1", AnnouncementProof::SentToThisProcess);
    cr_assert(next.presence.state() == UpstreamState::Ready);
    cr_assert(next.announce(UpstreamState::Ready, 4) == AnnouncementResult::Accepted, "it serves");
    table.unavailable = false;
    next.context.run_for(recordRetryDelay + Milliseconds(200));
    cr_assert(table.reads == 3 && next.presence.state() == UpstreamState::Draining);
}

// An upstream whose platform offers no second address is not kept out for as long as the table is away.
Test(upstreamRecord, acceptsAnnouncementsThatCannotHaveBeenDelayed)
{
    FakeTable table;
    table.unavailable = true;
    Process node(table);
    node.announce(UpstreamState::Ready, 1);
    node.now += departedNameTimeout - Milliseconds(1);
    cr_assert(node.announce(UpstreamState::Ready, 2) == AnnouncementResult::Unproven);
    node.now += Milliseconds(1);
    cr_assert(node.announce(UpstreamState::Ready, 3) == AnnouncementResult::Accepted);
    cr_assert(node.presence.state() == UpstreamState::Ready);
}

// When a node restarts, its upstream, which keeps running, announces itself only every one or two seconds.
// Until then each call to it was refused, which with three upstreams is a third of the service. The next
// process must use the row of the serving instance.
TABLE_TEST(upstreamRecord, nextProcessUsesTheServingRow, servingRows)
{
    FakeTable table;
    {
        Process killed(table);
        for (const auto &[state, startedAt] : row.announced)
            killed.announce(state, startedAt, startedAt);
    }
    const Process next(table);
    cr_assert(next.presence.state() == row.expected, "%s", row.what);
}

// Guards against calls reaching an upstream 2.5 s after its departure was confirmed. The node restarts while
// the table is unavailable, and the first message from its upstream says that an instance leaves that the
// node does not know. When the table is available again, its row says that this instance serves.
TABLE_TEST(upstreamRecord, departureOfUnknownInstanceOverridesTheRow, unavailableRows)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
    }
    table.unavailable = row;
    Process next(table);
    next.leave(row ? "i-1" : "i-2");
    cr_assert(next.isConfirmed() == !row, "not confirmed before the row holds it");
    table.unavailable = false;
    next.context.run_for(recordRetryDelay + Milliseconds(200));
    next.announce(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == (row ? UpstreamState::None : UpstreamState::Ready));
    if (!row)
        return;
    // The next process of the node knows it too, and a new instance with that name is accepted in the end.
    next.leave("i-1");
    Process third(table);
    third.announce(UpstreamState::Ready, 3);
    cr_assert(third.presence.state() == UpstreamState::None);
    third.now += departedNameTimeout;
    third.announce(UpstreamState::Ready, 1, 200);
    cr_assert(third.presence.state() == UpstreamState::Ready);
}

// Guards against a confirmed departure that is forgotten when the next process of the node confirms one of
// another instance before it has read the row.
Test(upstreamRecord, departuresOfEarlierProcessesAreKept)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        killed.leave("i-1");
        cr_assert(killed.isConfirmed());
    }
    {
        table.unavailable = true;
        Process next(table);
        next.leave("i-2");
        table.unavailable = false;
        cr_assert(!next.isConfirmed());
        next.context.run_for(recordRetryDelay + Milliseconds(200));
        cr_assert(next.isConfirmed());
    }
    for (const char *instance : {"i-1", "i-2"}) {
        Process third(table);
        third.announce(UpstreamState::Ready, 2, 100, instance);
        cr_assert(third.presence.state() == UpstreamState::None, "%s", instance);
    }
}

// The same when the row is writable before it was read.
Test(upstreamRecord, theRowIsNotWrittenBeforeItWasRead)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        killed.leave("i-1");
    }
    table.holdsReads = true;
    {
        Process next(table);
        next.leave("i-2");
        cr_assert(!next.isConfirmed());
    }
    table.holdsReads = false;
    Process third(table);
    third.announce(UpstreamState::Ready, 2);
    cr_assert(third.presence.state() == UpstreamState::None);
}

// Guards against an upstream that is out of service after each restart of its node, since a departure of an
// earlier run of its name arrived late once.
Test(upstreamRecord, refutedDepartureIsDroppedFromTheRow)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        killed.leave("i-1");
        killed.now += departedNameTimeout;
        killed.announce(UpstreamState::Ready, 2);
        cr_assert(killed.presence.state() == UpstreamState::Ready);
    }
    cr_assert(Process(table).presence.state() == UpstreamState::Ready);
}

// A response confirms it, so it binds, whatever else is known of the instance.
Test(upstreamRecord, departureOfAnEarlierInstanceIsRecorded)
{
    FakeTable table;
    Process node(table);
    node.announce(UpstreamState::Ready, 1, 200, "i-2");
    node.announce(UpstreamState::Draining, 9, 100, "i-1");
    cr_assert(node.presence.state() == UpstreamState::Ready && node.isConfirmed());
    const std::string *instance = table.rows.at({"upstream/node-1", "leaving"}).text("instance");
    cr_assert(instance != nullptr && *instance == "i-1");
}

// An earlier version of the node wrote the row, with 0 for a departure without a start time.
TABLE_TEST(upstreamRecord, readsRowsOfEarlierVersions, earlierVersionRows)
{
    FakeTable table;
    const RowKey key{"upstream/node-1", "leaving"};
    table.rows[key] = {key, {{"instance", std::string("i-1")}, {"started_at", row.startedAt}}};
    Process node(table);
    node.announce(UpstreamState::Ready, 2);
    cr_assert(node.presence.state() == row.expected, "%d", static_cast<int>(row.startedAt));
    node.now += departedNameTimeout;
    node.announce(UpstreamState::Ready, 3);
    cr_assert(node.presence.state() == row.expectedLater, "%d", static_cast<int>(row.startedAt));
}

// The upstream was replaced while the node was down: a later instance overrides the row.
Test(upstreamRecord, laterInstanceOverridesTheRow)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
    }
    Process next(table);
    next.announce(UpstreamState::Draining, 1, 200, "i-2");
    cr_assert(next.presence.state() == UpstreamState::Draining);
    next.announce(UpstreamState::Ready, 9);
    cr_assert(next.presence.state() == UpstreamState::Draining);
}

// A malformed row must be ignored and hold no announcement back.
Test(upstreamRecord, malformedRowIsIgnored)
{
    FakeTable table;
    for (const char *name : {"leaving", "serving"}) {
        const RowKey key{"upstream/node-1", name};
        table.rows[key] = {key, {{"instance", std::uint64_t(7)}}};
    }
    Process next(table);
    next.announce(UpstreamState::Ready, 1);
    cr_assert(next.presence.state() == UpstreamState::Ready);
}

// All nodes lose power while a request that crashes upstreams is quarantined.
Test(upstreamRecord, crashesSurviveRestart)
{
    FakeTable table;
    const std::vector<CrashRecord> crashes = {{7, 1, unixMilliseconds() + 600'000}, {8, 1, 1}};
    {
        Process process(table);
        process.record.recordCrashes(crashes);
    }
    cr_assert(Process(table).loadedCrashes == std::vector<CrashRecord>{crashes[0]},
              "expired crashes are dropped");
}

// The table is unavailable when the upstream crashes. The row is written at the upstream's next announcement.
Test(upstreamRecord, crashesAreWrittenOnceTheTableIsAvailable)
{
    FakeTable table;
    Process process(table);
    table.unavailable = true;
    process.record.recordCrashes({{7, 1, unixMilliseconds() + 600'000}});
    table.unavailable = false;
    process.record.recordServing({"booking", "10.0.0.1:80", 6, UpstreamCondition::Ready, "i-2", 5, 1});
    cr_assert(Process(table).loadedCrashes.size() == 1);
}

// The table is restored from a copy from before the crash.
Test(upstreamRecord, lostCrashesAreRewritten)
{
    FakeTable table;
    Process process(table);
    process.record.recordCrashes({{7, 1, unixMilliseconds() + 600'000}});
    table.rows.clear();
    process.record.rewriteAfterRestore(SteadyClock::now());
    process.record.recordServing({"booking", "10.0.0.1:80", 6, UpstreamCondition::Ready, "i-2", 5, 1});
    cr_assert(Process(table).loadedCrashes.size() == 1);
}

// All nodes lose power after an answer has cleared a request that ran at a crash by coincidence.
Test(upstreamRecord, clearedCrashesAreNotPersisted)
{
    FakeTable table;
    const std::uint64_t end = unixMilliseconds() + 600'000;
    Process process(table);
    process.record.recordCrashes({{7, 1, end}, {8, 1, end}});
    process.record.removeCrash(7, 1);
    process.record.removeCrash(8, 2);
    process.record.recordServing({"booking", "10.0.0.1:80", 6, UpstreamCondition::Ready, "i-2", 5, 1});
    cr_assert(Process(table).loadedCrashes == std::vector<CrashRecord>({{8, 1, end}}));
}

struct SerializedRow
{
    const char *text;
    std::size_t crashes;
};

const SerializedRow serializedRows[] = {
    {"", 0},
    {"7:1:ff;", 1},
    {"7:1:ff;8:1:ff;", 2},
    {"7:1;8:1:ff;", 1},
    {"7:1:ff:2;", 0},
    {"x:1:ff;", 0},
    {";;;7:1:ff", 1},
    {"::;", 0},
    {"7:1:10000000000000000;", 0},
};

// Malformed entries of a row are skipped.
TABLE_TEST(crashHistory, malformedEntriesAreSkipped, serializedRows)
{
    const CrashHistory history = CrashHistory::parse(row.text);
    cr_assert(history.crashes().size() == row.crashes, "%s", row.text);
    cr_assert(CrashHistory::parse(history.serialize()).crashes() == history.crashes());
}

// The table is restored from a copy from before a confirmed departure, and the node is killed some time
// later. Its next process must not accept a delayed announcement of the departed instance.
TABLE_TEST(upstreamRecord, lostDepartureIsRewritten, lossRows)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Ready, 1);
        table.holdsWrites = row.isWriting;
        killed.announce(UpstreamState::Draining, 3);
        const std::map<RowKey, Row> copy = {};
        table.unavailable = row.isUnavailable;
        if (!row.isWriting)
            table.rows = copy;
        killed.record.rewriteAfterRestore(SteadyClock::now());
        table.finishWrite(); // Acknowledged by the table from before the restore.
        table.rows = row.isWriting ? copy : table.rows;
        table.finishWrite();
        table.unavailable = false;
        killed.context.run_for(row.isUnavailable ? recordRetryDelay + Milliseconds(300) : Milliseconds(0));
        bool confirmed = false;
        killed.record.whenPersisted([&confirmed](bool persisted) { confirmed = persisted; });
        cr_assert(confirmed, "%s", row.what);
    }
    Process next(table);
    next.announce(UpstreamState::Ready, 2);
    next.announce(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == UpstreamState::None, "%s", row.what);
}

// The same, when the process that confirmed it ended before the restore and the next one has read the row.
Test(upstreamRecord, loadedDepartureIsRewritten)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Draining, 3);
    }
    {
        Process next(table);
        table.rows.clear();
        next.record.rewriteAfterRestore(SteadyClock::now());
    }
    Process third(table);
    third.announce(UpstreamState::Ready, 2);
    cr_assert(third.presence.state() == UpstreamState::None);
}

// A restore between the read of the rows and its answer: the rows are from the table before the restore.
Test(upstreamRecord, departureReadDuringTheRestoreIsRewritten)
{
    FakeTable table;
    {
        Process killed(table);
        killed.announce(UpstreamState::Draining, 3);
    }
    table.holdsReads = true;
    Process next(table);
    next.record.rewriteAfterRestore(SteadyClock::now());
    table.holdsWrites = true;
    table.finishRead();
    table.rows.clear();
    table.finishWrite();
    cr_assert(table.rows.contains({"upstream/node-1", "leaving"}));
}

// The table of a fleet is restored after all upstreams have been replaced once. Rows that are no longer
// needed, or that every copy contains, must not be rewritten, since each node would write at the same time.
TABLE_TEST(upstreamRecord, onlyNeededRowsAreRewritten, needRows)
{
    FakeTable table;
    Process node(table);
    for (const auto &[state, startedAt] : row.announced)
        node.announce(state, startedAt, startedAt);
    table.rows.clear();
    table.writes = 0;
    node.record.rewriteAfterRestore(SteadyClock::now() + row.restoreDelay);
    cr_assert(table.writes == row.departures, "%s: %d", row.what, table.writes);
    cr_assert(!table.rows.contains({"upstream/node-1", "serving"}), "%s: not before its next announcement",
              row.what);
    for (const auto &[state, startedAt] : row.announced)
        node.announce(state, startedAt + 1, startedAt);
    cr_assert(table.rows.contains({"upstream/node-1", "serving"}) == row.serving, "%s", row.what);
}
