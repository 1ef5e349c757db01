// Writes the end of a claim to the table in the background: the outcome of a call that ran, or the release of
// one that did not. Retries with backoff until the put is known to have taken effect, up to a limit of
// pending puts and of time. Nothing waits for it; if it never succeeds, the key answers "unknown" from then
// on.
#pragma once

#include <LibSource/ClaimRow.h>
#include <LibSource/PutBatcher.h>

#include <map>
#include <set>

namespace Sagecrank {

struct FinalizerSettings
{
    // Limits memory when calls end during an outage. Each pending put holds up to 4 KiB of body, so 1,024 use
    // at most 4 MiB of a node's 32 MB.
    std::size_t maximumWaiting = 1024;
    Milliseconds giveUpAfter{60000}; // Longer than usual disruptions; callers rarely retry later than this.
    Milliseconds firstRetry{50};
    Milliseconds maximumRetry{5000};
};

struct FinalizerCounters
{
    std::uint64_t written = 0;
    std::uint64_t abandoned = 0; // Keys that answer "unknown" although this node knew the result.
};

class ClaimFinalizer
{
public:
    // Invoked once per put; `inTable` tells whether the put took effect.
    using FinishedCallback = std::function<void(const std::string &key, bool inTable)>;

    ClaimFinalizer(TablePort table, PutBatcher &batcher, FinalizerSettings settings,
                   std::function<Instant()> now, FinishedCallback onFinished);

    // `claim` provides key and attempt; `put` comes from releasePut() or recordPut(). Returns false if too
    // many puts are pending, which counts as abandoned.
    bool add(const ClaimRow &claim, ConditionalPut put);

    void advance();
    std::optional<Instant> nextDue() const;
    bool awaitingResponse() const { return this->pending.size() > this->retries.size(); }
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
    std::set<std::pair<Instant, Id>> retries; // Puts without a request in flight, by time of retry.
    Id lastId = 0;
    FinalizerCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Sagecrank
