// The upstream emulator: slots, service times, drain completion, and the guarantees of its responses.
#include "FakeExchange.h"

#include <UpstreamEmulator/Announcer.h>
#include <UpstreamEmulator/Answer.h>
#include <UpstreamEmulator/WorkService.h>

#include <Support/TableTest.h>

#include <boost/asio/io_context.hpp>

#include <cmath>
#include <vector>

using namespace Sagecrank;

namespace {

struct DrainCase
{
    int millisecondsSinceDrain;
    std::size_t running;
    std::optional<std::uint64_t> nodeInFlight;
    bool isComplete;
};

const DrainCase drainCases[] = {
    {0, 0, 0, false},
    {2999, 0, 0, false},
    {3000, 0, 0, true},
    {3000, 1, 0, false},
    {3000, 0, 2, false},
    {3000, 0, std::nullopt, true},
    {3000, 1, std::nullopt, false},
    {59'999, 0, 1, false},
    {60'000, 3, 1, true},
};

struct ServiceTimeCase
{
    const char *target;
    int milliseconds;
};

const ServiceTimeCase serviceTimeCases[] = {
    {"/book", 5},
    {"/book/now", 7},
    {"/other", 1},
    {"/book?work_ms=20", 20},
    {"/x?a=1&work_ms=3", 3},
    {"/x?work_ms=-1", 1},
    {"/x?work_ms=abc", 1},
    {"/x?nowork_ms=9", 1},
};

// A single-threaded service whose calls take no time unless they hang.
class UpstreamFixture
{
public:
    explicit UpstreamFixture(std::size_t slots, std::size_t waiting)
        : history("u", true, [this](std::string_view line) { this->lines.emplace_back(line); })
        , service(
              makeSettings(slots, waiting), this->history, [] { return Instant(std::chrono::seconds(1000)); },
              [](std::string_view) {})
    {
    }

    std::shared_ptr<FakeExchange> send(std::string method, std::string target, std::string body,
                                       std::vector<Header> headers = {})
    {
        const auto exchange = std::make_shared<FakeExchange>();
        this->service.handle(
            this->context,
            HttpRequest{std::move(method), std::move(target), std::move(headers), std::move(body)}, exchange);
        this->context.restart();
        this->context.poll();
        return exchange;
    }

    std::shared_ptr<FakeExchange> call(std::vector<Header> headers = {})
    {
        return this->send("GET", "/x", "", std::move(headers));
    }
    void setFaults(std::string json)
    {
        cr_assert(this->send("POST", "/emulator/faults", std::move(json))->response->status == 200);
    }
    void poll()
    {
        this->context.restart();
        this->context.poll();
    }
    int events(std::string_view name) const
    {
        int count = 0;
        for (const std::string &line : this->lines)
            count += line.find("\"e\":\"" + std::string(name) + "\"") != std::string::npos ? 1 : 0;
        return count;
    }

    std::vector<std::string> lines;
    boost::asio::io_context context{1};
    HistoryRecorder history;
    WorkService service;

private:
    static WorkSettings makeSettings(std::size_t slots, std::size_t waiting)
    {
        WorkSettings settings;
        settings.name = "u";
        settings.slots = slots;
        settings.maximumWaiting = waiting;
        return settings;
    }
};

bool notRun(const FakeExchange &exchange)
{
    return exchange.response && exchange.response->status == 503
           && findHeader(exchange.response->headers, "Sagecrank-Outcome") == "not-run";
}

} // namespace

TABLE_TEST(drainEnd, waitsForNodeAndOwnCalls, drainCases)
{
    DrainPolicy drain;
    const Instant began{std::chrono::seconds(10)};
    cr_assert(!drain.isComplete(began + std::chrono::hours(1), 0, 0), "not complete before the drain starts");
    drain.begin(began);
    cr_assert(
        drain.isComplete(began + Milliseconds(row.millisecondsSinceDrain), row.running, row.nodeInFlight)
        == row.isComplete);
}

TABLE_TEST(serviceTime, usesTheLongestPrefixOrTheQuery, serviceTimeCases)
{
    ServiceTime times({{"", 1, WorkDistribution::Fixed},
                       {"/book", 5, WorkDistribution::Fixed},
                       {"/book/now", 7, WorkDistribution::Fixed}},
                      {}, 1);
    cr_assert(times.draw(row.target, Milliseconds(0), 1) == Milliseconds(row.milliseconds));
}

Test(serviceTime, coldStartSlowdownFallsLinearly)
{
    ServiceTime times({{"", 10, WorkDistribution::Fixed}}, ColdStart{Milliseconds(1000), 5}, 1);
    cr_assert(times.draw("/", Milliseconds(0), 1) == Milliseconds(50));
    cr_assert(times.draw("/", Milliseconds(500), 1) == Milliseconds(30));
    cr_assert(times.draw("/", Milliseconds(1000), 1) == Milliseconds(10));
    cr_assert(times.draw("/", Milliseconds(1000), 3) == Milliseconds(30),
              "the slow fault applies after the cold start");
}

Test(serviceTime, distributionsHaveTheConfiguredMean)
{
    for (const char *text : {"=4:exponential", "=4:lognormal"}) {
        ServiceTime times({parsePathServiceTime(text).value()}, {}, 1);
        double sum = 0;
        for (int count = 0; count < 20'000; ++count)
            sum += static_cast<double>(times.draw("/", Milliseconds(0), 1).count()) / 1000;
        cr_assert(std::abs(sum / 20'000 - 4) < 0.2, "%s: %g", text, sum / 20'000);
    }
}

Test(serviceTime, malformedPathsAreRejected)
{
    for (const char *text : {"", "/book", "/book=", "/book=x", "/book=-1", "/book=5:normal", "/book=5:"})
        cr_assert(!parsePathServiceTime(text), "%s", text);
}

Test(workService, excessCallsWaitThenAreShed)
{
    UpstreamFixture upstream(1, 1);
    upstream.setFaults(R"({"hang_share":1})");
    const auto hung = upstream.call();
    upstream.setFaults("{}");
    const auto waiting = upstream.call();
    const auto shed = upstream.call();
    cr_assert(!hung->response && !waiting->response);
    cr_assert(notRun(*shed));
    cr_assert(upstream.events("upstream.began") == 1, "neither the waiting nor the shed call has started");
    hung->disconnectCaller();
    upstream.poll();
    cr_assert(waiting->response && waiting->response->status == 200,
              "the waiting call gets the slot of the cancelled call");
    cr_assert(upstream.service.report().running == 0);
}

Test(workService, answersStateTheLimitAndThatItLeaves)
{
    UpstreamFixture upstream(1, 0);
    const auto header = [&](const char *name) {
        const auto call = upstream.call();
        upstream.poll();
        return std::string(findHeader(call->response->headers, name));
    };
    cr_assert(header("Sagecrank-Upstream-Limit").empty());
    upstream.setFaults(R"({"named_limit":20})");
    cr_assert(header("Sagecrank-Upstream-Limit") == "20");
    cr_assert(upstream.events("upstream.limited") == 1);
    upstream.setFaults(R"({"named_limit":20,"shed_share":1})");
    cr_assert(header("Sagecrank-Upstream-Limit") == "20", "refusals state it too");
    cr_assert(upstream.events("upstream.limited") == 1, "the limit has not changed");
    upstream.setFaults("{}");
    cr_assert(header("Sagecrank-Upstream-Limit").empty());
    cr_assert(header("Sagecrank-Upstream-Leaving").empty());
    upstream.service.beginDrain();
    cr_assert(header("Sagecrank-Upstream-Leaving") == "1");
}

Test(workService, abandonedWaitingCallNeverStarts)
{
    UpstreamFixture upstream(1, 4);
    upstream.setFaults(R"({"hang_share":1})");
    const auto hung = upstream.call();
    const auto waiting = upstream.call();
    waiting->disconnectCaller();
    hung->disconnectCaller();
    upstream.poll();
    cr_assert(upstream.events("upstream.began") == 1);
    cr_assert(upstream.service.report().running == 0 && upstream.service.report().waiting == 0);
}

Test(workService, expiredCallIsNotRun)
{
    UpstreamFixture upstream(1, 1);
    cr_assert(notRun(*upstream.call({{"Sagecrank-Deadline-Ms", "0"}})));
    cr_assert(upstream.events("upstream.began") == 0);
}

Test(workService, shedCallIsNotRecordedAsBegun)
{
    UpstreamFixture upstream(4, 4);
    upstream.setFaults(R"({"shed_share":1})");
    cr_assert(notRun(*upstream.call()));
    cr_assert(upstream.events("upstream.began") == 0);
}

Test(workService, droppedCallRunsAndGetsNoResponse)
{
    UpstreamFixture upstream(4, 4);
    upstream.setFaults(R"({"drop_share":1})");
    const auto exchange = upstream.call();
    cr_assert(exchange->dropped && !exchange->response);
    cr_assert(upstream.events("upstream.began") == 1 && upstream.events("upstream.ended") == 1);
}

Test(workService, misleadingHealthReportsReady)
{
    UpstreamFixture upstream(4, 4);
    upstream.service.beginDrain();
    cr_assert(upstream.send("GET", "/health", "")->response->status == 503);
    upstream.setFaults(R"({"misleading_health":true})");
    cr_assert(upstream.send("GET", "/health", "")->response->status == 200);
}

Test(answer, echoesTheRequest)
{
    const HttpRequest request{"POST", "/book?answer_bytes=100", {{"sagecrank-call-id", "c1"}}, "hello"};
    const std::string body = responseBody(request);
    cr_assert(body.starts_with(
        "call=c1\nmethod=POST\ntarget=/book?answer_bytes=100\nbody=" + historyDigest("hello") + "\n"));
    cr_assert(body.size() == 100);
}
