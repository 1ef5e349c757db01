// Rows in memory with one counter of revisions and a history of changes, as the users' platform keeps them.
// Without sockets or clocks. A copy of it is what the platform may come back from.
#pragma once

#include <platform/RowsProtocol.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

class RowStore
{
public:
    // Commands.

    // All of the writes or none. Nothing: they took effect; else the rows whose condition did not hold.
    std::optional<std::vector<Platform::QualifiedRow>> apply(const std::vector<Platform::RowWrite> &writes);
    void dropHistory();

    // Queries.
    std::vector<Platform::QualifiedRow> rows(const Platform::RowsRange &range) const;
    // Nothing when the history since then is gone, or has not been yet.
    std::optional<std::vector<Platform::QualifiedRow>> changesAfter(const std::string &table,
                                                                    std::uint64_t revision) const;
    std::uint64_t newestRevision() const { return this->revision; }

private:
    struct RowKey
    {
        std::string table;
        std::string part;
        std::string key;

        auto operator<=>(const RowKey &) const = default;
    };

    struct Change
    {
        std::uint64_t revision = 0;
        RowKey rowKey;
        bool removed = false;
    };

    Platform::QualifiedRow currentRow(const RowKey &rowKey) const;
    static bool conditionHolds(const Platform::RowWrite &write, const Platform::QualifiedRow &current);

    std::map<RowKey, Platform::StoredRow> table;
    std::deque<Change> history; // In order of revisions.
    std::uint64_t revision = 0;
    std::uint64_t historyStart = 0; // Changes up to this revision are forgotten.
};

} // namespace Sagecrank
