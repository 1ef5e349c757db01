// A node's knowledge of its upstream, over several processes of the node, with a table in memory.
#pragma once

#include <Node/Upstream/UpstreamRecord.h>

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Sagecrank {

// A table that outlives the processes of a test. It can fail calls, leave them unanswered, and delay the
// answers of reads and writes.
class FakeTable
{
public:
    TablePort port()
    {
        TablePort port;
        port.query = [this](const QueryRequest &request, const RowsCallback &callback) {
            ++this->reads;
            if (this->unavailable)
                return callback(makeError(ErrorKind::Unavailable, "read rows", "table", "unavailable"));
            std::vector<Row> found;
            for (const auto &[key, row] : this->rows) {
                if (key.partition == request.partition)
                    found.push_back(row);
            }
            if (this->silent)
                return this->unanswered.push_back([callback](bool) { callback(noAnswer("read rows")); });
            if (!this->holdsReads)
                return callback(std::move(found));
            this->pendingRead = [found, callback] { callback(found); };
        };
        port.putIf = [this](const ConditionalPut &put, const WriteCallback &callback) {
            const bool isServing = put.row.key.sort == "serving";
            this->writes += isServing ? 0 : 1;
            if (this->unavailable)
                return callback(makeError(ErrorKind::Unavailable, "write row", "table", "unavailable"));
            if (this->silent) {
                return this->unanswered.push_back([this, row = put.row, callback](bool isDone) {
                    if (isDone)
                        this->rows[row.key] = row;
                    callback(noAnswer("write row"));
                });
            }
            this->pending = [this, row = put.row, callback] {
                this->rows[row.key] = row;
                callback(success());
            };
            if (!this->holdsWrites || isServing)
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

    // The callers of the calls that were not answered give up. The writes among them may have been done.
    void giveUpUnanswered(bool writesAreDone)
    {
        for (const auto &giveUp : std::exchange(this->unanswered, {}))
            giveUp(writesAreDone);
    }

    std::map<RowKey, Row> rows;
    bool unavailable = false;
    bool silent = false;
    bool holdsWrites = false;
    bool holdsReads = false;
    int reads = 0;
    int writes = 0; // Of other rows than that of the serving instance.
    std::function<void()> pending;
    std::function<void()> pendingRead;
    std::vector<std::function<void(bool writesAreDone)>> unanswered;

private:
    static Error noAnswer(const char *step)
    {
        return makeError(ErrorKind::Timeout, step, "table", "no answer");
    }
};

// The upstream state of one process of a node.
class Process
{
public:
    explicit Process(FakeTable &table, Instant now = Instant() + std::chrono::hours(1))
        : now(now)
        , record(this->context, table.port(), "node-1", this->recordHooks())
    {
        this->presence.awaitPersistedState(this->now);
        this->record.load();
    }

    AnnouncementResult announce(UpstreamState state, std::uint64_t sequence, std::uint64_t startedAt = 100,
                                const char *instance = "i-1",
                                AnnouncementProof proof = AnnouncementProof::None)
    {
        return this->presence.announced(
            this->now,
            {"booking", "127.0.0.1:9101", 6, UpstreamCondition::NotReady, instance, startedAt, sequence},
            state, proof);
    }

    void leave(const char *instance) { this->presence.left(this->now, this->unixNow, instance); }

    // Whether departures that were reported until now are confirmed at once.
    bool isConfirmed()
    {
        const auto confirmed = std::make_shared<bool>(false);
        this->record.whenPersisted([confirmed](bool persisted) { *confirmed = persisted; });
        return *confirmed;
    }

    UpstreamRecordHooks recordHooks()
    {
        return {[this](const PersistedUpstream &upstream) {
                    this->loadedCrashes = upstream.crashes;
                    this->presence.persistedStateLoaded(this->now, upstream);
                },
                [](const std::vector<Departure> &) {}, [this](const Error &) { ++this->failures; }};
    }

    boost::asio::io_context context{1};
    Instant now;
    std::uint64_t unixNow = 150; // In milliseconds; instances of a test start before or after it.
    int failures = 0;
    std::vector<CrashRecord> loadedCrashes;
    UpstreamAnnouncement gate; // As the gate was told last.
    UpstreamPresence presence{
        {[](const std::string &) {},
         [this](const UpstreamAnnouncement &announcement) { this->gate = announcement; },
         [](const UpstreamAnnouncement &, UpstreamState) {},
         [this](const Departure &departure) { this->record.recordDeparture(departure); },
         [this](const UpstreamAnnouncement &upstream) { this->record.recordServing(upstream); }}};
    UpstreamRecord record;
};

} // namespace Sagecrank
