// The platform's outages and limits: what the caller sees and what is true afterwards differ, and that
// difference is what the system has to live with.
#include "FakeExchange.h"

#include <PlatformEmulator/PlatformService.h>

#include <Support/TableTest.h>

#include <deque>

using namespace Sagecrank;

namespace {

// A platform with a clock and timers of the test's own.
class Platform
{
public:
    explicit Platform(PlatformSettings settings = {})
        : service(
            settings,
            [this](Milliseconds, std::function<void()> step) { this->delayed.push_back(std::move(step)); },
            [this] { return this->now; }, [this](std::string_view json) { this->faultsSeen = json; })
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
    void fault(std::string json)
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
    std::string faultsSeen; // The last change that the service told of.
    PlatformService service;
};

enum class Seen { Answer200, Answer500, Answer503, Closed, Nothing };

struct FaultRow
{
    const char *faults;
    Seen seenAtOnce;
    bool effectAtOnce;
    bool effectLater; // After every delay has passed.
};

const FaultRow faultRows[] = {
    {"{}", Seen::Answer200, true, true},
    {R"({"down":true})", Seen::Closed, false, false},
    {R"({"down":true,"down_answers":true})", Seen::Answer503, false, false},
    {R"({"lose_answers":1})", Seen::Closed, true, true},
    {R"({"late_writes":1})", Seen::Closed, false, true},
    {R"({"reject_writes":true})", Seen::Answer500, false, false},
    {R"({"delay_ms":50})", Seen::Nothing, false, true},
    {R"({"answer_delay_ms":50})", Seen::Nothing, true, true},
};

Seen seen(const FakeExchange &exchange)
{
    if (exchange.dropped)
        return Seen::Closed;
    if (!exchange.response)
        return Seen::Nothing;
    if (exchange.response->status == 500)
        return Seen::Answer500;
    return exchange.response->status == 503 ? Seen::Answer503 : Seen::Answer200;
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

TABLE_TEST(platformService, faults, faultRows)
{
    Platform platform;
    platform.fault(row.faults);
    const auto exchange = platform.put();
    cr_assert(seen(*exchange) == row.seenAtOnce, "%s", row.faults);
    const auto waiting = std::exchange(platform.delayed, {});
    platform.fault("{}");
    cr_assert(platform.stored() == row.effectAtOnce, "%s", row.faults);
    platform.delayed = waiting;
    platform.runDelayed();
    cr_assert(platform.stored() == row.effectLater, "%s", row.faults);
}

Test(platformService, faultsThatDoNotCheckAreRefused)
{
    Platform platform;
    for (const char *faults : badFaults)
        cr_assert(platform.send("POST", "/emulator/faults", faults)->response->status == 400, "%s", faults);
    cr_assert(platform.faultsSeen.empty(), "what is refused is not told of");
}

// The caller gives its write up and closes the connection while the platform is slow. The write still takes
// effect afterwards, so that "no answer" never means "no effect".
Test(platformService, aWriteThatWasGivenUpOnStillLands)
{
    Platform platform;
    platform.fault(R"({"delay_ms":500})");
    const auto exchange = platform.put();
    exchange->abandon();
    platform.runDelayed();
    platform.fault("{}");
    cr_assert(platform.stored());
}

Test(platformService, theSameSeedLosesTheSameAnswers)
{
    std::string fates[2];
    for (std::string &fate : fates) {
        Platform platform;
        platform.fault(R"({"lose_answers":0.5,"seed":42})");
        for (int count = 0; count < 64; ++count)
            fate += platform.put()->dropped ? 'x' : '.';
    }
    cr_assert(fates[0] == fates[1]);
    cr_assert(fates[0].find('x') != std::string::npos && fates[0].find('.') != std::string::npos);
}

Test(platformService, ratesAreBoundedAndRecover)
{
    Platform platform(PlatformSettings{10, 20});
    int taken = 0;
    for (int count = 0; count < 30; ++count)
        taken += seen(*platform.put()) == Seen::Answer200 ? 1 : 0;
    cr_assert(taken == 10, "%d", taken);
    cr_assert(platform.stored(), "reads have a limit of their own");
    platform.now += Milliseconds(500);
    for (int count = 0; count < 30; ++count)
        taken += seen(*platform.put()) == Seen::Answer200 ? 1 : 0;
    cr_assert(taken == 15, "%d", taken);
    platform.now += std::chrono::hours(1);
    for (int count = 0; count < 30; ++count)
        taken += seen(*platform.put()) == Seen::Answer200 ? 1 : 0;
    cr_assert(taken == 25, "at most one second's worth is saved up: %d", taken);
}

Test(platformService, objectsAnswerAsTheStoreDoes)
{
    Platform platform;
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

Test(platformService, countersTellReadsFromWrites)
{
    Platform platform;
    platform.put();
    platform.stored();
    platform.stored();
    const std::string counters = platform.send("GET", "/emulator/counters", "")->response->body;
    cr_assert(counters.find(R"({"reads":2,"writes":1,"objects":1,)") == 0, "%s", counters.c_str());
}
