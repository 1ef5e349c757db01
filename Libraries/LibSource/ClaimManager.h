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

enum class ClaimVerdict : std::uint8_t {
    Granted,     // The call may start now, and must end with finish, release or leaveUnknown.
    AlreadyDone, // An earlier attempt ran; its outcome comes along.
    InProgress,  // An earlier attempt may be running within its deadline.
    Unknown,     // An earlier attempt may have run; its end was never recorded. Never runs again.
    NotRun,      // This attempt did not run and never will; come back after retryAfter.
};

inline constexpr EnumNames<ClaimVerdict, 5> claimVerdictNames{{
    {ClaimVerdict::Granted, "granted"},
    {ClaimVerdict::AlreadyDone, "already_done"},
    {ClaimVerdict::InProgress, "in_progress"},
    {ClaimVerdict::Unknown, "unknown"},
    {ClaimVerdict::NotRun, "not_run"},
}};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::NotRun;
    RecordedOutcome outcome; // Only for AlreadyDone.
    Duration retryAfter{};   // Positive for InProgress and NotRun.
    std::string reason;      // For logs and the caller's header, such as "claims_table_down".
};

using ClaimCallback = std::function<void(const ClaimAnswer &)>;

struct ClaimSettings
{
    GrouperSettings grouping;
    CircuitSettings circuit;
    SettlerSettings settling;
    // Load: a slow table under many keyed calls. Beyond it a claim is refused at once; at 2,000 claims a
    // second and a table that takes half a second, 1,000 wait.
    std::size_t maximumWaiting = 1024;
    Milliseconds firstRetry{20}; // After a lost answer; doubles up to maximumRetry.
    Milliseconds maximumRetry{500};
    Milliseconds comeBackAfter{200};    // For a refused caller when nothing better is known.
    std::chrono::hours rowLife{7 * 24}; // How long a key is remembered; later attempts would run anew.
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
    GrouperCounters writes;
    SettlerCounters settling;
};

class ClaimKeeper
{
public:
    ClaimKeeper(TablePort table, ClaimSettings settings, ClaimClocks clocks);

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
    std::size_t settlingCount() const { return this->settler.waitingCount(); } // Ends not yet in the table.

private:
    enum class Phase : std::uint8_t { Claiming, Running, Recording, Releasing };

    // What this node knows of a key that it has to do with now.
    struct Entry
    {
        ClaimRow claim;
        Phase phase = Phase::Claiming;
        Instant deadline;
        ClaimCallback callback;              // Only in Claiming.
        std::optional<std::string> previous; // Released attempt that is being taken over.
        bool mayHaveLanded = false;          // A put left whose effect is not known.
        bool underWay = false;               // A request is out; otherwise `retryAt` counts.
        bool readFirst = false;              // The next request reads the row, rather than putting it.
        Instant retryAt;
        Milliseconds backoff{};
        RecordedOutcome outcome; // Only in Recording.
    };
    using Entries = std::map<std::string, Entry>;

    void answerFromHere(const Entry &entry, const ClaimCallback &callback);
    void next(Entry &entry);
    void put(Entry &entry);
    void read(Entry &entry);
    void putAnswered(const std::string &key, const std::string &attempt, const Result<void> &result);
    void readAnswered(const std::string &key, const std::string &attempt,
                      const Result<std::optional<Row>> &result);
    void judge(Entry &entry, const std::optional<Row> &row);
    void judgeOther(Entry &entry, const ClaimRow &standing);
    void confirmed(Entry &entry);
    void retryLater(Entry &entry, bool readFirst);
    void refuse(Entry &entry, const char *reason);
    void end(Entry &entry, const ClaimAnswer &answer);
    void startRelease(Entry &entry);
    void settled(const std::string &key);
    Entry *claiming(const std::string &key, const std::string &attempt);
    Entry *running(const std::string &key, const std::string &attempt);
    ClaimAnswer notRun(const char *reason) const;
    void count(ClaimVerdict verdict);
    void expire(Instant current);

    const TablePort table;
    const ClaimSettings settings;
    const ClaimClocks clocks;
    PutGrouper grouper;
    Circuit circuit;
    Entries entries;
    std::set<std::pair<Instant, std::string>> deadlines; // Of entries in Claiming.
    std::set<std::pair<Instant, std::string>> retries;   // Of entries in Claiming with no request out.
    ClaimSettler settler;
    ClaimCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Sagecrank
