// What publishes and claims cost the platform, against a running table service and object store.
#include "Bench.h"

#include <LibPlatform/PlatformClient.h>
#include <LibSource/ClaimManager.h>
#include <LibSource/Publisher.h>

#include <boost/asio/steady_timer.hpp>

#include <iostream>
#include <memory>
#include <random>

namespace Sagecrank {

namespace {

PlatformClientSettings clientSettings(const BenchSettings &settings)
{
    PlatformClientSettings client;
    client.table = settings.platform;
    client.objects = settings.platform;
    client.maximumQueued = 100000;
    client.requestTimeout = Milliseconds(5000);
    return client;
}

std::string uniqueText()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

class PublishBench
{
public:
    explicit PublishBench(const BenchSettings &settings)
        : client(this->context, clientSettings(settings))
        , publisher(this->client.tablePort(), this->client.objectPort(), this->later())
    {
    }

    void publish(const char *what, std::vector<RenderedSite> sites)
    {
        this->measure(what, [&](const PublishCallback &callback) {
            this->publisher.publish(std::move(sites), {std::nullopt, uniqueText(), "bench", 0}, callback);
        });
    }

    void rollback(const char *what, std::uint64_t to)
    {
        this->measure(what, [&](const PublishCallback &callback) {
            this->publisher.rollback(to, {std::nullopt, uniqueText(), "bench", 0}, callback);
        });
    }

    std::uint64_t lastVersion = 0;

private:
    Scheduler later()
    {
        return [this](Duration delay, std::function<void()> event) {
            const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
            timer->async_wait(
                [timer, event = std::move(event)](const boost::system::error_code &) { event(); });
        };
    }

    template <typename Start>
    void measure(const char *what, Start start)
    {
        const PlatformCounters before = this->client.counters();
        const Instant began = SteadyClock::now();
        std::optional<PublishResult> report;
        start([&](const PublishResult &given) { report = given; });
        this->context.restart();
        while (!report && this->context.run_one() > 0) {
        }
        const std::chrono::duration<double, std::milli> took = SteadyClock::now() - began;
        const PlatformCounters after = this->client.counters();
        this->lastVersion = report->version;
        std::cout << what << ": " << publishOutcomeNames.name(report->outcome) << ", object writes "
                  << after.objectWrites - before.objectWrites << ", object reads "
                  << after.objectReads - before.objectReads << ", rows written "
                  << after.tableWrites - before.tableWrites << ", row reads "
                  << after.tableReads - before.tableReads << ", " << took.count() << " ms\n";
    }

    boost::asio::io_context context{1};
    PlatformClient client;
    Publisher publisher;
};

// Keyed calls at an even rate; each that is granted ends at once, so that claim and record are both counted.
class ClaimRun
{
public:
    explicit ClaimRun(const BenchSettings &settings)
        : benchSettings(settings)
        , client(this->context, clientSettings(settings))
        , claimManager(this->client.tablePort(), claimSettings(settings),
                       {[] { return SteadyClock::now(); }, [] { return std::uint64_t{0}; }})
        , tick(this->context)
    {
    }

    void run()
    {
        this->began = SteadyClock::now();
        this->total = std::size_t{this->benchSettings.rate} * this->benchSettings.seconds;
        this->step();
        while (this->answered < this->total || this->claimManager.pendingFinalizations() > 0)
            this->context.run_one();
        this->print();
    }

private:
    static ClaimSettings claimSettings(const BenchSettings &settings)
    {
        ClaimSettings claims;
        claims.batching.maximumBatchSize = settings.group;
        claims.batching.requestsBeforeBatching = settings.alone;
        claims.batching.window = Milliseconds(settings.window);
        claims.maximumWaiting = 100000;
        claims.finalizing.maximumWaiting = 100000;
        return claims;
    }

    // Latency counts from when a call was due, not from when this loop got to it.
    Instant dueAt(std::size_t call) const
    {
        return this->began
               + (std::chrono::nanoseconds(std::chrono::seconds(1)) * call / this->benchSettings.rate);
    }

    void step()
    {
        while (this->sent < this->total && this->dueAt(this->sent) <= SteadyClock::now())
            this->claimOne(this->sent++);
        this->claimManager.advance();
        Instant next = SteadyClock::now() + Milliseconds(1);
        if (this->sent < this->total)
            next = std::min(next, this->dueAt(this->sent));
        this->tick.expires_at(next);
        this->tick.async_wait([this](const boost::system::error_code &) { this->step(); });
    }

    void claimOne(std::size_t call)
    {
        const std::string key = this->prefix + std::to_string(call);
        this->claimManager.claim(
            key, key, SteadyClock::now() + std::chrono::seconds(2),
            [this, key, due = this->dueAt(call)](const ClaimResponse &answer) {
                ++this->answered;
                if (answer.decision != ClaimDecision::Granted)
                    return;
                this->latencies.push_back(
                    std::chrono::duration<double, std::milli>(SteadyClock::now() - due).count());
                this->claimManager.finish(key, key, {200, "text/plain", "ok", true});
            });
    }

    void print()
    {
        const ClaimCounters counters = this->claimManager.counters();
        const auto claims = static_cast<double>(counters.claims);
        std::cout << "rate " << this->benchSettings.rate << "/s, group " << this->benchSettings.group
                  << " above " << this->benchSettings.alone << " requests, window "
                  << this->benchSettings.window << " ms: claims " << counters.claims << ", granted "
                  << counters.granted << ", not run " << counters.notRun << ", rows written per claim "
                  << static_cast<double>(counters.writes.items) / claims << ", write requests per claim "
                  << static_cast<double>(counters.writes.requests) / claims << ", claim p50 "
                  << quantile(this->latencies, 0.5) << " ms, p99 " << quantile(this->latencies, 0.99)
                  << " ms\n";
    }

    const BenchSettings benchSettings;
    boost::asio::io_context context{1};
    PlatformClient client;
    ClaimManager claimManager;
    boost::asio::steady_timer tick;
    const std::string prefix = uniqueText() + "-";
    Instant began;
    std::size_t total = 0;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::vector<double> latencies; // Milliseconds, of granted claims.
};

} // namespace

void measurePublish(const BenchSettings &settings)
{
    PublishBench bench(settings);
    bench.publish("first publish", makeSites(settings, 0));
    const std::uint64_t first = bench.lastVersion;
    bench.publish("one route of the base file", makeSites(settings, 1));
    std::vector<RenderedSite> oneSite = makeSites(settings, 1);
    oneSite[0].sections[0].maximumQueue = 7;
    bench.publish("one cluster of one overlay", std::move(oneSite));
    bench.rollback("rollback", first);
}

void measureClaims(const BenchSettings &settings)
{
    ClaimRun(settings).run();
}

} // namespace Sagecrank
