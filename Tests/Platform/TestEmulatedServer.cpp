// Tests that the emulated server speaks as the platform's servers do.
#include <Emulators/FakeExchange.h>
#include <Support/TableTest.h>
#include <platform/EmulatedServer.h>

using namespace Sagecrank;

namespace {

struct EchoRow
{
    const char *name;
    const char *expectedInstance;
    std::uint32_t status;
};

const EchoRow echoRows[] = {
    {"a response of the server", "i-1", 200},
    {"a rejection of a request for another instance", "i-2", 421},
};

} // namespace

// A server that states no id where real ones do hides what a node makes of the response.
TABLE_TEST(emulatedServer, everyResponseStatesTheCallId, echoRows)
{
    const HttpHandler handler = Platform::wrapPlatformHandler(
        "i-1", [](const HttpRequest &, const std::shared_ptr<HttpExchange> &inner) {
            inner->respond(makeResponse(200, "text/plain", "ok"));
        });
    const auto exchange = std::make_shared<FakeExchange>();
    handler({"GET", "/", {{"Attempt-Id", "a-1"}, {"Expect-Instance", row.expectedInstance}}, ""}, exchange);
    cr_assert(exchange->response.has_value());
    cr_expect(exchange->response->status == row.status);
    cr_expect(findHeader(exchange->response->headers, "Attempt-Id") == "a-1");
}
