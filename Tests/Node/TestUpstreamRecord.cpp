// The persisted rows of an upstream, and how a restarted node uses them.
#include "UpstreamFixture.h"

#include <Support/TableTest.h>

#include <map>

using namespace Sagecrank;

namespace {

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

} // namespace

// The table is unavailable for long while a whole fleet starts. Each node must back off.
Test(upstreamRecord, backsOffWhileTheTableIsUnavailable)
{
    FakeTable table;
    table.unavailable = true;
    Process node(table);
    node.context.run_for(Milliseconds(3500));
    cr_assert(table.reads == 3, "%d reads", table.reads);
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
