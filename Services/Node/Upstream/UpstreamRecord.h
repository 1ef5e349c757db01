// What this node believes of the upstream beside it, kept where it outlives the process: which start serves,
// which start's leaving was confirmed, and what ran when a start crashed. Three rows a node, the first two
// written once a start, the last one at a crash.
//
// Failure: an upstream says that it drains, the node confirms and is killed. The next process knows nothing;
// an announcement of before the drain, held up on its way, says "ready". Symptom: calls reach an upstream
// that was promised to get none and ends in a moment. So nothing is confirmed before a row names the start
// that leaves, and a new process reads that row before it believes a first "ready".
//
// Load: hosts are restarted one after the other, and upstreams announce themselves each second or two. Harm
// of waiting for that word: each restart takes its upstream out for up to two seconds more. A new process
// goes by the row of the start that serves until that start speaks; a call names the start that it is meant
// for, so another one there refuses it.
//
// Failure: the table comes back from an older copy. Symptom: a leaving that was confirmed stands nowhere any
// more, and the next process of the node takes a late word of that start for its upstream's. So the process
// that knows of it writes it again, until it stands.
#pragma once

#include "UpstreamPresence.h"

#include <LibSource/Ports.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

// An upstream takes a confirmation that comes within a second. What is left goes to its way there and back.
inline constexpr Duration departureWriteTimeout = Milliseconds(600);

// Between two reads of a table that does not answer: the first in the time of an announcement, then twice as
// long each time. Load: a fleet that starts while the table is away. Harm of a read a second by each node:
// 6,500 a second for a table that gives 2,000 to everything.
inline constexpr Duration recordRetryDelay = std::chrono::seconds(1);
inline constexpr Duration maximumRecordRetryDelay = std::chrono::seconds(16);

// How old a copy may be from which the table comes back: what was written before stands in it.
inline constexpr Duration maximumBackupAge = std::chrono::minutes(2);

struct UpstreamRecordHooks
{
    // Once, when the table has answered.
    std::function<void(const PersistedUpstream &)> loaded;
    std::function<void(const Departure &)> departurePersisted;
    std::function<void(const Error &)> failed; // A read or a write.
};

// For one io_context that one thread runs.
class UpstreamRecord
{
public:
    UpstreamRecord(boost::asio::io_context &context, TablePort table, std::string node,
                   UpstreamRecordHooks hooks);

    void load(); // Reads the rows, until the table answers.

    // The start that serves now. Nobody waits for its row, and a write that fails is not made again: the row
    // only saves time.
    void recordServing(const UpstreamAnnouncement &announcement);

    // Writes the row of the start that leaves. Saying the same again costs nothing unless the write before it
    // has failed.
    void recordDeparture(const Departure &departure);

    // What ran at a crash of the upstream. Nobody waits for its row; one that could not be written is written
    // with the next word of the upstream.
    void recordCrashes(const std::vector<CrashRecord> &added);
    // The request was answered since: it is not held against it any more. Written with the next word too.
    void removeCrash(std::uint64_t request, std::uint64_t crash);

    // The table has come back from an older copy: writes again what may be lost and is still needed. A
    // leaving at once; the start that serves and the crashes with the upstream's next word, which spreads the
    // writes of a fleet.
    void rewriteAfterRestore(Instant now);

    // Answers whether all that was noted about leaving is kept: at once when no write is on its way, after
    // `departureWriteTimeout` at the latest. What is not kept must not be confirmed; the upstream asks again.
    void whenPersisted(std::function<void(bool kept)> answer);

private:
    void takeRecalled(const PersistedUpstream &found, std::uint32_t returnsBefore);
    void writeLeavingAgain();
    void writeLater();
    bool isOutlived(const Departure &departure) const; // A later start serves, so nobody needs it.
    void write();
    void writeCrashes();
    void written(const Departure &departure, const Result<void> &result, std::uint32_t returnsBefore);
    void release();
    bool isKept() const { return this->noted == this->keptNow; }

    const TablePort table;
    const std::string node;
    const UpstreamRecordHooks hooks;
    boost::asio::steady_timer readTimer;
    Duration nextPause = recordRetryDelay;
    boost::asio::steady_timer waitTimer;
    boost::asio::steady_timer writeTimer;
    Duration nextWritePause = recordRetryDelay;
    std::optional<UpstreamAnnouncement> serving; // As last written.
    CrashHistory crashes;
    bool crashesKept = true;                 // The row says no less.
    std::optional<Instant> servingWrittenAt; // By this process.
    bool servingIsLost = false;              // To be written again with the next word.
    std::optional<Departure> noted;
    std::optional<Departure> keptNow; // What the row is known to say, as far as this process wrote it.
    bool writing = false;
    bool owed = false;                              // What was kept has to be written again.
    std::uint32_t returns = 0;                      // Of the table, from older copies.
    std::vector<std::function<void(bool)>> waiting; // Not empty only while `writing`.
};

} // namespace Sagecrank
