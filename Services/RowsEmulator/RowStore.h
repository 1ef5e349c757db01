// In-memory rows with a store-wide revision counter and a change history, like the users' platform. Uses
// neither sockets nor clocks. A copy of a RowStore serves as a snapshot to restore from.
#pragma once

#include <platform/RowsProtocol.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Sagecrank {

class RowStore
{
public:
    // Applies all of the writes or none. Returns nullopt if they were applied, otherwise the rows whose
    // expected revision did not match.
    std::optional<std::vector<Platform::QualifiedRow>> apply(const std::vector<Platform::RowWrite> &writes);
    void dropHistory();

    std::vector<Platform::QualifiedRow> rows(const Platform::RowsRange &range) const;
    // Returns nullopt if the history since `revision` was dropped, or `revision` is not reached yet.
    std::optional<std::vector<Platform::QualifiedRow>> changesAfter(const std::string &table,
                                                                    std::uint64_t revision) const;
    std::uint64_t newestRevision() const { return this->revision; }

private:
    struct RowKey
    {
        std::string table;
        std::string part;
        std::string key;

        bool operator<(const RowKey &other) const
        {
            return std::tie(this->table, this->part, this->key)
                   < std::tie(other.table, other.part, other.key);
        }
    };

    struct Change
    {
        std::uint64_t revision = 0;
        RowKey rowKey;
        bool removed = false;
    };

    Platform::QualifiedRow currentRow(const RowKey &rowKey) const;
    static bool conditionHolds(const Platform::RowWrite &write, const Platform::QualifiedRow &current);
    std::vector<Platform::QualifiedRow> brokenConditions(const Platform::RowWrite &write) const;

    std::map<RowKey, Platform::StoredRow> table;
    std::deque<Change> history; // In ascending order of revision.
    std::uint64_t revision = 0;
    std::uint64_t historyStart = 0; // Changes up to this revision were dropped.
};

} // namespace Sagecrank
