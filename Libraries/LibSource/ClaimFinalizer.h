// Brings the end of a claim into the table in the background: the outcome of a call that ran, or the release
// of one that did not. Retries with backoff until the put is known to have taken effect, within bounds of
// number and time. Nobody waits for it; if it never succeeds, the key answers "unknown" from then on.
#pragma once

#include <LibSource/ClaimRow.h>
#include <LibSource/PutBatcher.h>

#include <map>
#include <set>

namespace Sagecrank {

struct SettlerSettings
{
    // Load: an outage while calls end. Each waiting put holds up to 4 KiB of body, so 1,024 are at most 4 MiB
    // of a node's 32 MB.
    std::size_t maximumWaiting = 1024;
    Milliseconds giveUpAfter{60000}; // Outlives ordinary hiccups; a caller rarely retries later than that.
    Milliseconds firstRetry{50};
    Milliseconds maximumRetry{5000};
};

struct SettlerCounters
{
    std::uint64_t settled = 0;
    std::uint64_t givenUp = 0; // Keys that answer "unknown" though more was known here.
};

class ClaimSettler
{
public:
    // Whether the put is in the table, said once per put.
    using Settled = std::function<void(const std::string &key, bool inTable)>;

    ClaimSettler(TablePort table, PutGrouper &grouper, SettlerSettings settings, std::function<Instant()> now,
                 Settled settled);

    // `claim` names key and attempt; `put` is one of releasePut or recordPut. False when too many wait, which
    // counts as given up.
    bool add(const ClaimRow &claim, ConditionalPut put);

    void advance();
    std::optional<Instant> nextDue() const;
    bool awaiting() const { return this->waiting.size() > this->retries.size(); } // An answer of the table.
    std::size_t waitingCount() const { return this->waiting.size(); }
    const SettlerCounters &counters() const { return this->counts; }

private:
    using Id = std::uint64_t;

    struct Waiting
    {
        ClaimRow claim;
        ConditionalPut put;
        Instant givesUpAt;
        Milliseconds backoff;
    };

    void send(Id id);
    void answered(Id id, const Result<void> &result);
    void readBack(Id id);
    void judge(Id id, const Result<std::optional<Row>> &row);
    void retryLater(Id id);
    void finish(Id id, bool inTable);

    const TablePort table;
    PutGrouper &grouper;
    const SettlerSettings settings;
    const std::function<Instant()> now;
    const Settled settled;
    std::map<Id, Waiting> waiting;            // At most maximumWaiting.
    std::set<std::pair<Instant, Id>> retries; // Those that wait for their next try and are not under way.
    Id lastId = 0;
    SettlerCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Sagecrank
