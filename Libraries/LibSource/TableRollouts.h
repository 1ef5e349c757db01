// Orders to roll out a version, as rows of the project's own table: one row for each service, which holds the
// last order and its state. Operators write orders with sagecrankctl; nodes read them and record how they
// ended.
#pragma once

#include <LibRollout/RolloutPort.h>
#include <LibSource/Ports.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sagecrank {

enum class RolloutOrderState : std::uint8_t {
    Running,
    Aborted, // By an operator.
    Completed,
    RolledBack,
};

inline constexpr EnumNames<RolloutOrderState, 4> rolloutOrderStateNames{{
    {RolloutOrderState::Running, "running"},
    {RolloutOrderState::Aborted, "aborted"},
    {RolloutOrderState::Completed, "completed"},
    {RolloutOrderState::RolledBack, "rolled_back"},
}};

struct RolloutRow
{
    RolloutOrder order;
    RolloutOrderState state = RolloutOrderState::Running;
    std::string operatorName; // Who wrote the order, or aborted it.

    bool operator==(const RolloutRow &) const = default;
};

Row encodeRollout(const RolloutRow &rollout);
Result<RolloutRow> parseRollout(const Row &row); // InvalidInput if a field is missing or out of range.

using RolloutRowCallback = std::function<void(Result<RolloutRow>)>;
using RolloutRowsCallback = std::function<void(Result<std::vector<RolloutRow>>)>;

// What an operator does with orders.
class RolloutOrders
{
public:
    explicit RolloutOrders(TablePort table)
        : table(std::move(table))
    {
    }

    // Commands. The order's sequence is set to the next one. Conflict: a roll-out of the service runs, or
    // another operator was first.
    void start(const RolloutOrder &order, const std::string &operatorName,
               const RolloutRowCallback &callback) const;
    // NotFound: there is no order for the service. Conflict: it has ended.
    void abort(const std::string &cluster, const std::string &operatorName,
               const RolloutRowCallback &callback) const;

    // Queries.
    void list(const RolloutRowsCallback &callback) const; // Rows that cannot be read are left out.

private:
    void replace(const std::optional<RolloutRow> &current, const RolloutRow &next,
                 const RolloutRowCallback &callback) const;

    TablePort table;
};

// Reads orders and records their states for a node.
class TableRollouts : public std::enable_shared_from_this<TableRollouts>
{
public:
    explicit TableRollouts(TablePort table)
        : table(std::move(table))
    {
    }

    // Reads the orders, and passes them on if the table answers. Called with each read of the head, whose
    // failure is reported; so one of this read is not.
    void refresh();

    RolloutPort port();

private:
    void record(const RolloutOrder &order, RolloutStage stage, const RolloutStageCallback &callback) const;

    TablePort table;
    RolloutOrderListener listener;
    bool reading = false; // One read at a time.
};

} // namespace Sagecrank
