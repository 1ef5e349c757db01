// Sends conditional puts, each alone while few are under way, and in shared transactions when many are, so
// that a busy node makes fewer requests and a quiet one waits for nobody. A put is judged by its own
// condition only: one that fails does not take the others of its group down with it. Runs without sockets;
// the owner calls advance() when nextDue() has come.
#pragma once

#include <LibCore/Time.h>
#include <LibSource/Ports.h>

#include <memory>
#include <optional>
#include <vector>

namespace Sagecrank {

struct BatcherSettings
{
    // Load: a burst of keyed calls at one node. Up to here each put goes alone and at once, because a group
    // saves requests but no rows, and the platform meters rows: measured, a window for every claim cost
    // 2 ms at the median and saved nothing at today's rates. Above it the requests themselves are the harm.
    std::size_t requestsBeforeBatching = 16;
    // The longest that a put waits for its group; about one round trip to the table.
    Milliseconds window{2};
    // One bad item cancels a whole transaction, and the larger the group the more often that happens.
    std::size_t maximumBatchSize = 25;
};

struct BatcherCounters
{
    std::uint64_t puts = 0;     // Given to the grouper.
    std::uint64_t requests = 0; // Sent to the table.
    std::uint64_t items = 0;    // Puts within those requests, repeats included.
};

class PutBatcher
{
public:
    PutBatcher(TablePort table, BatcherSettings settings, std::function<Instant()> now);

    // The callback is as that of TablePort::putIf and comes from the table's callback.
    void add(ConditionalPut put, WriteCallback callback);

    void advance();
    std::optional<Instant> nextDue() const;
    const BatcherCounters &counters() const { return this->counts; }

private:
    struct PendingPut
    {
        ConditionalPut put;
        WriteCallback callback;
    };
    using Batch = std::vector<PendingPut>;

    void flush();
    void handleRequestEnd();
    void sendSingle(PendingPut one);
    void sendBatch(Batch batch);
    void completeBatch(Batch &batch, const Result<TransactionResult> &result);
    bool containsKey(const RowKey &key) const;

    const TablePort table;
    const BatcherSettings settings;
    const std::function<Instant()> now;
    Batch pending; // Invariant: no key twice; a transaction may name an item only once.
    Instant due;   // Of the oldest in `waiting`.
    std::size_t requestsInFlight = 0;
    BatcherCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // Callbacks that come later see it gone.
};

} // namespace Sagecrank
