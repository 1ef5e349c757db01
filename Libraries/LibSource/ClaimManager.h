// Runs a call at most once per idempotency key, across attempts through any node. An attempt claims its key
// in the platform's table before its call is sent to an upstream. The first claim to take effect wins
// permanently. It is never taken from an attempt that may have run, so a paused or crashed process cannot
// cause a second run.
//
// Performs no I/O of its own. Must be used from a single thread, which also runs the table's callbacks. The
// owner calls advance() at nextWake(). The table must not invoke a callback from within a call to its port.
#pragma once

#include <LibSource/CircuitBreaker.h>
#include <LibSource/ClaimFinalizer.h>
#include <LibSource/ClaimRow.h>
#include <LibSource/PutBatcher.h>

#include <map>
#include <set>
#include <string>

namespace Sagecrank {

enum class ClaimDecision : std::uint8_t {
    Granted,     // The call may start and must end with finish(), release() or leaveUnknown().
    AlreadyDone, // An earlier attempt ran; its outcome is included.
    InProgress,  // An earlier attempt may be running and its deadline has not passed.
    Unknown,     // An earlier attempt may have run, but no result was recorded. The key never runs again.
    NotRun,      // This attempt did not run and never will. Retry after retryAfter.
};

inline constexpr EnumNames<ClaimDecision, 5> claimDecisionNames{{
    {ClaimDecision::Granted, "granted"},
    {ClaimDecision::AlreadyDone, "already_done"},
    {ClaimDecision::InProgress, "in_progress"},
    {ClaimDecision::Unknown, "unknown"},
    {ClaimDecision::NotRun, "not_run"},
}};

struct ClaimResponse
{
    ClaimDecision decision = ClaimDecision::NotRun;
    RecordedOutcome outcome; // Only for AlreadyDone.
    Duration retryAfter{};   // Positive for InProgress and NotRun.
    std::string reason;      // For logs and the response header, such as "claims_table_down".
};

using ClaimCallback = std::function<void(const ClaimResponse &)>;

struct ClaimSettings
{
    BatcherSettings batching;
    CircuitBreakerSettings circuitBreaker;
    FinalizerSettings finalizing;
    // Limits pending claims while the table is slow; further claims are rejected immediately. At 2,000 claims
    // per second and a table latency of half a second, 1,000 are pending.
    std::size_t maximumWaiting = 1024;
    Milliseconds firstRetry{20}; // After a lost response; doubles up to maximumRetry.
    Milliseconds maximumRetry{500};
    Milliseconds defaultRetryAfter{200};    // Sent to rejected callers when there is no better estimate.
    std::chrono::hours rowLifetime{7 * 24}; // After this, a key is forgotten and may run again.
};

struct ClaimClocks
{
    std::function<Instant()> now;
    // Unix time; only for labels and row expiry, never for ordering.
    std::function<std::uint64_t()> wallMilliseconds;
};

struct ClaimCounters
{
    std::uint64_t claims = 0;
    std::uint64_t granted = 0;
    std::uint64_t alreadyDone = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    BatcherCounters writes;
    FinalizerCounters finalizing;
};

class ClaimManager
{
public:
    ClaimManager(TablePort table, ClaimSettings settings, ClaimClocks clocks);

    // `attempt` must be unique across all attempts of all nodes. The callback is invoked exactly once and no
    // later than the deadline: immediately if the result is known locally, otherwise from a table callback or
    // from advance().
    void claim(const std::string &key, const std::string &attempt, Instant deadline, ClaimCallback callback);

    // These end a granted claim. Calls for any other attempt are ignored.
    void finish(const std::string &key, const std::string &attempt, RecordedOutcome outcome);
    void release(const std::string &key, const std::string &attempt); // The call provably did not run.
    void leaveUnknown(const std::string &key, const std::string &attempt);

    void advance();
    std::optional<Instant> nextWake() const;

    ClaimCounters counters() const;
    // Outcomes and releases that are not yet in the table.
    std::size_t pendingFinalizations() const { return this->finalizer.pendingCount(); }

private:
    enum class Phase : std::uint8_t { Claiming, Running, Recording, Releasing };

    // Local state of a key with a claim that has not ended.
    struct Entry
    {
        ClaimRow claim;
        Phase phase = Phase::Claiming;
        Instant deadline;
        ClaimCallback callback;                     // Only in Claiming.
        std::optional<std::string> previousAttempt; // Released attempt that is being taken over.
        bool mayHaveTakenEffect = false;            // A put was sent whose effect is unknown.
        bool inFlight = false;                      // A request is pending; otherwise `retryAt` applies.
        bool readFirst = false;                     // The next request reads the row instead of putting it.
        Instant retryAt;
        Milliseconds backoff{};
        RecordedOutcome outcome; // Only in Recording.
    };
    using Entries = std::map<std::string, Entry>;

    void respondLocally(const Entry &entry, const ClaimCallback &callback);
    void sendRequest(Entry &entry);
    void sendPut(Entry &entry);
    void sendRead(Entry &entry);
    void handlePutResult(const std::string &key, const std::string &attempt, const Result<void> &result);
    void handleReadResult(const std::string &key, const std::string &attempt,
                          const Result<std::optional<Row>> &result);
    void resolveFromRow(Entry &entry, const std::optional<Row> &row);
    void resolveOtherAttempt(Entry &entry, const ClaimRow &existing);
    void grant(Entry &entry);
    void retryLater(Entry &entry, bool readFirst);
    void refuse(Entry &entry, const char *reason);
    void complete(Entry &entry, const ClaimResponse &response);
    void startRelease(Entry &entry);
    void eraseEntry(const std::string &key);
    Entry *findClaiming(const std::string &key, const std::string &attempt);
    Entry *findRunning(const std::string &key, const std::string &attempt);
    ClaimResponse notRunResponse(const char *reason) const;
    void countDecision(ClaimDecision decision);
    void expireDeadlines(Instant current);

    const TablePort table;
    const ClaimSettings settings;
    const ClaimClocks clocks;
    PutBatcher batcher;
    CircuitBreaker circuitBreaker;
    Entries entries;
    std::set<std::pair<Instant, std::string>> deadlines; // Of entries in Claiming.
    std::set<std::pair<Instant, std::string>> retries;   // Of entries in Claiming with no pending request.
    ClaimFinalizer finalizer;
    ClaimCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Sagecrank
