// Brings the end of a claim into the table in the background: the outcome of a call that ran, or the release
// of one that did not. Retries with backoff until the put is known to have taken effect, within bounds of
// number and time. Nobody waits for it; if it never succeeds, the key answers "unknown" from then on.
#pragma once

#include <LibSource/ClaimRow.h>
#include <LibSource/PutBatcher.h>

#include <map>
#include <set>

namespace Sagecrank {

struct FinalizerSettings
{
    // Load: an outage while calls end. Each waiting put holds up to 4 KiB of body, so 1,024 are at most 4 MiB
    // of a node's 32 MB.
    std::size_t maximumWaiting = 1024;
    Milliseconds giveUpAfter{60000}; // Outlives ordinary hiccups; a caller rarely retries later than that.
    Milliseconds firstRetry{50};
    Milliseconds maximumRetry{5000};
};

struct FinalizerCounters
{
    std::uint64_t written = 0;
    std::uint64_t abandoned = 0; // Keys that answer "unknown" though more was known here.
};

class ClaimFinalizer
{
public:
    // Whether the put is in the table, said once per put.
    using FinishedCallback = std::function<void(const std::string &key, bool inTable)>;

    ClaimFinalizer(TablePort table, PutBatcher &batcher, FinalizerSettings settings,
                   std::function<Instant()> now, FinishedCallback onFinished);

    // `claim` names key and attempt; `put` is one of releasePut or recordPut. False when too many wait, which
    // counts as given up.
    bool add(const ClaimRow &claim, ConditionalPut put);

    void advance();
    std::optional<Instant> nextDue() const;
    bool awaitingResponse() const
    {
        return this->pending.size() > this->retries.size();
    } // An answer of the table.
    std::size_t pendingCount() const { return this->pending.size(); }
    const FinalizerCounters &counters() const { return this->counts; }

private:
    using Id = std::uint64_t;

    struct PendingPut
    {
        ClaimRow claim;
        ConditionalPut put;
        Instant giveUpAt;
        Milliseconds backoff;
    };

    void send(Id id);
    void handleResult(Id id, const Result<void> &result);
    void readBack(Id id);
    void handleReadBack(Id id, const Result<std::optional<Row>> &row);
    void retryLater(Id id);
    void finish(Id id, bool inTable);

    const TablePort table;
    PutBatcher &batcher;
    const FinalizerSettings settings;
    const std::function<Instant()> now;
    const FinishedCallback onFinished;
    std::map<Id, PendingPut> pending;         // At most maximumWaiting.
    std::set<std::pair<Instant, Id>> retries; // Those that wait for their next try and are not under way.
    Id lastId = 0;
    FinalizerCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Sagecrank
