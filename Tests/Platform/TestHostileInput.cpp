// What the adapter makes of damaged and hostile input: configurations, check-ins, and answers of the store.
// Nothing of it may end the process or be believed by half; a read of the store always ends.
#include <LibConfig/Check.h>
#include <LibConfig/ConfigurationHolder.h>
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpServer.h>
#include <Node/Upstream/UpstreamPresence.h>
#include <Support/Mutations.h>
#include <Support/TableTest.h>
#include <platform/ConfigurationDocument.h>
#include <platform/InstanceApi.h>
#include <platform/RowsClient.h>
#include <platform/RowsProtocol.h>

#include <boost/asio/post.hpp>

using namespace Sagecrank;

namespace {

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

const std::string goodDocument =
    R"({"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15s"},"listeners":[{"host":"a.example",)"
    R"("ruleSet":[{"name":"r-1","kind":"safe","targetLatency":"250ms","priority":1,)"
    R"("match":{"prefix":"/pay/"},"action":{"weightedSplit":[{"service":"b","weight":9},)"
    R"({"service":"e","weight":1}],"timeout":"1.2s","maxAttempts":2}}]}],)"
    R"("clusters":[{"name":"b","healthPath":"/h"},{"name":"e","healthPath":"/h"}]})";

const std::string goodCheckIn =
    R"({"service":"b","address":"10.0.0.9:80","zone":"z","version":"v1","slots":6,)"
    R"("state":"ready","coldLeft":"10ms","callSeq":4,"born":1785042605037})";

const std::string goodRows = R"({"ver":9,"now":5,"truncated":false,"rows":[{"key":"config","ver":8,)"
                             R"("value":"eyJ2ZXJzaW9uIjo3fQ=="},{"key":"other","removed":true,"ver":9}]})";

} // namespace

// Whatever passes the adapter must pass the check of the whole site or be refused by it, and never crash the
// node that takes it in.
TABLE_TEST(hostileInput, configurations, seeds)
{
    Mutations mutations(row);
    for (std::size_t round = 0; round < Mutations::rounds(3000); ++round) {
        const auto decoded = Platform::decodeConfiguration(mutations.of(goodDocument), "site");
        if (!decoded || !checkSite(decoded.value()))
            continue;
        ConfigurationHolder holder("site", {});
        (void)holder.offer(decoded.value());
        const auto snapshot = holder.read();
        if (snapshot)
            (void)snapshot->match("a.example", "GET", "/pay/x");
    }
}

// A check-in that is taken names a service, an address that can be connected to, and slots.
TABLE_TEST(hostileInput, checkIns, seeds)
{
    Mutations mutations(row);
    UpstreamPresence presence({[](const std::string &) {}, [](const UpstreamAnnouncement &) {},
                               [](const std::string &, UpstreamState, std::uint32_t) {}});
    for (std::size_t round = 0; round < Mutations::rounds(3000); ++round) {
        const auto decoded = Platform::decodeCheckIn(mutations.of(goodCheckIn), "i-1");
        if (!decoded)
            continue;
        const UpstreamAnnouncement &announcement = decoded.value().announcement;
        cr_assert(!announcement.cluster.empty() && announcement.slots > 0);
        cr_assert(parseTcpEndpoint(announcement.address).has_value());
        presence.announced(Instant() + std::chrono::hours(1), announcement, decoded.value().state);
    }
}

TABLE_TEST(hostileInput, callsToTheStore, seeds)
{
    Mutations mutations(row);
    const HttpRequest good{"POST",
                           "/api/rows-tx?table=t&part=p&after=3&waitMs=20",
                           {},
                           R"({"precondition":[{"table":"t","part":"p","key":"k","ver":0}],)"
                           R"("setKeys":[{"table":"t","part":"p","key":"k","value":"YQ=="}],"remove":[]})"};
    for (std::size_t round = 0; round < Mutations::rounds(3000); ++round) {
        HttpRequest request = good;
        request.body = mutations.of(good.body);
        request.target = mutations.of(good.target);
        (void)Platform::decodeRowsRequest(request);
    }
}

// A store whose answers are spoilt in each way: each read ends with rows or with an error, never not at all.
TABLE_TEST(hostileInput, answersOfTheStore, seeds)
{
    Mutations mutations(row);
    boost::asio::io_context context(1);
    HttpServer server(context, {}, [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(makeResponse(200, "application/json", mutations.of(goodRows)));
    });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    Platform::RowsClient client(context, server.address());
    const std::size_t reads = Mutations::rounds(300);
    std::size_t ended = 0;
    std::function<void()> readNext = [&] {
        if (ended == reads)
            return context.stop();
        client.get({"op", {}, "config", {}, 1}, ConnectionChoice::Kept,
                   [&](const Result<Platform::RowsResponse> &) {
                       ++ended;
                       boost::asio::post(context, readNext);
                   });
    };
    readNext();
    context.run_for(std::chrono::seconds(60));
    cr_assert(ended == reads, "%zu of %zu reads ended", ended, reads);
}
