// Tests the client against an HTTP server in the same process, with broken and slow connections.
#include <LibPlatform/PlatformClient.h>

#include <LibNet/HttpServer.h>
#include <Support/TableTest.h>

#include <boost/asio/steady_timer.hpp>

#include <unistd.h>

#include <memory>
#include <vector>

using namespace Sagecrank;

namespace {

using Exchange = std::shared_ptr<HttpExchange>;

// A platform whose responses the test supplies.
class FakeServer
{
public:
    explicit FakeServer(HttpHandler handler)
        : server(this->context, {}, std::move(handler))
    {
        // Tests run concurrently in separate processes.
        const int first = getpid() % 20000;
        for (int i = 0; i < 100; ++i) {
            this->address = "127.0.0.1:" + std::to_string(10000 + ((first + i * 7) % 20000));
            if (this->server.listen(this->address))
                return;
        }
        cr_assert_fail("no free port");
    }

    PlatformClientSettings settings() const
    {
        PlatformClientSettings settings;
        settings.table = this->address;
        settings.objects = this->address;
        settings.requestTimeout = Milliseconds(200);
        return settings;
    }

    template <typename Done>
    void runUntil(Done done)
    {
        while (!done())
            this->context.run_one();
    }

    boost::asio::io_context context{1};
    HttpServer server;
    std::string address;
};

Result<void> putOnce(FakeServer &fake, PlatformClient &client)
{
    std::optional<Result<void>> result;
    client.tablePort().putIf({{{"a", "b"}, {}}, {}},
                             [&](Result<void> received) { result = std::move(received); });
    fake.runUntil([&] { return result.has_value(); });
    return *result;
}

} // namespace

Test(platformClient, writesAndReadsObjects)
{
    std::vector<std::string> receivedRequests;
    FakeServer fake([&](const HttpRequest &request, const Exchange &exchange) {
        receivedRequests.push_back(request.method + " " + request.target + " "
                                   + std::string(findHeader(request.headers, "X-Amz-Target")));
        const bool read = request.method == "GET";
        exchange->respond(makeResponse(200, "application/octet-stream", read ? std::string("\0x", 2) : "{}"));
    });
    PlatformClient client(fake.context, fake.settings());
    cr_assert(putOnce(fake, client).has_value());
    std::optional<Result<ObjectBytes>> bytes;
    const ObjectPort objects = client.objectPort();
    objects.put("section/1", ObjectBytes(3), [&](const Result<void> &put) {
        cr_assert(put.has_value());
        objects.get("section/1", [&](Result<ObjectBytes> received) { bytes = std::move(received); });
    });
    fake.runUntil([&] { return bytes.has_value(); });
    cr_assert(bytes->value() == ObjectBytes({std::byte{0}, std::byte{'x'}}));
    const std::vector<std::string> expected = {"POST / DynamoDB_20120810.PutItem",
                                               "PUT /sagecrank/section/1 ", "GET /sagecrank/section/1 "};
    cr_assert(receivedRequests == expected);
    cr_assert(client.counters().tableWrites == 1);
    cr_assert(client.counters().objectWrites == 1 && client.counters().objectReads == 1);
}

// Nothing listens at the address, so nothing was sent and the write certainly did not take effect.
Test(platformClient, refusedConnectionIsUnavailable)
{
    boost::asio::io_context context(1);
    PlatformClientSettings settings;
    settings.table = "127.0.0.1:1";
    PlatformClient client(context, settings);
    std::optional<Result<void>> result;
    client.tablePort().putIf({{{"a", "b"}, {}}, {}},
                             [&](Result<void> received) { result = std::move(received); });
    context.run();
    cr_assert(result->error().kind == ErrorKind::Unavailable, "%s", result->error().describe().c_str());
    cr_assert(client.counters().notSent == 1);
}

// The platform accepts the request and never responds, or closes the connection: the write may have taken
// effect.
Test(platformClient, unresponsivePlatformLeavesEffectUnknown)
{
    std::vector<Exchange> heldExchanges;
    FakeServer fake(
        [&](const HttpRequest &, const Exchange &exchange) { heldExchanges.push_back(exchange); });
    PlatformClient client(fake.context, fake.settings());
    cr_assert(putOnce(fake, client).error().kind == ErrorKind::Timeout);
    boost::asio::steady_timer close(fake.context, Milliseconds(50));
    close.async_wait([&](const boost::system::error_code &) { fake.server.closeAll(); });
    cr_assert(putOnce(fake, client).error().kind == ErrorKind::Timeout);
    cr_assert(heldExchanges.size() == 2);
    cr_assert(client.counters().notSent == 0);
    heldExchanges.clear(); // A connection belongs to the server's context and may not outlive it.
}

// A slow platform under many requests: requests that time out in the queue were never sent, and those that do
// not fit in the queue are rejected immediately. Both certainly had no effect.
Test(platformClient, queueTimeoutWasNeverSent)
{
    std::size_t arrived = 0;
    std::vector<Exchange> heldExchanges;
    FakeServer fake([&](const HttpRequest &, const Exchange &exchange) {
        ++arrived;
        heldExchanges.push_back(exchange);
    });
    PlatformClientSettings settings = fake.settings();
    settings.requestTimeout = Milliseconds(1000);
    settings.maximumInFlight = 2;
    settings.maximumQueued = 3;
    PlatformClient client(fake.context, settings);
    const TablePort table = client.tablePort();
    std::size_t unavailable = 0;
    std::size_t unknown = 0;
    for (int i = 0; i < 7; ++i) {
        table.putIf({{{"a", std::to_string(i)}, {}}, {}}, [&](const Result<void> &result) {
            ++(result.error().kind == ErrorKind::Unavailable ? unavailable : unknown);
        });
    }
    cr_assert(unavailable + unknown == 0, "never from inside the call");
    fake.context.poll();
    cr_assert(unavailable == 2, "%zu refused at once", unavailable);
    fake.runUntil([&] { return unavailable + unknown == 7; });
    cr_assert(arrived == 2, "%zu arrived", arrived);
    cr_assert(unknown == 2, "%zu unknown", unknown);
    cr_assert(unavailable == 5, "%zu unavailable", unavailable);
    heldExchanges.clear(); // A connection belongs to the server's context and may not outlive it.
}

Test(platformClient, missingObjectIsNotFound)
{
    FakeServer fake([](const HttpRequest &, const Exchange &exchange) {
        exchange->respond(makeResponse(404, "application/xml", "<Error><Code>NoSuchKey</Code></Error>"));
    });
    PlatformClient client(fake.context, fake.settings());
    std::optional<Result<ObjectBytes>> bytes;
    client.objectPort().get("section/1", [&](Result<ObjectBytes> received) { bytes = std::move(received); });
    fake.runUntil([&] { return bytes.has_value(); });
    cr_assert(bytes->error().kind == ErrorKind::NotFound);
}

Test(platformClient, portsOutliveTheClient)
{
    boost::asio::io_context context(1);
    TablePort table;
    {
        PlatformClientSettings settings;
        settings.table = "127.0.0.1:1";
        PlatformClient client(context, settings);
        table = client.tablePort();
    }
    std::optional<Result<void>> result;
    table.putIf({{{"a", "b"}, {}}, {}}, [&](Result<void> received) { result = std::move(received); });
    context.run();
    cr_assert(result->error().kind == ErrorKind::Unavailable);
}
