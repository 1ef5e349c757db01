// Background settling of claims: see ClaimFinalizer.h.
#include <LibSource/ClaimFinalizer.h>

#include <algorithm>

namespace Sagecrank {

ClaimSettler::ClaimSettler(TablePort tablePort, PutGrouper &putGrouper, SettlerSettings settlerSettings,
                           std::function<Instant()> nowHook, Settled settledHook)
    : table(std::move(tablePort))
    , grouper(putGrouper)
    , settings(settlerSettings)
    , now(std::move(nowHook))
    , settled(std::move(settledHook))
{
}

bool ClaimSettler::add(const ClaimRow &claim, ConditionalPut put)
{
    if (this->waiting.size() >= this->settings.maximumWaiting) {
        ++this->counts.givenUp;
        return false;
    }
    const Id id = ++this->lastId;
    const Instant givesUpAt = this->now() + this->settings.giveUpAfter;
    this->waiting.emplace(id, Waiting{claim, std::move(put), givesUpAt, this->settings.firstRetry});
    this->send(id);
    return true;
}

void ClaimSettler::advance()
{
    const Instant current = this->now();
    while (!this->retries.empty() && this->retries.begin()->first <= current) {
        const Id id = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        this->send(id);
    }
}

std::optional<Instant> ClaimSettler::nextDue() const
{
    if (this->retries.empty())
        return std::nullopt;
    return this->retries.begin()->first;
}

void ClaimSettler::send(Id id)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    this->grouper.add(found->second.put,
                      [this, id, stillThere = std::weak_ptr(this->alive)](const Result<void> &result) {
                          if (!stillThere.expired())
                              this->answered(id, result);
                      });
}

void ClaimSettler::answered(Id id, const Result<void> &result)
{
    if (result)
        return this->finish(id, true);
    if (result.assume_error().kind == ErrorKind::Conflict)
        return this->readBack(id);
    this->retryLater(id);
}

// The condition failed: either an earlier copy of the put took effect and its answer was lost, or the row is
// another attempt's. Only the row says which.
void ClaimSettler::readBack(Id id)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    this->table.get(found->second.put.row.key, [this, id, stillThere = std::weak_ptr(this->alive)](
                                                   const Result<std::optional<Row>> &row) {
        if (!stillThere.expired())
            this->judge(id, row);
    });
}

void ClaimSettler::judge(Id id, const Result<std::optional<Row>> &row)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    if (!row)
        return this->retryLater(id);
    const std::optional<Row> &standing = row.assume_value();
    if (found->second.put.condition.holdsFor(standing))
        return this->retryLater(id); // It changed between the put and the read.
    this->finish(id, standing == found->second.put.row);
}

void ClaimSettler::retryLater(Id id)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    Waiting &one = found->second;
    const Instant next = this->now() + one.backoff;
    if (next >= one.givesUpAt)
        return this->finish(id, false);
    one.backoff = std::min(one.backoff * 2, this->settings.maximumRetry);
    this->retries.insert({next, id});
}

void ClaimSettler::finish(Id id, bool inTable)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    const std::string key = found->second.claim.key;
    this->waiting.erase(found);
    ++(inTable ? this->counts.settled : this->counts.givenUp);
    this->settled(key, inTable);
}

} // namespace Sagecrank
