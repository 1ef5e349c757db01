// Tests reading roll-out orders and recording how they ended, against the store's emulator on loopback.
#include "StoreFixture.h"

#include <platform/RolloutRows.h>

using namespace Sagecrank;

namespace {

constexpr const char *orderKey = "rollout/booking";

// An operator's order and what a node reads of it.
class RolloutFixture : public StoreFixture
{
public:
    RolloutFixture()
    {
        this->port.setOrderListener(
            [this](const Result<RolloutOrderChange> &change) { this->changes.push_back(change); });
    }

    void writeOrder(const std::string &document)
    {
        cr_assert(this->write({"op", {}, orderKey, document, false, std::nullopt}).has_value());
    }

    // Reads the operator's rows, as a node does when it starts.
    void read()
    {
        const VersionSource source = Platform::makeConfigurationFeed(
            this->client, "site",
            [rows = this->rows](const Platform::RowsResponse &response) { rows->rowsRead(response); });
        cr_assert(this->readHead(source, {}).has_value());
    }

    RolloutOrder readOrder()
    {
        this->read();
        cr_assert(!this->changes.empty() && this->changes.back().has_value());
        return *this->changes.back().value().order;
    }

    Result<RolloutStage> record(const RolloutOrder &order, RolloutStage stage)
    {
        return this->await<Result<RolloutStage>>([&](auto done) { this->port.record(order, stage, done); });
    }

    std::string status()
    {
        const auto found = this->StoreFixture::rows("status");
        cr_assert(found.has_value());
        return found.value().rows.empty() ? std::string() : found.value().rows.front().value;
    }

    const std::shared_ptr<Platform::RolloutRows> rows = std::make_shared<Platform::RolloutRows>(this->client);
    const RolloutPort port = this->rows->port();
    std::vector<Result<RolloutOrderChange>> changes;
};

const char *const order = R"({"service":"booking","target":"v2","duration":"12s"})";

struct InvalidOrderRow
{
    const char *what;
    const char *document;
};

const InvalidOrderRow invalidOrderRows[] = {
    {"no bytes", ""},
    {"not JSON", "\xff\xfe"},
    {"no target", R"({"service":"booking","duration":"12s"})"},
    {"an empty target", R"({"service":"booking","target":"","duration":"12s"})"},
    {"a target of another type", R"({"service":"booking","target":2,"duration":"12s"})"},
    {"another service than the row's", R"({"service":"entry","target":"v2","duration":"12s"})"},
    {"no duration", R"({"service":"booking","target":"v2"})"},
    {"no time at all", R"({"service":"booking","target":"v2","duration":"0s"})"},
    {"a negative duration", R"({"service":"booking","target":"v2","duration":"-5s"})"},
    {"a huge duration", R"({"service":"booking","target":"v2","duration":"99999999999s"})"},
    {"a number without a unit", R"({"service":"booking","target":"v2","duration":12})"},
};

} // namespace

Test(rolloutRows, ordersAreReadWithTheConfiguration)
{
    RolloutFixture fixture;
    fixture.service.putConfiguration(document(1));
    fixture.writeOrder(order);
    const RolloutOrder read = fixture.readOrder();
    cr_assert(read.cluster == "booking" && read.target == "v2");
    cr_assert(read.duration == std::chrono::seconds(12));
}

// A row of garbage, or one that asks for something impossible, must not start a roll-out.
TABLE_TEST(rolloutRows, invalidOrdersAreRefused, invalidOrderRows)
{
    RolloutFixture fixture;
    fixture.writeOrder(row.document);
    fixture.read();
    cr_assert(fixture.changes.size() == 1 && !fixture.changes[0].has_value(), "%s", row.what);
}

Test(rolloutRows, unknownFieldsAreIgnored)
{
    RolloutFixture fixture;
    fixture.writeOrder(R"({"service":"booking","target":"v2","duration":"1500ms","by":"ops","x":[1]})");
    cr_assert(fixture.readOrder().duration == Milliseconds(1500));
}

// A watch tells of an order that is written later, and of one that is removed.
Test(rolloutRows, changesAreReadFromAWatch)
{
    RolloutFixture fixture;
    fixture.service.putConfiguration(document(1));
    const VersionSource source = Platform::makeConfigurationFeed(
        fixture.client, "site",
        [rows = fixture.rows](const Platform::RowsResponse &response) { rows->rowsRead(response); });
    cr_assert(fixture.readHead(source, {}).has_value());
    HeadQuery watch;
    watch.knownVersion = 1;
    watch.maximumWait = std::chrono::seconds(5);
    fixture.writeOrder(order);
    cr_assert(fixture.readHead(source, watch).has_value());
    cr_assert(fixture.changes.size() == 1 && fixture.changes[0].value().order.has_value());
    cr_assert(fixture.write({"op", {}, orderKey, {}, true, std::nullopt}).has_value());
    cr_assert(fixture.readHead(source, watch).has_value());
    cr_assert(fixture.changes.size() == 2 && !fixture.changes[1].value().order.has_value());
    cr_assert(fixture.changes[1].value().cluster == "booking");
}

Test(rolloutRows, statesAreReported)
{
    RolloutFixture fixture;
    fixture.writeOrder(order);
    const RolloutOrder read = fixture.readOrder();
    cr_assert(fixture.record(read, RolloutStage::Probing).value() == RolloutStage::Probing);
    cr_assert(fixture.status() == R"({"state":"running","target":"v2"})");
    cr_assert(fixture.record(read, RolloutStage::Completed).value() == RolloutStage::Completed);
    cr_assert(fixture.status() == R"({"state":"completed","target":"v2"})");
}

// Two judges reach opposite verdicts. The first that is recorded holds, and the other node is told.
Test(rolloutRows, firstRecordedEndHolds)
{
    RolloutFixture fixture;
    fixture.writeOrder(order);
    const RolloutOrder read = fixture.readOrder();
    cr_assert(fixture.record(read, RolloutStage::RolledBack).value() == RolloutStage::RolledBack);
    cr_assert(fixture.record(read, RolloutStage::Completed).value() == RolloutStage::RolledBack);
    cr_assert(fixture.record(read, RolloutStage::Probing).value() == RolloutStage::RolledBack);
    cr_assert(fixture.status() == R"({"state":"rolled_back","target":"v2"})");
}

// A node that was paused records the end of an order that the operator has replaced meanwhile.
Test(rolloutRows, lateVerdictDoesNotEndANewerOrder)
{
    RolloutFixture fixture;
    fixture.writeOrder(order);
    const RolloutOrder older = fixture.readOrder();
    fixture.writeOrder(R"({"service":"booking","target":"v3","duration":"12s"})");
    const Result<RolloutStage> late = fixture.record(older, RolloutStage::Completed);
    cr_assert(!late.has_value() && late.error().kind == ErrorKind::Conflict);
    cr_assert(fixture.status().empty());
}

// The end of an earlier order stays in its row; it says nothing about a new order for the same version.
Test(rolloutRows, endOfAnEarlierOrderDoesNotHoldForANewOne)
{
    RolloutFixture fixture;
    fixture.writeOrder(order);
    cr_assert(fixture.record(fixture.readOrder(), RolloutStage::RolledBack).has_value());
    fixture.writeOrder(order);
    const RolloutOrder again = fixture.readOrder();
    cr_assert(fixture.record(again, RolloutStage::Probing).value() == RolloutStage::Probing);
    cr_assert(fixture.record(again, RolloutStage::Completed).value() == RolloutStage::Completed);
}

// The write took effect, but its answer was lost. The next attempt finds it.
Test(rolloutRows, lostAnswerIsFoundByTheNextAttempt)
{
    RolloutFixture fixture;
    fixture.writeOrder(order);
    const RolloutOrder read = fixture.readOrder();
    fixture.setFaults(R"({"lose_answers":1})");
    cr_assert(!fixture.record(read, RolloutStage::Completed).has_value());
    fixture.setFaults("{}");
    cr_assert(fixture.record(read, RolloutStage::RolledBack).value() == RolloutStage::Completed);
}
