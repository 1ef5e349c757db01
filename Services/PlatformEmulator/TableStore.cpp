// Queries, conditional writes and transactions.
#include <PlatformEmulator/TableStore.h>

#include <algorithm>

namespace Sagecrank {

const Item *TableStore::find(const ItemKey &key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

QueryPage TableStore::query(const QueryRange &range) const
{
    std::vector<const std::pair<const ItemKey, Item> *> matches;
    for (auto row = this->items.lower_bound({range.partition, range.firstSort});
         row != this->items.end() && row->first.first == range.partition; ++row) {
        if (range.lastSort && row->first.second > *range.lastSort)
            break;
        matches.push_back(&*row);
    }
    if (!range.ascending)
        std::reverse(matches.begin(), matches.end());

    QueryPage page;
    for (const auto *row : matches) {
        const std::string &sort = row->first.second;
        if (range.afterSort && (range.ascending ? sort <= *range.afterSort : sort >= *range.afterSort))
            continue;
        if (range.limit != 0 && page.items.size() == range.limit) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(row->second);
    }
    return page;
}

WriteOutcome TableStore::write(const TableWrite &write)
{
    if (!this->conditionHolds(write))
        return WriteOutcome::ConditionFailed;
    this->apply(write);
    return WriteOutcome::Applied;
}

std::vector<WriteOutcome> TableStore::transact(const std::vector<TableWrite> &writes)
{
    std::vector<WriteOutcome> outcomes;
    bool all = true;
    for (const TableWrite &write : writes) {
        const bool permitted = this->conditionHolds(write);
        outcomes.push_back(permitted ? WriteOutcome::Applied : WriteOutcome::ConditionFailed);
        all = all && permitted;
    }
    if (all) {
        for (const TableWrite &write : writes)
            this->apply(write);
    }
    return outcomes;
}

bool TableStore::conditionHolds(const TableWrite &write) const
{
    return !write.condition || write.condition->isSatisfiedBy(this->find(write.key));
}

void TableStore::apply(const TableWrite &write)
{
    switch (write.kind) {
    case WriteKind::Put:
        this->items[write.key] = write.item;
        break;
    case WriteKind::Delete:
        this->items.erase(write.key);
        break;
    case WriteKind::ConditionCheck:
        break;
    }
}

} // namespace Sagecrank
