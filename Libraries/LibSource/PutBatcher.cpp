// Implements batching of conditional puts; see PutBatcher.h.
#include <LibSource/PutBatcher.h>

#include <algorithm>

namespace Sagecrank {

PutBatcher::PutBatcher(TablePort tablePort, BatcherSettings batcherSettings, std::function<Instant()> nowHook)
    : table(std::move(tablePort))
    , settings(batcherSettings)
    , now(std::move(nowHook))
{
}

void PutBatcher::add(ConditionalPut put, WriteCallback callback)
{
    ++this->counts.puts;
    if (this->containsKey(put.row.key))
        this->flush();
    if (this->pending.empty())
        this->due = this->now() + this->settings.window;
    this->pending.push_back({std::move(put), std::move(callback)});
    const bool few = this->requestsInFlight < this->settings.requestsBeforeBatching;
    if (few || this->pending.size() >= this->settings.maximumBatchSize)
        this->flush();
}

void PutBatcher::advance()
{
    if (!this->pending.empty() && this->now() >= this->due)
        this->flush();
}

std::optional<Instant> PutBatcher::nextDue() const
{
    if (this->pending.empty())
        return std::nullopt;
    return this->due;
}

void PutBatcher::flush()
{
    Batch batch = std::move(this->pending);
    this->pending.clear();
    if (batch.size() == 1)
        this->sendSingle(std::move(batch.front()));
    else
        this->sendBatch(std::move(batch));
}

void PutBatcher::sendSingle(PendingPut one)
{
    ++this->counts.requests;
    ++this->counts.items;
    ++this->requestsInFlight;
    this->table.putIf(one.put, [this, callback = std::move(one.callback),
                                weakAlive = std::weak_ptr(this->alive)](Result<void> result) {
        if (weakAlive.expired())
            return;
        this->handleRequestEnd();
        callback(std::move(result));
    });
}

void PutBatcher::handleRequestEnd()
{
    --this->requestsInFlight;
    if (!this->pending.empty() && this->requestsInFlight < this->settings.requestsBeforeBatching)
        this->flush();
}

void PutBatcher::sendBatch(Batch batch)
{
    ++this->counts.requests;
    ++this->requestsInFlight;
    this->counts.items += batch.size();
    std::vector<ConditionalPut> puts;
    puts.reserve(batch.size());
    for (const PendingPut &one : batch)
        puts.push_back(one.put);
    const auto shared = std::make_shared<Batch>(std::move(batch));
    this->table.transact(puts, [this, shared, weakAlive = std::weak_ptr(this->alive)](
                                   const Result<TransactionResult> &result) {
        if (weakAlive.expired())
            return;
        this->handleRequestEnd();
        this->completeBatch(*shared, result);
    });
}

// A put whose condition fails cancels the transaction for the whole batch. The others are sent again
// individually, so that no other put can cancel them.
void PutBatcher::completeBatch(Batch &batch, const Result<TransactionResult> &result)
{
    const std::weak_ptr weakAlive = this->alive;
    for (std::size_t i = 0; i < batch.size(); ++i) {
        if (weakAlive.expired())
            return;
        PendingPut &one = batch[i];
        if (!result)
            one.callback(result.assume_error());
        else if (result.assume_value()[i] == PutOutcome::Applied)
            one.callback(success());
        else if (result.assume_value()[i] == PutOutcome::NotApplied)
            this->sendSingle(std::move(one));
        else
            one.callback(
                makeError(ErrorKind::Conflict, "put row", one.put.row.key.partition, "condition failed"));
    }
}

bool PutBatcher::containsKey(const RowKey &key) const
{
    return std::any_of(this->pending.begin(), this->pending.end(),
                       [&](const PendingPut &one) { return one.put.row.key == key; });
}

} // namespace Sagecrank
