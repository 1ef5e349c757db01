// Tests the orders of roll-outs in the project's own table.
#include "FakePlatform.h"

#include <LibSource/TableRollouts.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

class RolloutTable
{
public:
    RolloutTable()
    {
        this->port.setOrderListener(
            [this](const Result<RolloutOrderChange> &change) { this->changes.push_back(change); });
    }

    Result<RolloutRow> start(const std::string &target, Duration duration = std::chrono::seconds(60))
    {
        return this->await<RolloutRow>([&](auto done) {
            this->orders.start({"booking", target, duration, 0}, "anna", done);
        });
    }

    Result<RolloutRow> abort()
    {
        return this->await<RolloutRow>([&](auto done) { this->orders.abort("booking", "ben", done); });
    }

    Result<RolloutStage> record(const RolloutOrder &order, RolloutStage stage)
    {
        return this->await<RolloutStage>([&](auto done) { this->port.record(order, stage, done); });
    }

    RolloutOrderState state()
    {
        const auto rows = this->await<std::vector<RolloutRow>>([&](auto done) { this->orders.list(done); });
        cr_assert(rows.has_value() && rows.value().size() == 1);
        return rows.value()[0].state;
    }

    void refresh()
    {
        this->changes.clear();
        this->rollouts->refresh();
        this->platform.run(std::chrono::seconds(2));
    }

    template <typename Value>
    Result<Value> await(const std::function<void(std::function<void(Result<Value>)>)> &begin)
    {
        std::optional<Result<Value>> result;
        begin([&result](Result<Value> value) { result.emplace(std::move(value)); });
        this->platform.run(std::chrono::seconds(2));
        cr_assert(result.has_value());
        return std::move(*result);
    }

    FakePlatform platform;
    const RolloutOrders orders{this->platform.tablePort()};
    const std::shared_ptr<TableRollouts> rollouts =
        std::make_shared<TableRollouts>(this->platform.tablePort());
    const RolloutPort port = this->rollouts->port();
    std::vector<Result<RolloutOrderChange>> changes;
};

struct InvalidRow
{
    const char *what;
    Attributes attributes;
};

const InvalidRow invalidRows[] = {
    {"nothing", {}},
    {"no target",
     {{"duration_ms", std::uint64_t{1}}, {"sequence", std::uint64_t{1}}, {"state", std::string("running")}}},
    {"no time",
     {{"target", std::string("v2")},
      {"duration_ms", std::uint64_t{0}},
      {"sequence", std::uint64_t{1}},
      {"state", std::string("running")}}},
    {"an unknown state",
     {{"target", std::string("v2")},
      {"duration_ms", std::uint64_t{1}},
      {"sequence", std::uint64_t{1}},
      {"state", std::string("paused")}}},
    {"a duration of another type",
     {{"target", std::string("v2")},
      {"duration_ms", std::string("1")},
      {"sequence", std::uint64_t{1}},
      {"state", std::string("running")}}},
};

} // namespace

Test(tableRollouts, nodesReadStartedAndAbortedOrders)
{
    RolloutTable table;
    cr_assert(table.start("v2").value().order.sequence == 1);
    table.refresh();
    cr_assert(table.changes.size() == 1 && table.changes[0].value().order->target == "v2");
    cr_assert(table.abort().has_value());
    table.refresh();
    cr_assert(table.changes.size() == 1 && !table.changes[0].value().order);
}

// A second order would move calls to a third version while the first is not judged.
Test(tableRollouts, oneRollOutOfAServiceAtATime)
{
    RolloutTable table;
    cr_assert(table.start("v2").has_value());
    const Result<RolloutRow> second = table.start("v3");
    cr_assert(!second.has_value() && second.error().kind == ErrorKind::Conflict);
    cr_assert(table.abort().has_value());
    cr_assert(table.start("v3").value().order.sequence == 2);
}

Test(tableRollouts, abortNeedsARunningOrder)
{
    RolloutTable table;
    cr_assert(table.abort().error().kind == ErrorKind::NotFound);
    const RolloutOrder order = table.start("v2").value().order;
    cr_assert(table.record(order, RolloutStage::Completed).value() == RolloutStage::Completed);
    cr_assert(table.abort().error().kind == ErrorKind::Conflict);
}

// Two judges reach opposite verdicts; the first that is recorded holds.
Test(tableRollouts, firstRecordedEndHolds)
{
    RolloutTable table;
    const RolloutOrder order = table.start("v2").value().order;
    cr_assert(table.record(order, RolloutStage::Probing).value() == RolloutStage::Probing);
    cr_assert(table.record(order, RolloutStage::RolledBack).value() == RolloutStage::RolledBack);
    cr_assert(table.record(order, RolloutStage::Completed).value() == RolloutStage::RolledBack);
    cr_assert(table.state() == RolloutOrderState::RolledBack);
}

// A node that was paused records the end of an order that was replaced meanwhile.
Test(tableRollouts, lateVerdictDoesNotEndANewerOrder)
{
    RolloutTable table;
    const RolloutOrder older = table.start("v2").value().order;
    cr_assert(table.abort().has_value());
    cr_assert(table.start("v3").has_value());
    cr_assert(table.record(older, RolloutStage::Completed).error().kind == ErrorKind::Conflict);
    cr_assert(table.state() == RolloutOrderState::Running);
}

// An operator aborts, and the judges find the version good at the same time.
Test(tableRollouts, abortedOrderIsRecordedAsRolledBack)
{
    RolloutTable table;
    const RolloutOrder order = table.start("v2").value().order;
    cr_assert(table.abort().has_value());
    cr_assert(table.record(order, RolloutStage::RolledBack).value() == RolloutStage::RolledBack);
}

TABLE_TEST(tableRollouts, invalidRowsAreErrors, invalidRows)
{
    const Result<RolloutRow> parsed = parseRollout({{"rollouts", "booking"}, row.attributes});
    cr_assert(!parsed.has_value() && parsed.error().kind == ErrorKind::InvalidInput, "%s", row.what);
}

Test(tableRollouts, impossibleOrdersAreNotWritten)
{
    RolloutTable table;
    cr_assert(!table.start("").has_value());
    cr_assert(!table.start("v2", Duration::zero()).has_value());
    cr_assert(!table.start("v2", std::chrono::hours(48)).has_value());
    cr_assert(!table.start(std::string(65, 'v')).has_value());
    table.refresh();
    cr_assert(table.changes.empty());
}
