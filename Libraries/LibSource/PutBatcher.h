// Sends conditional puts: individually while few requests are in flight, and in shared transactions
// otherwise. A busy node thus sends fewer requests, and an idle one adds no latency. The result of a put
// depends only on its own condition, never on the other puts of its batch. Performs no I/O of its own; the
// owner calls advance() at nextDue().
#pragma once

#include <LibCore/Time.h>
#include <LibSource/Ports.h>

#include <memory>
#include <optional>
#include <vector>

namespace Sagecrank {

struct BatcherSettings
{
    // Below this number of requests in flight, each put is sent individually and immediately. A batch saves
    // requests but not rows, and the platform meters rows; batching every claim cost 2 ms at the median and
    // saved nothing at current rates. In a burst of keyed calls, the number of requests is the problem.
    std::size_t requestsBeforeBatching = 16;
    // The longest that a put waits for its batch; about one round trip to the table.
    Milliseconds window{2};
    // One failed item cancels the whole transaction, which is more likely in larger batches.
    std::size_t maximumBatchSize = 25;
};

struct BatcherCounters
{
    std::uint64_t puts = 0;     // Passed to add().
    std::uint64_t requests = 0; // Sent to the table.
    std::uint64_t items = 0;    // Puts in those requests, including repeats.
};

class PutBatcher
{
public:
    PutBatcher(TablePort table, BatcherSettings settings, std::function<Instant()> now);

    // Reports results like TablePort::putIf; the callback is invoked from a callback of the table.
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
    Batch pending; // Invariant: keys are unique, since a transaction may contain an item only once.
    Instant due;   // When `pending` is sent at the latest.
    std::size_t requestsInFlight = 0;
    BatcherCounters counts;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // Lets callbacks detect destruction.
};

} // namespace Sagecrank
