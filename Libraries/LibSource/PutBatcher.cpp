// Grouping of puts: see PutBatcher.h.
#include <LibSource/PutBatcher.h>

#include <algorithm>

namespace Sagecrank {

PutGrouper::PutGrouper(TablePort tablePort, GrouperSettings grouperSettings, std::function<Instant()> nowHook)
    : table(std::move(tablePort))
    , settings(grouperSettings)
    , now(std::move(nowHook))
{
}

void PutGrouper::add(ConditionalPut put, WriteCallback callback)
{
    ++this->counts.puts;
    if (this->holds(put.row.key))
        this->send();
    if (this->waiting.empty())
        this->due = this->now() + this->settings.window;
    this->waiting.push_back({std::move(put), std::move(callback)});
    const bool few = this->requestsOut < this->settings.requestsBeforeGrouping;
    if (few || this->waiting.size() >= this->settings.maximumGroup)
        this->send();
}

void PutGrouper::advance()
{
    if (!this->waiting.empty() && this->now() >= this->due)
        this->send();
}

std::optional<Instant> PutGrouper::nextDue() const
{
    if (this->waiting.empty())
        return std::nullopt;
    return this->due;
}

void PutGrouper::send()
{
    Group group = std::move(this->waiting);
    this->waiting.clear();
    if (group.size() == 1)
        this->sendAlone(std::move(group.front()));
    else
        this->sendTogether(std::move(group));
}

void PutGrouper::sendAlone(Waiting one)
{
    ++this->counts.requests;
    ++this->counts.items;
    ++this->requestsOut;
    this->table.putIf(one.put, [this, callback = std::move(one.callback),
                                stillThere = std::weak_ptr(this->alive)](Result<void> result) {
        if (stillThere.expired())
            return;
        this->requestEnded();
        callback(std::move(result));
    });
}

void PutGrouper::requestEnded()
{
    --this->requestsOut;
    if (!this->waiting.empty() && this->requestsOut < this->settings.requestsBeforeGrouping)
        this->send();
}

void PutGrouper::sendTogether(Group group)
{
    ++this->counts.requests;
    ++this->requestsOut;
    this->counts.items += group.size();
    std::vector<ConditionalPut> puts;
    puts.reserve(group.size());
    for (const Waiting &one : group)
        puts.push_back(one.put);
    const auto shared = std::make_shared<Group>(std::move(group));
    this->table.transact(puts, [this, shared, stillThere = std::weak_ptr(this->alive)](
                                   const Result<TransactionResult> &result) {
        if (stillThere.expired())
            return;
        this->requestEnded();
        this->settle(*shared, result);
    });
}

// One claim whose key is taken cancels the transaction of its neighbours. They did nothing wrong and are sent
// again alone, where no other put can cancel them.
void PutGrouper::settle(Group &group, const Result<TransactionResult> &result)
{
    const std::weak_ptr stillThere = this->alive;
    for (std::size_t i = 0; i < group.size(); ++i) {
        if (stillThere.expired())
            return;
        Waiting &one = group[i];
        if (!result)
            one.callback(result.assume_error());
        else if (result.assume_value()[i] == PutVerdict::Applied)
            one.callback(success());
        else if (result.assume_value()[i] == PutVerdict::NotApplied)
            this->sendAlone(std::move(one));
        else
            one.callback(
                makeError(ErrorKind::Conflict, "put row", one.put.row.key.partition, "condition failed"));
    }
}

bool PutGrouper::holds(const RowKey &key) const
{
    return std::any_of(this->waiting.begin(), this->waiting.end(),
                       [&](const Waiting &one) { return one.put.row.key == key; });
}

} // namespace Sagecrank
