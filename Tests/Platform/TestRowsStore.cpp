// Tests the client of the row store and the configuration feed against the store's emulator on loopback.
#include "StoreFixture.h"

#include <LibNet/ScriptedServer.h>
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

// Two nodes write the same row on condition of its revision. One succeeds; the other gets a conflict and has
// no effect.
Test(rowsStore, conditionalWritesAreEnforced)
{
    StoreFixture fixture;
    Platform::RowWrite row{"t", "p", "k", "first", false, 0};
    cr_assert(fixture.write(row).has_value());
    row.value = "second";
    const Result<void> again = fixture.write(row);
    cr_assert(!again.has_value() && again.error().kind == ErrorKind::Conflict);
    const auto rows = fixture.await<Result<Platform::RowsResponse>>([&](auto done) {
        fixture.client->get({"t", "p", {}, {}, 10}, ConnectionReuse::Allowed, done);
    });
    cr_assert(rows.has_value() && rows.value().rows.size() == 1 && rows.value().rows[0].value == "first");
}

// The error of a failed write tells its effect. "No effect" must be true, and a lost response must not be
// reported as such.
TABLE_TEST(rowsStore, failedWriteReportsEffect, faultRows)
{
    StoreFixture fixture;
    fixture.setFaults(row.faults);
    const Result<void> written = fixture.write({"t", "p", "k", "v", false, std::nullopt});
    cr_assert(!written.has_value() && written.error().kind == row.kind, "%s", row.faults);
}

// The rows of introducers are stored in the project's own table.
Test(rowsStore, tableRowsRoundTrip)
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

namespace {

struct MalformedValueRow
{
    const char *what;
    std::string value;
    bool skipped; // The whole row; else only the attribute.
};

const MalformedValueRow malformedValueRows[] = {
    {"no bytes", "", true},
    {"no JSON", "\xff\x01", true},
    {"no object", "[1]", true},
    {"nested lists", R"({"gossip":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}", true},
    {"nested objects that do not end", std::string(100'000, '{'), true},
    {"a number beyond 64 bits", R"({"time":99999999999999999999999999})", false},
    {"a number beyond a double", R"({"time":1e999999})", false},
    {"a negative number", R"({"time":-1})", false},
    {"a nested attribute", R"({"time":{"a":[1]}})", false},
};

} // namespace

// Guards against a row of another writer that ends the node or hides the other rows.
TABLE_TEST(rowsStore, aMalformedRowDoesNotHideTheOthers, malformedValueRows)
{
    StoreFixture fixture;
    const TablePort table = Platform::makeRowsTable(fixture.client, "sagecrank");
    const Row good{{"introducers", "z#2"}, {{"gossip", std::string("10.0.0.1:1")}}};
    cr_assert(fixture.await<Result<void>>([&](auto done) { table.putIf({good, {}}, done); }).has_value());
    cr_assert(fixture.write({"sagecrank", "introducers", "z#1", row.value, false, std::nullopt}).has_value());
    const auto found = fixture.await<Result<std::vector<Row>>>([&](auto done) {
        table.query({"introducers", false, 10}, done);
    });
    cr_assert(found.has_value() && found.value().size() == (row.skipped ? 1 : 2), "%s", row.what);
    cr_assert(found.value().back() == good, "%s", row.what);
    cr_assert(row.skipped || found.value().front().number("time") == nullptr, "%s", row.what);
}

// A node that watches the configuration is notified of a change. Then the store drops its history. The next
// change must not be missed, so the row itself is read again.
Test(rowsStore, watchFollowsChangesAndExpiredHistory)
{
    StoreFixture fixture;
    const VersionSource source = Platform::makeConfigurationFeed(fixture.client, "site");
    cr_assert(fixture.readHead(source, {}).value().version == 0);
    fixture.service.putConfiguration(document(3));
    cr_assert(fixture.readHead(source, {}).value().version == 3);

    auto pending = fixture.await<Result<Head>>([&](auto done) {
        source.readHead({3, std::chrono::seconds(2), false}, done);
        boost::asio::post(fixture.context, [&] { fixture.service.putConfiguration(document(5)); });
    });
    cr_assert(pending.value().version == 5);

    fixture.service.putConfiguration(document(8));
    fixture.service.dropHistory();
    cr_assert(fixture.readHead(source, {5, std::chrono::seconds(2), false}).value().version == 8);
}

// The configuration is overwritten by an unreadable value. A watch reports this once and does not transfer
// the same bytes twice per second until the row is repaired. The version that repairs it is applied
// immediately.
Test(rowsStore, unreadableRowIsReportedOnce)
{
    StoreFixture fixture;
    const VersionSource source = Platform::makeConfigurationFeed(fixture.client, "site");
    fixture.service.putConfiguration(document(3));
    cr_assert(fixture.readHead(source, {}).value().version == 3);
    fixture.service.putConfiguration("{");
    const Result<Head> invalid = fixture.readHead(source, {3, std::chrono::seconds(2), false});
    cr_assert(!invalid.has_value() && invalid.error().kind == ErrorKind::InvalidInput);
    cr_assert(fixture.readHead(source, {3, Duration::zero(), true}).value().version == 3);
    fixture.service.putConfiguration(document(5));
    cr_assert(fixture.readHead(source, {3, std::chrono::seconds(2), false}).value().version == 5);
}

// A stale read returns an older version than the node has seen. Applying it would revert routes.
Test(rowsStore, olderVersionNeverReplacesNewer)
{
    StoreFixture fixture;
    const VersionSource source = Platform::makeConfigurationFeed(fixture.client, "site");
    fixture.service.putConfiguration(document(8));
    cr_assert(fixture.readHead(source, {}).value().version == 8);
    fixture.service.putConfiguration(document(7));
    cr_assert(fixture.readHead(source, {}).value().version == 8);
}

// The store rejects requests of a single host while it serves the others.
Test(rowsStore, singleHostIsRejected)
{
    StoreFixture fixture;
    HttpServer secondServer(
        fixture.context, HttpServerSettings{},
        [&fixture](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
            fixture.service.handle(request, exchange, 1);
        });
    cr_assert(secondServer.listen("127.0.0.1:0").has_value());
    const auto rejectedClient =
        std::make_shared<Platform::RowsClient>(fixture.context, secondServer.address());
    const auto writeBy = [&fixture](Platform::RowsClient &client) {
        return fixture.await<Result<void>>([&](auto done) {
            client.write({"t", "p", "k", "v", false, std::nullopt}, done);
        });
    };
    cr_assert(writeBy(*rejectedClient).has_value());
    fixture.setFaults(R"({"down":true})", secondServer.address());
    cr_assert(!writeBy(*rejectedClient).has_value());
    cr_assert(writeBy(*fixture.client).has_value());
    fixture.setFaults("{}");
    cr_assert(writeBy(*rejectedClient).has_value(), "faults set at one server apply to all");
}

namespace {

struct StoreShapeRow
{
    const char *what;
    std::string bytes;
    std::optional<ErrorKind> write; // Not set: the write took effect.
    bool isRead;                    // Whether a read returns rows.
};

std::string storeResponse(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string noRows = R"({"rows":[],"ver":7,"now":"5ms"})";

const StoreShapeRow storeShapeRows[] = {
    {"rows and a version", storeResponse("200 OK", noRows), std::nullopt, true},
    {"a version", storeResponse("200 OK", R"({"ver":7,"now":"5ms"})"), std::nullopt, false},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\n" + noRows + "\r\n0\r\n\r\n",
     std::nullopt, true},
    {"a conflict", storeResponse("412 Precondition Failed", noRows), ErrorKind::Conflict, false},
    {"too many calls", storeResponse("429 Too Many Requests", "{}"), ErrorKind::Unavailable, false},
    {"nothing was done", storeResponse("503 Service Unavailable", "{}"), ErrorKind::Unavailable, false},
    {"a forbidden table", storeResponse("403 Forbidden", "{}"), ErrorKind::Refused, false},
    {"a fault of the store", storeResponse("500 Internal Server Error", "{}"), ErrorKind::Timeout, false},
    {"something in front gave up", storeResponse("504 Gateway Timeout", ""), ErrorKind::Timeout, false},
    {"another success", storeResponse("202 Accepted", noRows), ErrorKind::Timeout, false},
    {"the status 000", storeResponse("000 Broken", noRows), ErrorKind::Timeout, false},
    {"no body", storeResponse("200 OK", ""), ErrorKind::Timeout, false},
    {"no version", storeResponse("200 OK", "{}"), ErrorKind::Timeout, false},
    {"a body that is no JSON", storeResponse("200 OK", "<html>"), ErrorKind::Timeout, false},
    {"a part of a body", storeResponse("200 OK", R"({"rows":[],"ver":7)"), ErrorKind::Timeout, false},
    {"bytes that are no response", "rows\r\n\r\n", ErrorKind::Timeout, false},
    {"nothing", "", ErrorKind::Timeout, false},
};

// Sends each response in turn, to a write and to a read.
struct StoreOutcome
{
    Result<void> written;
    Result<Platform::RowsResponse> read;
};

std::vector<StoreOutcome> callStoreInTurn(const std::vector<std::string> &responses)
{
    std::vector<std::string> twice;
    for (const std::string &response : responses)
        twice.insert(twice.end(), 2, response);
    const ScriptedServer server([&twice](boost::asio::ip::tcp::acceptor &acceptor) {
        respondInTurn(acceptor, twice, StreamEnd::Closed);
    });
    StoreFixture fixture;
    Platform::RowsClient client(fixture.context, server.address());
    std::vector<StoreOutcome> outcomes;
    for (std::size_t index = 0; index < responses.size(); ++index) {
        const Platform::RowWrite row{"t", "p", "k", "v", false, std::nullopt};
        Result<void> written = fixture.await<Result<void>>([&](auto done) { client.write(row, done); });
        Result<Platform::RowsResponse> read = fixture.await<Result<Platform::RowsResponse>>([&](auto done) {
            client.get({"t", "p", {}, {}, 10}, ConnectionReuse::Disallowed, done);
        });
        outcomes.push_back({std::move(written), std::move(read)});
    }
    return outcomes;
}

} // namespace

// Guards against a departure that is confirmed, or a condition that is taken for held, by a response that
// does not say that the store did the write, and against a write that is reported as not done when it may
// have been.
TABLE_TEST(rowsStore, eachShapeOfAResponseHasOneMeaning, storeShapeRows)
{
    const StoreOutcome outcome = callStoreInTurn({row.bytes}).front();
    cr_assert(outcome.written.has_value() == !row.write, "%s", row.what);
    cr_assert(!row.write || outcome.written.error().kind == *row.write, "%s: %s", row.what,
              outcome.written.error().describe().c_str());
    cr_assert(outcome.read.has_value() == row.isRead, "%s", row.what);
}

// The same when the store stops within its response, in the head or later, and closes.
TABLE_TEST(rowsStore, aResponseThatStopsAtAnyByteTellsNothing, storeShapeRows)
{
    const std::vector<std::string> parts = prefixesOf(row.bytes);
    const std::vector<StoreOutcome> outcomes = callStoreInTurn(parts);
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const StoreOutcome &outcome = outcomes[index];
        cr_assert(!outcome.written.has_value() && outcome.written.error().kind == ErrorKind::Timeout,
                  "%s, %zu bytes", row.what, parts[index].size());
        cr_assert(!outcome.read.has_value(), "%s, %zu bytes", row.what, parts[index].size());
    }
}
