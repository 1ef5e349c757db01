// Fault injection and rate limits of the platform emulator. Under faults the caller's result and the stored
// state differ; the tests check both.
#include "FakeExchange.h"

#include <PlatformEmulator/PlatformService.h>

#include <Support/TableTest.h>

#include <deque>

using namespace Sagecrank;

namespace {

// A platform service with a manual clock and manually run timers.
class PlatformFixture
{
public:
    explicit PlatformFixture(PlatformSettings settings = {})
        : service(
            settings,
            [this](Milliseconds, std::function<void()> step) { this->delayed.push_back(std::move(step)); },
            [this] { return this->now; }, [this](std::string_view json) { this->reportedFaults = json; })
    {
    }

    std::shared_ptr<FakeExchange> send(std::string method, std::string target, std::string body)
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        const auto exchange = std::make_shared<FakeExchange>();
        this->service.handle(request, exchange);
        return exchange;
    }

    std::shared_ptr<FakeExchange> put() { return this->send("PUT", "/bucket/key", "content"); }
    bool stored()
    {
        const auto exchange = this->send("GET", "/bucket/key", "");
        return exchange->response && exchange->response->status == 200;
    }
    void setFaults(std::string json)
    {
        cr_assert(this->send("POST", "/emulator/faults", std::move(json))->response->status == 200);
    }
    void runDelayed()
    {
        while (!this->delayed.empty()) {
            const auto step = this->delayed.front();
            this->delayed.pop_front();
            step();
        }
    }

    Instant now{std::chrono::seconds(1000)};
    std::deque<std::function<void()>> delayed;
    std::string reportedFaults; // The last fault settings that the service reported.
    PlatformService service;
};

enum class CallerResult { Answer200, Answer500, Answer503, Closed, Nothing };

struct FaultCase
{
    const char *faults;
    CallerResult callerResult;
    bool storedAtOnce;
    bool storedAfterDelays; // After every delayed step ran.
};

const FaultCase faultCases[] = {
    {"{}", CallerResult::Answer200, true, true},
    {R"({"down":true})", CallerResult::Closed, false, false},
    {R"({"down":true,"down_answers":true})", CallerResult::Answer503, false, false},
    {R"({"lose_answers":1})", CallerResult::Closed, true, true},
    {R"({"late_writes":1})", CallerResult::Closed, false, true},
    {R"({"reject_writes":true})", CallerResult::Answer500, false, false},
    {R"({"delay_ms":50})", CallerResult::Nothing, false, true},
    {R"({"answer_delay_ms":50})", CallerResult::Nothing, true, true},
};

CallerResult callerResult(const FakeExchange &exchange)
{
    if (exchange.dropped)
        return CallerResult::Closed;
    if (!exchange.response)
        return CallerResult::Nothing;
    if (exchange.response->status == 500)
        return CallerResult::Answer500;
    return exchange.response->status == 503 ? CallerResult::Answer503 : CallerResult::Answer200;
}

const char *const badFaults[] = {
    "",
    "[]",
    R"({"unknown":1})",
    R"({"down":1})",
    R"({"lose_answers":2})",
    R"({"lose_answers":-1})",
    R"({"delay_ms":-1})",
    R"({"seed":"x"})",
};

} // namespace

TABLE_TEST(platformService, faults, faultCases)
{
    PlatformFixture platform;
    platform.setFaults(row.faults);
    const auto exchange = platform.put();
    cr_assert(callerResult(*exchange) == row.callerResult, "%s", row.faults);
    const auto delayedSteps = std::exchange(platform.delayed, {});
    platform.setFaults("{}");
    cr_assert(platform.stored() == row.storedAtOnce, "%s", row.faults);
    platform.delayed = delayedSteps;
    platform.runDelayed();
    cr_assert(platform.stored() == row.storedAfterDelays, "%s", row.faults);
}

Test(platformService, invalidFaultsAreRejected)
{
    PlatformFixture platform;
    for (const char *faults : badFaults)
        cr_assert(platform.send("POST", "/emulator/faults", faults)->response->status == 400, "%s", faults);
    cr_assert(platform.reportedFaults.empty(), "rejected settings are not reported");
}

// The caller disconnects while the platform is slow, and the write is still applied afterwards. Guards
// against an emulator that lets callers treat a missing response as a write that was not applied.
Test(platformService, writeIsAppliedAfterTheCallerDisconnects)
{
    PlatformFixture platform;
    platform.setFaults(R"({"delay_ms":500})");
    const auto exchange = platform.put();
    exchange->disconnectCaller();
    platform.runDelayed();
    platform.setFaults("{}");
    cr_assert(platform.stored());
}

Test(platformService, sameSeedLosesTheSameAnswers)
{
    std::string resultsOfRun[2];
    for (std::string &results : resultsOfRun) {
        PlatformFixture platform;
        platform.setFaults(R"({"lose_answers":0.5,"seed":42})");
        for (int count = 0; count < 64; ++count)
            results += platform.put()->dropped ? 'x' : '.';
    }
    cr_assert(resultsOfRun[0] == resultsOfRun[1]);
    cr_assert(resultsOfRun[0].find('x') != std::string::npos
              && resultsOfRun[0].find('.') != std::string::npos);
}

Test(platformService, rateLimitRefillsUpToOneSecond)
{
    PlatformFixture platform(PlatformSettings{10, 20});
    int accepted = 0;
    for (int count = 0; count < 30; ++count)
        accepted += callerResult(*platform.put()) == CallerResult::Answer200 ? 1 : 0;
    cr_assert(accepted == 10, "%d", accepted);
    cr_assert(platform.stored(), "reads have a separate limit");
    platform.now += Milliseconds(500);
    for (int count = 0; count < 30; ++count)
        accepted += callerResult(*platform.put()) == CallerResult::Answer200 ? 1 : 0;
    cr_assert(accepted == 15, "%d", accepted);
    platform.now += std::chrono::hours(1);
    for (int count = 0; count < 30; ++count)
        accepted += callerResult(*platform.put()) == CallerResult::Answer200 ? 1 : 0;
    cr_assert(accepted == 25, "the burst is limited to one second's worth: %d", accepted);
}

Test(platformService, objectResponsesFollowTheProtocol)
{
    PlatformFixture platform;
    const auto missing = platform.send("GET", "/bucket/none", "");
    cr_assert(missing->response->status == 404
              && missing->response->body.find("NoSuchKey") != std::string::npos);
    const auto stored = platform.put();
    const auto read = platform.send("GET", "/bucket/key", "");
    cr_assert(read->response->body == "content");
    cr_assert(findHeader(read->response->headers, "ETag") == findHeader(stored->response->headers, "ETag"));
    cr_assert(platform.send("DELETE", "/bucket/key", "")->response->status == 204);
    cr_assert(!platform.stored());
    cr_assert(platform.send("PUT", "/bucket", "x")->response->status == 400);
    cr_assert(platform.send("PATCH", "/bucket/key", "x")->response->status == 405);
}

Test(platformService, countersSeparateReadsAndWrites)
{
    PlatformFixture platform;
    platform.put();
    platform.stored();
    platform.stored();
    const std::string counters = platform.send("GET", "/emulator/counters", "")->response->body;
    cr_assert(counters.find(R"({"reads":2,"writes":1,"objects":1,)") == 0, "%s", counters.c_str());
}
