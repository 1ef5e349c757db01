// What a server of the platform states in its answers, from the emulated server to the gate.
#include "PlatformGate.h"

#include <LibNet/HttpServer.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct SignalRow
{
    const char *what;
    Header header;              // As the emulator states it.
    const char *platformHeader; // As the platform's server does.
    const char *reason;         // Why the gate refuses the next call; empty: it does not.
};

const SignalRow signalRows[] = {
    {"nothing", {"Content-Language", "da"}, "Content-Language", ""},
    {"a limit that the next call would wait for",
     {"Sagecrank-Upstream-Limit", "0.5"},
     "Server-Limit",
     "deadline_too_near"},
    {"a limit with room", {"Sagecrank-Upstream-Limit", "100000"}, "Server-Limit", ""},
    {"that it leaves", {"Sagecrank-Upstream-Leaving", "1"}, "Server-Leaving", "draining"},
};

class SignalFixture : public PlatformGate
{
public:
    explicit SignalFixture(Header header)
        : upstream(this->context, HttpServerSettings{},
                   Platform::wrapPlatformHandler(
                       "i-1", [header](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                           HttpResponse response = makeResponse(200, "text/plain", "body");
                           response.headers.push_back(header);
                           exchange->respond(std::move(response));
                       }))
    {
        cr_assert(this->upstream.listen("127.0.0.1:0").has_value());
        this->gate.announce({"booking", this->upstream.address(), 2, UpstreamCondition::Ready, "i-1", 7, 1});
    }

    CallResponse run(const char *id)
    {
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 1'500'000;
        request.callerCallId = id;
        request.method = "GET";
        request.target = "/slots/";
        return this->call(std::move(request));
    }

    HttpServer upstream;
};

} // namespace

// Guards against statements that the adapter and the gate know by different names.
TABLE_TEST(serverSignals, gateActsOnThem, signalRows)
{
    SignalFixture fixture(row.header);
    const CallResponse first = fixture.run("a1");
    cr_assert(first.outcome == Outcome::Done, "%s", row.what);
    cr_assert(findHeader(first.headers, row.platformHeader) == row.header.value,
              "%s: the caller's node gets the header too", row.what);
    const CallResponse second = fixture.run("a2");
    cr_assert(second.reason == row.reason, "%s: %s", row.what, second.reason.c_str());
    cr_assert(second.outcome == (second.reason.empty() ? Outcome::Done : Outcome::NotRun), "%s", row.what);
    if (second.outcome == Outcome::NotRun)
        cr_assert(second.retryAfterMilliseconds > 0, "%s", row.what);
}
