// At most once per idempotency key, across attempts through any node. An attempt claims its key in the
// platform's table before its call leaves the gate. The first claim that takes effect wins for good; nothing
// ever takes it from a holder that may have run, so a paused or dead holder cannot lead to a second run.
//
// Runs without sockets. One thread uses it, and the same thread runs the table's callbacks; the owner calls
// advance() when nextWake() has come. The table must not call back from inside a call of its port.
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
    Granted,     // The call may start now, and must end with finish, release or leaveUnknown.
    AlreadyDone, // An earlier attempt ran; its outcome comes along.
    InProgress,  // An earlier attempt may be running within its deadline.
    Unknown,     // An earlier attempt may have run; its end was never recorded. Never runs again.
    NotRun,      // This attempt did not run and never will; come back after retryAfter.
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
    std::string reason;      // For logs and the caller's header, such as "claims_table_down".
};

using ClaimCallback = std::function<void(const ClaimResponse &)>;

struct ClaimSettings
{
    BatcherSettings batching;
    CircuitBreakerSettings circuit;
    FinalizerSettings finalizing;
    // Load: a slow table under many keyed calls. Beyond it a claim is refused at once; at 2,000 claims a
    // second and a table that takes half a second, 1,000 wait.
    std::size_t maximumWaiting = 1024;
    Milliseconds firstRetry{20}; // After a lost answer; doubles up to maximumRetry.
    Milliseconds maximumRetry{500};
    Milliseconds defaultRetryAfter{200};    // For a refused caller when nothing better is known.
    std::chrono::hours rowLifetime{7 * 24}; // How long a key is remembered; later attempts would run anew.
};

struct ClaimClocks
{
    std::function<Instant()> now;
    std::function<std::uint64_t()> wallMilliseconds; // Since 1970. Labels and row expiry only, never order.
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

    // `attempt` is unique among all attempts of all nodes. The callback is called once: at once when the
    // answer is known here, otherwise from the table's callback or from advance(), and by the deadline.
    void claim(const std::string &key, const std::string &attempt, Instant deadline, ClaimCallback callback);

    // The ends of a granted claim; others are ignored.
    void finish(const std::string &key, const std::string &attempt, RecordedOutcome outcome);
    void release(const std::string &key, const std::string &attempt); // It provably did not run.
    void leaveUnknown(const std::string &key, const std::string &attempt);

    void advance();
    std::optional<Instant> nextWake() const;

    ClaimCounters counters() const;
    std::size_t pendingFinalizations() const
    {
        return this->finalizer.pendingCount();
    } // Ends not yet in the table.

private:
    enum class Phase : std::uint8_t { Claiming, Running, Recording, Releasing };

    // What this node knows of a key that it has to do with now.
    struct Entry
    {
        ClaimRow claim;
        Phase phase = Phase::Claiming;
        Instant deadline;
        ClaimCallback callback;                     // Only in Claiming.
        std::optional<std::string> previousAttempt; // Released attempt that is being taken over.
        bool mayHaveTakenEffect = false;            // A put left whose effect is not known.
        bool inFlight = false;                      // A request is out; otherwise `retryAt` counts.
        bool readFirst = false;                     // The next request reads the row, rather than putting it.
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
    void complete(Entry &entry, const ClaimResponse &answer);
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
    CircuitBreaker circuit;
    Entries entries;
    std::set<std::pair<Instant, std::string>> deadlines; // Of entries in Claiming.
    std::set<std::pair<Instant, std::string>> retries;   // Of entries in Claiming with no request out.
    ClaimFinalizer finalizer;
    ClaimCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Sagecrank
