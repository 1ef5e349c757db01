// Persists the state of the upstream beside this node across restarts of the node: which instance serves,
// which departures were confirmed, and which requests ran when an instance crashed. Three rows for each node;
// the first two are written once for each instance, the last one at a crash.
//
// A departure is persisted before it is confirmed, and a new process reads that row before it trusts
// announcements that may have been delayed. Otherwise, when a node confirms a drain and is killed, a delayed
// "ready" from before the drain would make its next process send calls to an upstream that was promised none
// and is about to end. The row holds the departures of several instances, and no process writes it before it
// has read it: the departure that it would drop may be that of an instance that still runs.
//
// Upstreams announce themselves every one or two seconds. Waiting for that after a restart of the node would
// take its upstream out for up to two more seconds, which adds up when hosts are restarted one after the
// other. So a new process uses the row of the serving instance until that instance announces itself. A call
// names the instance that it is meant for, so another instance at the address refuses it.
//
// When the table is restored from an older copy, a confirmed departure may be lost, and the next process
// would accept a delayed announcement of that instance. So the process that knows of the departure rewrites
// it until the write succeeds.
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

// An upstream waits one second for a confirmation; the rest of it is for the network round trip.
inline constexpr Duration departureWriteTimeout = Milliseconds(600);

// Retry delay while the table does not answer: first the interval of an announcement, then doubled each time.
// When a fleet of 6,500 nodes starts while the table is unavailable, a fixed second would make 6,500 reads a
// second of a table that allows 2,000 in total.
inline constexpr Duration recordRetryDelay = std::chrono::seconds(1);
inline constexpr Duration maximumRecordRetryDelay = std::chrono::seconds(16);

// The maximum age of a copy from which the table is restored; older writes are in it.
inline constexpr Duration maximumBackupAge = std::chrono::minutes(2);

struct UpstreamRecordHooks
{
    // Called once, when the table has answered.
    std::function<void(const PersistedUpstream &)> loaded;
    std::function<void(const std::vector<Departure> &)> departuresPersisted;
    std::function<void(const Error &)> failed; // A read or a write failed.
};

// Used on the single thread that runs the io_context.
class UpstreamRecord
{
public:
    UpstreamRecord(boost::asio::io_context &context, TablePort table, std::string node,
                   UpstreamRecordHooks hooks);

    void load(); // Reads the rows; retries until the table answers.

    // Writes the row of the serving instance. A failed write is not retried, since the row only speeds up a
    // restart. Drops a departure that was reported for its name by an earlier instance.
    void recordServing(const UpstreamAnnouncement &announcement);

    // Writes the row of departures. Does nothing if this one is already persisted.
    void recordDeparture(const Departure &departure);

    // Records the requests that ran at a crash of the upstream. A failed write is retried at the upstream's
    // next announcement.
    void recordCrashes(const std::vector<CrashRecord> &added);
    // The request was answered since, so the crash no longer counts against it. Written at the next
    // announcement.
    void removeCrash(std::uint64_t request, std::uint64_t crash);

    // The table was restored from an older copy: rewrites what may be lost and is still needed. A departure
    // is rewritten at once; the serving instance and the crashes at the upstream's next announcement, which
    // spreads the writes of a fleet.
    void rewriteAfterRestore(Instant now);

    // Reports whether the recorded departures are persisted: at once if no read or write is in progress that
    // decides it, and after `departureWriteTimeout` at the latest. A departure that is not persisted must not
    // be confirmed; the upstream asks again.
    void whenPersisted(std::function<void(bool persisted)> answer);

private:
    void applyLoaded(const PersistedUpstream &read, std::uint32_t restoresBefore);
    void readFailed(const Error &error);
    void scheduleRead(Duration delay);
    void rewriteDepartures();
    void scheduleRewrite();
    // A later instance serves, so the departure is no longer needed.
    bool isSuperseded(const Departure &departure) const;
    void writeDepartures();
    void writeCrashes();
    void departuresWritten(const std::vector<Departure> &written, const Result<void> &result,
                           std::uint32_t restoresBefore);
    void answerWaiting();
    bool isPersisted() const;

    const TablePort table;
    const std::string node;
    const UpstreamRecordHooks hooks;
    boost::asio::steady_timer readTimer;
    Duration nextReadDelay = recordRetryDelay;
    boost::asio::steady_timer waitTimer;
    boost::asio::steady_timer writeTimer;
    Duration nextWriteDelay = recordRetryDelay;
    std::optional<UpstreamAnnouncement> serving; // As last written.
    CrashHistory crashes;
    bool crashesPersisted = true;            // Whether the row holds all of `crashes`.
    std::optional<Instant> servingWrittenAt; // By this process.
    bool servingNeedsRewrite = false;        // Rewritten at the next announcement.
    bool loaded = false;                     // Nothing is written to the row of departures before.
    Departures departures;
    std::optional<std::vector<Departure>> persistedDepartures; // The content of the row, if it is known.
    bool writing = false;
    bool rewritePending = false;    // Persisted departures may be lost and must be rewritten.
    std::uint32_t restoreCount = 0; // How often the table was restored from an older copy.
    std::vector<std::function<void(bool)>> waiting;
};

} // namespace Sagecrank
