// The row about a leaving upstream, and what a node that was started anew makes of it.
#include <Node/Upstream/UpstreamRecord.h>

#include <Support/TableTest.h>

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>

#include <map>

using namespace Sagecrank;

namespace {

// A table of one process after the other. While it is away, reads fail; while it holds writes, they wait.
class FakeTable
{
public:
    TablePort port()
    {
        TablePort port;
        port.query = [this](const QueryRequest &request, const RowsCallback &callback) {
            ++this->reads;
            if (this->away)
                return callback(makeError(ErrorKind::Unavailable, "read rows", "table", "away"));
            std::vector<Row> found;
            for (const auto &[key, row] : this->rows) {
                if (key.partition == request.partition)
                    found.push_back(row);
            }
            if (!this->holdsReads)
                return callback(std::move(found));
            this->pendingRead = [found, callback] { callback(found); };
        };
        port.putIf = [this](const ConditionalPut &put, const WriteCallback &callback) {
            if (put.row.key.sort == "serving") {
                this->rows[put.row.key] = put.row;
                return callback(success());
            }
            ++this->writes;
            if (this->away)
                return callback(makeError(ErrorKind::Unavailable, "write row", "table", "away"));
            this->pending = [this, row = put.row, callback] {
                this->rows[row.key] = row;
                callback(success());
            };
            if (!this->holdsWrites)
                this->finishWrite();
        };
        return port;
    }

    void finishWrite()
    {
        if (const auto finish = std::exchange(this->pending, nullptr))
            finish();
    }

    void finishRead()
    {
        if (const auto finish = std::exchange(this->pendingRead, nullptr))
            finish();
    }

    std::map<RowKey, Row> rows;
    bool away = false;
    bool holdsWrites = false;
    bool holdsReads = false;
    int reads = 0;
    int writes = 0;
    std::function<void()> pending;
    std::function<void()> pendingRead;
};

// What a node's process knows of the upstream, from its start on.
class Process
{
public:
    explicit Process(FakeTable &table)
        : record(this->context, table.port(), "node-1", this->recordHooks())
    {
        this->presence.awaitPersistedState();
        this->record.load();
    }

    void hear(UpstreamState state, std::uint64_t sequence, std::uint64_t startedAt = 100,
              const char *instance = "i-1")
    {
        this->presence.announced(
            this->now,
            {"booking", "127.0.0.1:9101", 6, UpstreamCondition::NotReady, instance, startedAt, sequence},
            state);
    }

    UpstreamRecordHooks recordHooks()
    {
        return {[this](const PersistedUpstream &upstream) {
                    this->recalledCrashes = upstream.crashes;
                    this->presence.persistedStateLoaded(this->now, upstream);
                },
                [](const Departure &) {}, [this](const Error &) { ++this->failures; }};
    }

    boost::asio::io_context context{1};
    Instant now = Instant() + std::chrono::hours(1);
    int failures = 0;
    std::vector<CrashRecord> recalledCrashes;
    UpstreamPresence presence{
        {[](const std::string &) {}, [](const UpstreamAnnouncement &) {},
         [](const std::string &, UpstreamState, std::uint32_t) {},
         [this](const Departure &departure) { this->record.recordDeparture(departure); },
         [this](const UpstreamAnnouncement &upstream) { this->record.recordServing(upstream); }}};
    UpstreamRecord record;
};

const bool awayRows[] = {true, false};
const bool tableBackRows[] = {true, false};

struct LateRow
{
    const char *what;
    UpstreamState said;
    std::uint64_t startedAt; // Of the announcement after the restart; the start that left began at 100.
    const char *instance;
    UpstreamState believed;
};

const LateRow lateRows[] = {
    {"a late word of the start that left", UpstreamState::Ready, 100, "i-1", UpstreamState::None},
    {"a late word of it while it was cold", UpstreamState::Warming, 100, "i-1", UpstreamState::None},
    {"it says again that it drains", UpstreamState::Draining, 100, "i-1", UpstreamState::Draining},
    {"the same name, started anew", UpstreamState::Ready, 200, "i-1", UpstreamState::Ready},
    {"another start", UpstreamState::Ready, 150, "i-2", UpstreamState::Ready},
};

struct LossRow
{
    const char *what;
    bool isUnderWay; // The write of the leaving, at the return.
    bool isAway;     // The table refuses at first.
};

const LossRow lossRows[] = {
    {"it had been kept", false, false},
    {"it was acknowledged around the return", true, false},
    {"the table refuses for a while", false, true},
};

struct NeedRow
{
    const char *what;
    std::vector<std::pair<UpstreamState, std::uint64_t>> heard; // With when the start began.
    Duration later;                                             // The return.
    int leavings;                                               // Written again.
    bool serving;
};

const NeedRow needRows[] = {
    {"one serves since a moment ago", {{UpstreamState::Ready, 100}}, Duration::zero(), 0, true},
    {"one serves for long", {{UpstreamState::Ready, 100}}, maximumBackupAge, 0, false},
    {"one left long ago, none came", {{UpstreamState::Draining, 100}}, maximumBackupAge, 1, false},
    {"one left, and another serves",
     {{UpstreamState::Draining, 100}, {UpstreamState::Ready, 200}},
     Duration::zero(),
     0,
     true},
};

struct ServingRow
{
    const char *what;
    std::vector<std::pair<UpstreamState, std::uint64_t>> heard; // With when the start began.
    UpstreamState believed;
};

const ServingRow servingRows[] = {
    {"none was heard", {}, UpstreamState::None},
    {"one serves", {{UpstreamState::Ready, 100}}, UpstreamState::Ready},
    {"one was cold", {{UpstreamState::Warming, 100}}, UpstreamState::Ready},
    {"it left", {{UpstreamState::Ready, 100}, {UpstreamState::Draining, 100}}, UpstreamState::None},
    {"it left and another serves",
     {{UpstreamState::Ready, 100}, {UpstreamState::Gone, 100}, {UpstreamState::Ready, 200}},
     UpstreamState::Ready},
};

} // namespace

// A caller's request reaches an upstream that was promised to get none. The upstream says that it drains, the
// node confirms and is killed; its next process hears an announcement of before the drain, held up on its
// way, and takes the upstream for ready, as it knows of nothing before. The row says which start has left.
TABLE_TEST(upstreamRecord, aConfirmedLeavingOutlivesTheProcess, lateRows)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Ready, 1);
        killed.hear(UpstreamState::Draining, 3);
    }
    table.rows.erase({"upstream/node-1", "serving"});
    Process next(table);
    next.hear(row.said, 2, row.startedAt, row.instance);
    cr_assert(next.presence.state() == row.believed, "%s", row.what);
}

// The goodbye comes first here and the upstream goes on serving for a while; its earlier announcements count
// for as little as after a drain.
Test(upstreamRecord, aGoodbyeIsKeptToo)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Ready, 1);
        killed.presence.left(killed.now, "i-1");
    }
    Process next(table);
    next.hear(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == UpstreamState::None);
}

// The upstream is told that its leaving was heard only when the row stands: a node that is killed in between
// has promised nothing.
Test(upstreamRecord, confirmsWhenTheRowStands)
{
    FakeTable table;
    table.holdsWrites = true;
    Process node(table);
    node.hear(UpstreamState::Ready, 1);
    int confirmed = 0;
    node.record.whenPersisted([&confirmed](bool kept) { confirmed += kept ? 1 : 0; });
    cr_assert(confirmed == 1);
    node.hear(UpstreamState::Draining, 2);
    node.record.whenPersisted([&confirmed](bool kept) { confirmed += kept ? 1 : 0; });
    cr_assert(confirmed == 1 && node.presence.state() == UpstreamState::Draining);
    table.finishWrite();
    cr_assert(confirmed == 2);
    node.hear(UpstreamState::Draining, 3);
    cr_assert(table.writes == 1);
}

// The table gives no answer, or says that it is away. A confirmation that nothing keeps would not bind the
// next process, so the upstream is told in time that there is none, and asks again; it drains all the same.
TABLE_TEST(upstreamRecord, confirmsNothingThatIsNotKept, awayRows)
{
    FakeTable table;
    table.holdsWrites = true;
    Process node(table);
    table.away = row;
    node.hear(UpstreamState::Draining, 2);
    std::optional<bool> answer;
    node.record.whenPersisted([&answer](bool kept) { answer = kept; });
    node.context.run_for(departureWriteTimeout + Milliseconds(200));
    cr_assert(answer == std::optional(false));
    cr_assert(node.presence.state() == UpstreamState::Draining);
}

// The upstream asks again when the table is back.
Test(upstreamRecord, confirmsLaterWhenTheTableIsBack)
{
    FakeTable table;
    Process node(table);
    table.away = true;
    node.hear(UpstreamState::Draining, 2);
    table.away = false;
    node.hear(UpstreamState::Draining, 3);
    bool confirmed = false;
    node.record.whenPersisted([&confirmed](bool kept) { confirmed = kept; });
    cr_assert(confirmed);
}

// The table is away for long while a whole fleet starts; each node asks it less and less often.
Test(upstreamRecord, asksATableThatIsAwayLessAndLessOften)
{
    FakeTable table;
    table.away = true;
    Process node(table);
    node.context.run_for(Milliseconds(3500));
    cr_assert(table.reads == 3, "%d reads", table.reads);
}

// The table is away while a node starts. One word of its upstream may be a late one; the second of the same
// start is believed, so that a healthy upstream comes back in the time of one announcement. The row is read
// as soon as the table is back, and goes before that belief.
Test(upstreamRecord, believesTheSecondWordWhileTheTableIsAway)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Draining, 3);
    }
    table.away = true;
    Process next(table);
    next.hear(UpstreamState::Ready, 1);
    cr_assert(next.presence.state() == UpstreamState::None && next.failures == 1);
    next.hear(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == UpstreamState::Ready);
    table.away = false;
    next.context.run_for(recordRetryDelay + Milliseconds(200));
    cr_assert(table.reads == 3 && next.presence.state() == UpstreamState::Draining);
}

// A host is restarted; its upstream, which goes on running, speaks once in a second or two. Until then each
// call to it was refused, and with three upstreams that is a third of the service. The next process goes by
// the row.
TABLE_TEST(upstreamRecord, theNextProcessKnowsWhoServes, servingRows)
{
    FakeTable table;
    {
        Process killed(table);
        for (const auto &[state, startedAt] : row.heard)
            killed.hear(state, startedAt, startedAt);
    }
    const Process next(table);
    cr_assert(next.presence.state() == row.believed, "%s", row.what);
}

// Callers' requests reach an upstream 2.5 s after its goodbye was confirmed. The node is restarted while the
// table is away; the first word that it hears of its upstream is the goodbye, of a start that it does not
// know; then the table is back, and its row says that this start serves.
TABLE_TEST(upstreamRecord, aGoodbyeBeforeAnythingElseGoesBeforeTheRow, tableBackRows)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Ready, 1);
    }
    table.away = row;
    Process next(table);
    if (row)
        next.presence.left(next.now, "i-1");
    else
        next.presence.left(next.now, "i-2");
    cr_assert(next.presence.isLeaving() == row);
    table.away = false;
    next.context.run_for(recordRetryDelay + Milliseconds(200));
    next.hear(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == (row ? UpstreamState::None : UpstreamState::Ready));
    if (!row)
        return;
    // The next process of the node knows it too, and a start of that name is believed in the end.
    next.presence.left(next.now, "i-1");
    Process third(table);
    third.hear(UpstreamState::Ready, 3);
    cr_assert(third.presence.state() == UpstreamState::None);
    third.now += departedNameTimeout;
    third.hear(UpstreamState::Ready, 1, 200);
    cr_assert(third.presence.state() == UpstreamState::Ready);
}

// It was replaced while the node was down, and says so: that word goes before the row.
Test(upstreamRecord, aLaterStartGoesBeforeTheRow)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Ready, 1);
    }
    Process next(table);
    next.hear(UpstreamState::Draining, 1, 200, "i-2");
    cr_assert(next.presence.state() == UpstreamState::Draining);
    next.hear(UpstreamState::Ready, 9);
    cr_assert(next.presence.state() == UpstreamState::Draining);
}

// A row that someone else has written over names no start; it holds nobody back.
Test(upstreamRecord, aSpoiltRowNamesNobody)
{
    FakeTable table;
    for (const char *name : {"leaving", "serving"}) {
        const RowKey key{"upstream/node-1", name};
        table.rows[key] = {key, {{"instance", std::uint64_t(7)}}};
    }
    Process next(table);
    next.hear(UpstreamState::Ready, 1);
    cr_assert(next.presence.state() == UpstreamState::Ready);
}

// All nodes lose power while a request is kept from the upstreams that it crashes.
Test(upstreamRecord, crashesOutliveTheProcess)
{
    FakeTable table;
    const std::vector<CrashRecord> crashes = {{7, 1, unixMilliseconds() + 600'000}, {8, 1, 1}};
    {
        Process process(table);
        process.record.recordCrashes(crashes);
    }
    cr_assert(Process(table).recalledCrashes == std::vector<CrashRecord>{crashes[0]},
              "what has expired is not kept");
}

// The table is away when the upstream crashes; the row is written with the upstream's next word.
Test(upstreamRecord, crashesAreWrittenWhenTheTableIsBack)
{
    FakeTable table;
    Process process(table);
    table.away = true;
    process.record.recordCrashes({{7, 1, unixMilliseconds() + 600'000}});
    table.away = false;
    process.record.recordServing({"booking", "10.0.0.1:80", 6, UpstreamCondition::Ready, "i-2", 5, 1});
    cr_assert(Process(table).recalledCrashes.size() == 1);
}

// The table comes back from a copy of before the crash.
Test(upstreamRecord, crashesThatTheTableLostAreWrittenAgain)
{
    FakeTable table;
    Process process(table);
    process.record.recordCrashes({{7, 1, unixMilliseconds() + 600'000}});
    table.rows.clear();
    process.record.rewriteAfterRestore(SteadyClock::now());
    process.record.recordServing({"booking", "10.0.0.1:80", 6, UpstreamCondition::Ready, "i-2", 5, 1});
    cr_assert(Process(table).recalledCrashes.size() == 1);
}

// All nodes lose power after an answer has cleared a request that ran at crashes by chance.
Test(upstreamRecord, whatWasClearedIsNotKept)
{
    FakeTable table;
    const std::uint64_t end = unixMilliseconds() + 600'000;
    Process process(table);
    process.record.recordCrashes({{7, 1, end}, {8, 1, end}});
    process.record.removeCrash(7, 1);
    process.record.removeCrash(8, 2);
    process.record.recordServing({"booking", "10.0.0.1:80", 6, UpstreamCondition::Ready, "i-2", 5, 1});
    cr_assert(Process(table).recalledCrashes == std::vector<CrashRecord>({{8, 1, end}}));
}

struct KeptTextRow
{
    const char *text;
    std::size_t crashes;
};

const KeptTextRow keptTextRows[] = {
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

// A row may come from another writer.
TABLE_TEST(crashHistory, spoiltEntriesAreLeftOut, keptTextRows)
{
    const CrashHistory history = CrashHistory::parse(row.text);
    cr_assert(history.crashes().size() == row.crashes, "%s", row.text);
    cr_assert(CrashHistory::parse(history.serialize()).crashes() == history.crashes());
}

// The table comes back from a copy of before a confirmed leaving, and the node is killed some time later. Its
// next process hears a late word of the start that left, and would take it for its upstream's.
TABLE_TEST(upstreamRecord, aLeavingThatTheTableLostIsWrittenAgain, lossRows)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Ready, 1);
        table.holdsWrites = row.isUnderWay;
        killed.hear(UpstreamState::Draining, 3);
        const std::map<RowKey, Row> copy = {};
        table.away = row.isAway;
        if (!row.isUnderWay)
            table.rows = copy;
        killed.record.rewriteAfterRestore(SteadyClock::now());
        table.finishWrite(); // Acknowledged by the table of before.
        table.rows = row.isUnderWay ? copy : table.rows;
        table.finishWrite();
        table.away = false;
        killed.context.run_for(row.isAway ? recordRetryDelay + Milliseconds(300) : Milliseconds(0));
        bool confirmed = false;
        killed.record.whenPersisted([&confirmed](bool kept) { confirmed = kept; });
        cr_assert(confirmed, "%s", row.what);
    }
    Process next(table);
    next.hear(UpstreamState::Ready, 2);
    next.hear(UpstreamState::Ready, 2);
    cr_assert(next.presence.state() == UpstreamState::None, "%s", row.what);
}

// The same, when the process that confirmed it has ended before the return, and the next one has read of it.
Test(upstreamRecord, aLeavingThatWasRecalledIsWrittenAgain)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Draining, 3);
    }
    {
        Process next(table);
        table.rows.clear();
        next.record.rewriteAfterRestore(SteadyClock::now());
    }
    Process third(table);
    third.hear(UpstreamState::Ready, 2);
    cr_assert(third.presence.state() == UpstreamState::None);
}

// A return that falls between the read of the rows and its answer: they were read from the table of before.
Test(upstreamRecord, aLeavingReadDuringTheReturnIsWrittenAgain)
{
    FakeTable table;
    {
        Process killed(table);
        killed.hear(UpstreamState::Draining, 3);
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

// A drill at a fleet whose upstreams have all been replaced once. What nobody needs any more, or what is in
// each copy, is not written again: each node would write at once.
TABLE_TEST(upstreamRecord, onlyWhatMayBeLostAndIsNeededIsWrittenAgain, needRows)
{
    FakeTable table;
    Process node(table);
    for (const auto &[state, startedAt] : row.heard)
        node.hear(state, startedAt, startedAt);
    table.rows.clear();
    table.writes = 0;
    node.record.rewriteAfterRestore(SteadyClock::now() + row.later);
    cr_assert(table.writes == row.leavings, "%s: %d", row.what, table.writes);
    cr_assert(!table.rows.contains({"upstream/node-1", "serving"}), "%s: not before its next word", row.what);
    for (const auto &[state, startedAt] : row.heard)
        node.hear(state, startedAt + 1, startedAt);
    cr_assert(table.rows.contains({"upstream/node-1", "serving"}) == row.serving, "%s", row.what);
}
