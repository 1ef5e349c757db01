// Conditional transactions, range queries and the change history.
#include <RowsEmulator/RowStore.h>

namespace Sagecrank {

using Platform::QualifiedRow;
using Platform::RowWrite;

QualifiedRow RowStore::currentRow(const RowKey &rowKey) const
{
    QualifiedRow row{rowKey.table, rowKey.part, {}};
    row.row.key = rowKey.key;
    const auto found = this->table.find(rowKey);
    if (found == this->table.end())
        row.row.removed = true;
    else
        row.row = found->second;
    return row;
}

bool RowStore::conditionHolds(const RowWrite &write, const QualifiedRow &current)
{
    if (!write.expectedRevision)
        return true;
    return *write.expectedRevision == (current.row.removed ? 0 : current.row.revision);
}

std::vector<QualifiedRow> RowStore::brokenConditions(const RowWrite &write) const
{
    std::vector<QualifiedRow> broken;
    const QualifiedRow written = this->currentRow({write.table, write.part, write.key});
    if (!conditionHolds(write, written))
        broken.push_back(written);
    for (const Platform::RowCondition &condition : write.conditions) {
        const QualifiedRow row = this->currentRow({condition.table, condition.part, condition.key});
        if (condition.revision != (row.row.removed ? 0 : row.row.revision))
            broken.push_back(row);
    }
    return broken;
}

std::optional<std::vector<QualifiedRow>> RowStore::apply(const std::vector<RowWrite> &writes)
{
    std::vector<QualifiedRow> conflicts;
    for (const RowWrite &write : writes) {
        const std::vector<QualifiedRow> broken = this->brokenConditions(write);
        conflicts.insert(conflicts.end(), broken.begin(), broken.end());
    }
    if (!conflicts.empty())
        return conflicts;
    ++this->revision;
    for (const RowWrite &write : writes) {
        const RowKey rowKey{write.table, write.part, write.key};
        if (write.remove)
            this->table.erase(rowKey);
        else
            this->table[rowKey] = {write.key, write.value, this->revision, false};
        this->history.push_back({this->revision, rowKey, write.remove});
    }
    return std::nullopt;
}

void RowStore::dropHistory()
{
    this->history.clear();
    this->historyStart = this->revision;
}

std::vector<QualifiedRow> RowStore::rows(const Platform::RowsRange &range) const
{
    std::vector<QualifiedRow> found;
    for (auto entry = this->table.lower_bound({range.table, range.part, range.from});
         entry != this->table.end() && found.size() < range.limit; ++entry) {
        const RowKey &rowKey = entry->first;
        if (rowKey.table != range.table || rowKey.part != range.part
            || (!range.to.empty() && rowKey.key >= range.to))
            break;
        found.push_back({rowKey.table, rowKey.part, entry->second});
    }
    return found;
}

std::optional<std::vector<QualifiedRow>> RowStore::changesAfter(const std::string &table,
                                                                std::uint64_t after) const
{
    if (after < this->historyStart || after > this->revision)
        return std::nullopt;
    std::vector<QualifiedRow> changes;
    for (const Change &change : this->history) {
        if (change.revision <= after || change.rowKey.table != table)
            continue;
        QualifiedRow row = this->currentRow(change.rowKey);
        row.row.revision = change.revision;
        changes.push_back(std::move(row));
    }
    return changes;
}

} // namespace Sagecrank
