// Transactions, ranges and history.
#include <RowsEmulator/RowStore.h>

namespace Sagecrank {

using Platform::QualifiedRow;
using Platform::RowWrite;

QualifiedRow RowStore::named(const Name &name) const
{
    QualifiedRow row{name.table, name.part, {}};
    row.row.key = name.key;
    const auto found = this->table.find(name);
    if (found == this->table.end())
        row.row.removed = true;
    else
        row.row = found->second;
    return row;
}

bool RowStore::holds(const RowWrite &write, const QualifiedRow &standing)
{
    if (!write.expectedRevision)
        return true;
    return *write.expectedRevision == (standing.row.removed ? 0 : standing.row.revision);
}

std::optional<std::vector<QualifiedRow>> RowStore::apply(const std::vector<RowWrite> &writes)
{
    std::vector<QualifiedRow> refused;
    for (const RowWrite &write : writes) {
        const QualifiedRow standing = this->named({write.table, write.part, write.key});
        if (!holds(write, standing))
            refused.push_back(standing);
    }
    if (!refused.empty())
        return refused;
    ++this->revision;
    for (const RowWrite &write : writes) {
        const Name name{write.table, write.part, write.key};
        if (write.remove)
            this->table.erase(name);
        else
            this->table[name] = {write.key, write.value, this->revision, false};
        this->history.push_back({this->revision, name, write.remove});
    }
    return std::nullopt;
}

void RowStore::dropHistory()
{
    this->history.clear();
    this->historyFrom = this->revision;
}

std::vector<QualifiedRow> RowStore::rows(const Platform::RowsRange &range) const
{
    std::vector<QualifiedRow> found;
    for (auto entry = this->table.lower_bound({range.table, range.part, range.from});
         entry != this->table.end() && found.size() < range.limit; ++entry) {
        const Name &name = entry->first;
        if (name.table != range.table || name.part != range.part
            || (!range.to.empty() && name.key >= range.to))
            break;
        found.push_back({name.table, name.part, entry->second});
    }
    return found;
}

std::optional<std::vector<QualifiedRow>> RowStore::changesAfter(const std::string &table,
                                                                std::uint64_t after) const
{
    if (after < this->historyFrom || after > this->revision)
        return std::nullopt;
    std::vector<QualifiedRow> changes;
    for (const Change &change : this->history) {
        if (change.revision <= after || change.name.table != table)
            continue;
        QualifiedRow row = this->named(change.name);
        row.row.revision = change.revision;
        changes.push_back(std::move(row));
    }
    return changes;
}

} // namespace Sagecrank
