// What a node knows of departures of its upstream, over restarts of the node and outages of the table.
#include "UpstreamFixture.h"

#include <Support/TableTest.h>

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
