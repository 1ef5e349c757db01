// Fuzz tests of the adapter with mutated configurations, check-ins and responses of the store. No input may
// crash the process or be applied in part, and every read of the store must complete.
#include <LibConfig/Check.h>
#include <LibConfig/ConfigurationHolder.h>
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpServer.h>
#include <Node/Upstream/UpstreamPresence.h>
#include <Support/InputMutator.h>
#include <Support/TableTest.h>
#include <platform/ConfigurationDocument.h>
#include <platform/InstanceApi.h>
#include <platform/RowsClient.h>
#include <platform/RowsProtocol.h>

#include <boost/asio/post.hpp>

using namespace Sagecrank;

namespace {

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

const std::string validDocument =
    R"({"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15s"},"listeners":[{"host":"a.example",)"
    R"("ruleSet":[{"name":"r-1","kind":"safe","targetLatency":"250ms","priority":1,)"
    R"("match":{"prefix":"/pay/"},"action":{"weightedSplit":[{"service":"b","weight":9},)"
    R"({"service":"e","weight":1}],"timeout":"1.2s","maxAttempts":2}}]}],)"
    R"("clusters":[{"name":"b","healthPath":"/h"},{"name":"e","healthPath":"/h"}]})";

const std::string validCheckIn =
    R"({"service":"b","address":"10.0.0.9:80","zone":"z","version":"v1","slots":6,)"
    R"("state":"ready","coldLeft":"10ms","callSeq":4,"born":1785042605037})";

const std::string validRows = R"({"ver":9,"now":5,"truncated":false,"rows":[{"key":"config","ver":8,)"
                              R"("value":"eyJ2ZXJzaW9uIjo3fQ=="},{"key":"other","removed":true,"ver":9}]})";

} // namespace

// A document that the adapter decodes must pass or fail the validation of the site, and never crash the node
// that applies it.
TABLE_TEST(hostileInput, configurations, seeds)
{
    InputMutator mutator(row);
    for (std::size_t round = 0; round < InputMutator::scaledRounds(3000); ++round) {
        const auto decoded = Platform::decodeConfiguration(mutator.mutate(validDocument), "site");
        if (!decoded || !checkSite(decoded.value()))
            continue;
        ConfigurationHolder holder("site", {});
        (void)holder.offer(decoded.value());
        const auto snapshot = holder.read();
        if (snapshot)
            (void)snapshot->match("a.example", "GET", "/pay/x");
    }
}

// An accepted check-in has a service, a valid address, and slots.
TABLE_TEST(hostileInput, checkIns, seeds)
{
    InputMutator mutator(row);
    UpstreamPresence presence({[](const std::string &) {}, [](const UpstreamAnnouncement &) {},
                               [](const UpstreamAnnouncement &, UpstreamState) {}});
    for (std::size_t round = 0; round < InputMutator::scaledRounds(3000); ++round) {
        const auto decoded = Platform::decodeCheckIn(mutator.mutate(validCheckIn), "i-1");
        if (!decoded)
            continue;
        const UpstreamAnnouncement &announcement = decoded.value().announcement;
        cr_assert(!announcement.cluster.empty() && announcement.slots > 0);
        cr_assert(parseTcpEndpoint(announcement.address).has_value());
        presence.announced(Instant() + std::chrono::hours(1), announcement, decoded.value().state);
    }
}

TABLE_TEST(hostileInput, storeRequests, seeds)
{
    InputMutator mutator(row);
    const HttpRequest valid{"POST",
                            "/api/rows-tx?table=t&part=p&after=3&waitMs=20",
                            {},
                            R"({"precondition":[{"table":"t","part":"p","key":"k","ver":0}],)"
                            R"("setKeys":[{"table":"t","part":"p","key":"k","value":"YQ=="}],"remove":[]})"};
    for (std::size_t round = 0; round < InputMutator::scaledRounds(3000); ++round) {
        HttpRequest request = valid;
        request.body = mutator.mutate(valid.body);
        request.target = mutator.mutate(valid.target);
        (void)Platform::decodeRowsRequest(request);
    }
}

// The store sends corrupt responses. Every read must complete with rows or an error.
TABLE_TEST(hostileInput, storeResponses, seeds)
{
    InputMutator mutator(row);
    boost::asio::io_context context(1);
    HttpServer server(context, {}, [&](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond(makeResponse(200, "application/json", mutator.mutate(validRows)));
    });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    Platform::RowsClient client(context, server.address());
    const std::size_t reads = InputMutator::scaledRounds(300);
    std::size_t ended = 0;
    std::function<void()> readNext = [&] {
        if (ended == reads)
            return context.stop();
        client.get({"op", {}, "config", {}, 1}, ConnectionReuse::Allowed,
                   [&](const Result<Platform::RowsResponse> &) {
                       ++ended;
                       boost::asio::post(context, readNext);
                   });
    };
    readNext();
    context.run_for(std::chrono::seconds(60));
    cr_assert(ended == reads, "%zu of %zu reads ended", ended, reads);
}
