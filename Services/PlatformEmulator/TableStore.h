// The table of the platform's transactional service, in memory: items under two-part keys, conditions, and
// transactions that apply as a whole or not at all. It has no sockets and no clock; one thread uses it, so
// every operation is serializable.
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
    Item item;                          // Only for Put; holds the key's attributes too.
    std::optional<Condition> condition; // Judged against the item as it stands before the write.
};

enum class WriteOutcome { Applied, ConditionFailed };

struct QueryRange
{
    std::string partition;
    std::string firstSort;                // Inclusive; empty means from the start.
    std::optional<std::string> lastSort;  // Inclusive; none means to the end.
    std::optional<std::string> afterSort; // Exclusive start of the next page, in the direction of reading.
    bool ascending = true;
    std::size_t limit = 0; // Zero means no limit.
};

struct QueryPage
{
    std::vector<Item> items;
    bool hasMore = false; // The limit cut the page short.
};

class TableStore
{
public:
    // Returned pointers hold until the next write.
    const Item *find(const ItemKey &key) const;
    QueryPage query(const QueryRange &range) const;
    std::size_t size() const { return this->items.size(); }

    WriteOutcome write(const TableWrite &write);
    // One outcome per write; the writes were applied only if every one says Applied.
    std::vector<WriteOutcome> transact(const std::vector<TableWrite> &writes);

private:
    bool conditionHolds(const TableWrite &write) const;
    void apply(const TableWrite &write);

    std::map<ItemKey, Item> items;
};

} // namespace Sagecrank
