// Implements the background writes of finished claims; see ClaimFinalizer.h.
#include <LibSource/ClaimFinalizer.h>

#include <algorithm>

namespace Sagecrank {

ClaimFinalizer::ClaimFinalizer(TablePort tablePort, PutBatcher &putBatcher,
                               FinalizerSettings finalizerSettings, std::function<Instant()> nowHook,
                               FinishedCallback onFinishedHook)
    : table(std::move(tablePort))
    , batcher(putBatcher)
    , settings(finalizerSettings)
    , now(std::move(nowHook))
    , onFinished(std::move(onFinishedHook))
{
}

bool ClaimFinalizer::add(const ClaimRow &claim, ConditionalPut put)
{
    if (this->pending.size() >= this->settings.maximumWaiting) {
        ++this->counts.abandoned;
        return false;
    }
    const Id id = ++this->lastId;
    const Instant giveUpAt = this->now() + this->settings.giveUpAfter;
    this->pending.emplace(id, PendingPut{claim, std::move(put), giveUpAt, this->settings.firstRetry});
    this->send(id);
    return true;
}

void ClaimFinalizer::advance()
{
    const Instant current = this->now();
    while (!this->retries.empty() && this->retries.begin()->first <= current) {
        const Id id = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        this->send(id);
    }
}

std::optional<Instant> ClaimFinalizer::nextDue() const
{
    if (this->retries.empty())
        return std::nullopt;
    return this->retries.begin()->first;
}

void ClaimFinalizer::send(Id id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    this->batcher.add(found->second.put,
                      [this, id, weakAlive = std::weak_ptr(this->alive)](const Result<void> &result) {
                          if (!weakAlive.expired())
                              this->handleResult(id, result);
                      });
}

void ClaimFinalizer::handleResult(Id id, const Result<void> &result)
{
    if (result)
        return this->finish(id, true);
    if (result.assume_error().kind == ErrorKind::Conflict)
        return this->readBack(id);
    this->retryLater(id);
}

// The condition failed: either an earlier copy of the put took effect and its response was lost, or the row
// belongs to another attempt. Only the row tells which.
void ClaimFinalizer::readBack(Id id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    this->table.get(found->second.put.row.key, [this, id, weakAlive = std::weak_ptr(this->alive)](
                                                   const Result<std::optional<Row>> &row) {
        if (!weakAlive.expired())
            this->handleReadBack(id, row);
    });
}

void ClaimFinalizer::handleReadBack(Id id, const Result<std::optional<Row>> &row)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    if (!row)
        return this->retryLater(id);
    const std::optional<Row> &existing = row.assume_value();
    if (found->second.put.condition.matches(existing))
        return this->retryLater(id); // The row changed between the put and the read.
    this->finish(id, existing == found->second.put.row);
}

void ClaimFinalizer::retryLater(Id id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    PendingPut &pendingPut = found->second;
    const Instant next = this->now() + pendingPut.backoff;
    if (next >= pendingPut.giveUpAt)
        return this->finish(id, false);
    pendingPut.backoff = std::min(pendingPut.backoff * 2, this->settings.maximumRetry);
    this->retries.insert({next, id});
}

void ClaimFinalizer::finish(Id id, bool inTable)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    const std::string key = found->second.claim.key;
    this->pending.erase(found);
    ++(inTable ? this->counts.written : this->counts.abandoned);
    this->onFinished(key, inTable);
}

} // namespace Sagecrank
