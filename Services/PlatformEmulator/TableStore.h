// An in-memory table with two-part keys, conditional writes and atomic transactions. It uses neither sockets
// nor clocks. It is used from one thread, so all operations are serializable.
#pragma once

#include <PlatformEmulator/Condition.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Sagecrank {

using ItemKey = std::pair<std::string, std::string>; // Partition key, sort key.

enum class WriteKind { Put, Delete, ConditionCheck };

struct TableWrite
{
    WriteKind kind = WriteKind::Put;
    ItemKey key;
    Item item;                          // Only for Put; includes the key attributes.
    std::optional<Condition> condition; // Evaluated against the item before the write.
};

enum class WriteOutcome { Applied, ConditionFailed };

struct QueryRange
{
    std::string partition;
    std::string firstSort;                // Inclusive; empty means from the start.
    std::optional<std::string> lastSort;  // Inclusive; none means to the end.
    std::optional<std::string> afterSort; // Exclusive start of the page, in reading order.
    bool ascending = true;
    std::size_t limit = 0; // Zero means no limit.
};

struct QueryPage
{
    std::vector<Item> items;
    bool hasMore = false; // The limit was reached before the end of the range.
};

class TableStore
{
public:
    // The returned pointer is valid until the next write; null if there is no such item.
    const Item *find(const ItemKey &key) const;
    QueryPage query(const QueryRange &range) const;
    std::size_t size() const { return this->items.size(); }

    WriteOutcome write(const TableWrite &write);
    // Returns one outcome per write. The writes are applied only if every outcome is Applied.
    std::vector<WriteOutcome> transact(const std::vector<TableWrite> &writes);

private:
    bool conditionHolds(const TableWrite &write) const;
    void apply(const TableWrite &write);

    std::map<ItemKey, Item> items;
};

} // namespace Sagecrank
