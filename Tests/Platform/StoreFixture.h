// Test fixture: a client of the row store and the store's emulator on loopback.
#pragma once

#include <RowsEmulator/RowsService.h>
#include <Support/TableTest.h>
#include <platform/ConfigurationFeed.h>

#include <memory>
#include <optional>
#include <string>

namespace Sagecrank {

inline std::string document(int version)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeout":"1s","idleTimeout":"1s"},)"
             R"("listeners":[],"clusters":[{"name":"booking"}]})";
}

class StoreFixture
{
public:
    StoreFixture()
        : service(this->context, {}, [](std::string_view) {})
        , server(this->context, HttpServerSettings{},
                 [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                     this->service.handle(request, exchange);
                 })
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
        this->client = std::make_shared<Platform::RowsClient>(this->context, this->server.address());
    }

    template <typename Value>
    Value await(const std::function<void(std::function<void(Value)>)> &start)
    {
        std::optional<Value> result;
        start([&result](Value value) { result.emplace(std::move(value)); });
        this->context.restart();
        const Instant limit = SteadyClock::now() + std::chrono::seconds(20);
        while (!result && SteadyClock::now() < limit)
            this->context.run_one_for(Milliseconds(50));
        cr_assert(result.has_value());
        return std::move(*result);
    }

    Result<void> write(const Platform::RowWrite &row)
    {
        return this->await<Result<void>>([&](auto done) { this->client->write(row, done); });
    }

    Result<Head> readHead(const VersionSource &source, const HeadQuery &query)
    {
        return this->await<Result<Head>>([&](auto done) { source.readHead(query, done); });
    }

    // Runs pending work until the condition holds; false if it does not hold in time.
    bool runUntil(const std::function<bool()> &condition, Duration maximumWait)
    {
        this->context.restart();
        const Instant limit = SteadyClock::now() + maximumWait;
        while (!condition() && SteadyClock::now() < limit)
            this->context.run_one_for(Milliseconds(10));
        return condition();
    }

    Result<Platform::RowsResponse> rows(const std::string &table)
    {
        return this->await<Result<Platform::RowsResponse>>([&](auto done) {
            this->client->get({table, {}, {}, {}, 100}, ConnectionReuse::Allowed, done);
        });
    }

    void setFaults(const std::string &json) { this->setFaults(json, this->server.address()); }

    void setFaults(const std::string &json, const std::string &address)
    {
        const auto status = this->await<std::uint32_t>([&](auto done) {
            this->httpClient.send(
                address, {"POST", "/emulator/faults", {}, json}, std::chrono::seconds(5),
                [done](const HttpFailure *, const HttpResponse &response) { done(response.status); });
        });
        cr_assert(status == 200);
    }

    boost::asio::io_context context{1};
    RowsService service;
    HttpServer server;
    HttpClient httpClient{this->context, HttpClientSettings{}};
    std::shared_ptr<Platform::RowsClient> client;
};

} // namespace Sagecrank
