// The client of the store and the source of versions on it, against the stand-in of the store on loopback.
#include "StoreFixture.h"

#include <platform/RowsTable.h>

#include <boost/asio/post.hpp>

#include <optional>

using namespace Sagecrank;

namespace {

struct FaultRow
{
    const char *faults;
    ErrorKind kind;
};

const FaultRow faultRows[] = {
    {R"({"down":true,"down_answers":true})", ErrorKind::Unavailable},
    {R"({"lose_answers":1})", ErrorKind::Timeout},
    {R"({"late_writes":1,"late_ms":10})", ErrorKind::Timeout},
};

} // namespace

// Two nodes write the same row. A condition on its revision lets one of them through; the other hears of it
// and has changed nothing.
Test(rowsStore, conditionsHold)
{
    StoreFixture fixture;
    Platform::RowWrite row{"t", "p", "k", "first", false, 0};
    cr_assert(fixture.write(row).has_value());
    row.value = "second";
    const Result<void> again = fixture.write(row);
    cr_assert(!again.has_value() && again.error().kind == ErrorKind::Conflict);
    const auto rows = fixture.await<Result<Platform::RowsResponse>>([&](auto done) {
        fixture.client->get({"t", "p", {}, {}, 10}, ConnectionChoice::Kept, done);
    });
    cr_assert(rows.has_value() && rows.value().rows.size() == 1 && rows.value().rows[0].value == "first");
}

// What a failed write says of its effect. "Nothing was done" must be true, and a lost answer must not say so.
TABLE_TEST(rowsStore, aFailedWriteSaysWhatIsKnown, faultRows)
{
    StoreFixture fixture;
    fixture.faults(row.faults);
    const Result<void> written = fixture.write({"t", "p", "k", "v", false, std::nullopt});
    cr_assert(!written.has_value() && written.error().kind == row.kind, "%s", row.faults);
}

// Introducers' rows go through the project's own table.
Test(rowsStore, carriesRowsOfTheProjectsTable)
{
    StoreFixture fixture;
    const TablePort table = Platform::makeRowsTable(fixture.client, "sagecrank");
    const Row row{{"introducers#z", "node-1"},
                  {{"gossip", std::string("10.0.0.1:1")}, {"time", std::uint64_t{7}}}};
    cr_assert(fixture.await<Result<void>>([&](auto done) { table.putIf({row, {}}, done); }).has_value());
    const auto found = fixture.await<Result<std::vector<Row>>>([&](auto done) {
        table.query({"introducers#z", false, 10}, done);
    });
    cr_assert(found.has_value() && found.value().size() == 1 && found.value()[0] == row);
    const auto one = fixture.await<Result<std::optional<Row>>>([&](auto done) { table.get(row.key, done); });
    cr_assert(one.has_value() && one.value() == row);
}

// An operator changes the configuration; a node that watches hears of it. Then the store forgets its history,
// and the change after that must not be missed: the row itself is read again.
Test(rowsStore, aWatchFollowsChangesAndALostHistory)
{
    StoreFixture fixture;
    const VersionSource source = Platform::makeConfigurationFeed(fixture.client, "site");
    cr_assert(fixture.newest(source, {}).value().version == 0);
    fixture.service.putConfiguration(document(3));
    cr_assert(fixture.newest(source, {}).value().version == 3);

    auto pending = fixture.await<Result<Head>>([&](auto done) {
        source.readHead({3, std::chrono::seconds(2), false}, done);
        boost::asio::post(fixture.context, [&] { fixture.service.putConfiguration(document(5)); });
    });
    cr_assert(pending.value().version == 5);

    fixture.service.putConfiguration(document(8));
    fixture.service.dropHistory();
    cr_assert(fixture.newest(source, {5, std::chrono::seconds(2), false}).value().version == 8);
}

// Somebody writes what cannot be read in place of the configuration. Whoever watches is told so once, and
// does not carry the same bytes over its link twice a second until the row is mended; the version that mends
// it is taken at once.
Test(rowsStore, aRowThatCannotBeReadIsReadOnce)
{
    StoreFixture fixture;
    const VersionSource source = Platform::makeConfigurationFeed(fixture.client, "site");
    fixture.service.putConfiguration(document(3));
    cr_assert(fixture.newest(source, {}).value().version == 3);
    fixture.service.putConfiguration("{");
    const Result<Head> spoilt = fixture.newest(source, {3, std::chrono::seconds(2), false});
    cr_assert(!spoilt.has_value() && spoilt.error().kind == ErrorKind::InvalidInput);
    cr_assert(fixture.newest(source, {3, Duration::zero(), true}).value().version == 3);
    fixture.service.putConfiguration(document(5));
    cr_assert(fixture.newest(source, {3, std::chrono::seconds(2), false}).value().version == 5);
}

// A read of the store is behind and shows an older version than the node has seen. Taken for the newest,
// routes would move back.
Test(rowsStore, anOlderVersionNeverReplacesANewerOne)
{
    StoreFixture fixture;
    const VersionSource source = Platform::makeConfigurationFeed(fixture.client, "site");
    fixture.service.putConfiguration(document(8));
    cr_assert(fixture.newest(source, {}).value().version == 8);
    fixture.service.putConfiguration(document(7));
    cr_assert(fixture.newest(source, {}).value().version == 8);
}

// The store turns away a single host while it serves the others. That host is told so; nobody else notices.
Test(rowsStore, aSingleHostIsTurnedAway)
{
    StoreFixture fixture;
    HttpServer door(fixture.context, HttpServerSettings{},
                    [&fixture](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                        fixture.service.handle(request, exchange, 1);
                    });
    cr_assert(door.listen("127.0.0.1:0").has_value());
    const auto turnedAway = std::make_shared<Platform::RowsClient>(fixture.context, door.address());
    const auto writeBy = [&fixture](Platform::RowsClient &client) {
        return fixture.await<Result<void>>([&](auto done) {
            client.write({"t", "p", "k", "v", false, std::nullopt}, done);
        });
    };
    cr_assert(writeBy(*turnedAway).has_value());
    fixture.faults(R"({"down":true})", door.address());
    cr_assert(!writeBy(*turnedAway).has_value());
    cr_assert(writeBy(*fixture.client).has_value());
    fixture.faults("{}");
    cr_assert(writeBy(*turnedAway).has_value(), "what is set at the first door holds at each");
}
