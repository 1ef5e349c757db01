// Tests how a gate interprets an upstream's responses in the platform's headers.
#include "PlatformGate.h"

#include <LibNet/HttpServer.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct ProofRow
{
    const char *what;
    std::uint32_t status;
    std::vector<Header> headers;
    Outcome outcome;
    std::uint32_t callerStatus;      // Returned to the caller's node.
    const char *echoedCallId = "a1"; // In the response; null: none.
};

const Header stamp{"Server-Stamp", "s"};

const ProofRow proofRows[] = {
    {"its own answer", 200, {stamp}, Outcome::Done, 200},
    {"its own failure", 500, {stamp}, Outcome::Done, 500},
    {"a proof that it did not run", 503, {{"Not-Executed", "1"}}, Outcome::NotRun, 503},
    {"a proof with another status", 429, {{"Not-Executed", "1"}}, Outcome::NotRun, 503},
    {"another start of the upstream", 421, {{"Instance-Id", "i-2"}}, Outcome::NotRun, 503},
    {"a refusal without a proof", 503, {}, Outcome::Unknown, 502},
    {"too many without a proof", 429, {stamp}, Outcome::Unknown, 502},
    {"a success that is not its own", 200, {}, Outcome::Unknown, 502},
    {"a body in a coding nobody asked for",
     200,
     {stamp, {"Content-Encoding", "gzip"}},
     Outcome::Unknown,
     502},
    {"a proof that names no call", 503, {{"Not-Executed", "1"}}, Outcome::Unknown, 502, nullptr},
    {"another start that names no call", 421, {{"Instance-Id", "i-2"}}, Outcome::Unknown, 502, nullptr},
    {"a success that names no call", 200, {stamp}, Outcome::Unknown, 502, nullptr},
    {"a failure that names no call", 500, {stamp}, Outcome::Unknown, 502, nullptr},
};

class ProofFixture : public PlatformGate
{
public:
    explicit ProofFixture(const ProofRow &row)
        : upstream(this->context, HttpServerSettings{},
                   [this, row](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                       this->lastRequest = request;
                       HttpResponse response = makeResponse(row.status, "text/plain", "body");
                       response.headers.insert(response.headers.end(), row.headers.begin(),
                                               row.headers.end());
                       if (row.echoedCallId != nullptr)
                           response.headers.push_back({"Attempt-Id", row.echoedCallId});
                       exchange->respond(std::move(response));
                   })
    {
        cr_assert(this->upstream.listen("127.0.0.1:0").has_value());
        this->gate.announce({"booking", this->upstream.address(), 2, UpstreamCondition::Ready, "i-1", 7, 1});
    }

    CallResponse run()
    {
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 5'000'000;
        request.callerCallId = "a1";
        request.method = "POST";
        request.target = "/pay/?x=1";
        return this->call(std::move(request));
    }

    HttpRequest lastRequest;
    HttpServer upstream;
};

} // namespace

// An upstream is faulty, is another instance than the intended one, or rejects the call. A caller that is
// told "not run" sends the call again, so this requires a proof, and a response without a proof must not
// reach the caller.
TABLE_TEST(gateProof, onlyProofYieldsNotRun, proofRows)
{
    ProofFixture fixture(row);
    const CallResponse response = fixture.run();
    cr_assert(response.outcome == row.outcome && response.status == row.callerStatus, "%s: %u", row.what,
              response.status);
    cr_assert(response.reachedUpstream);
    cr_assert(findHeader(fixture.lastRequest.headers, "Expect-Instance") == "i-1");
    cr_assert(findHeader(fixture.lastRequest.headers, "Attempt-Id") == "a1");
    cr_assert(!findHeader(fixture.lastRequest.headers, "Deadline-Ms").empty());
    cr_assert(fixture.lastRequest.target == "/pay/?x=1");
}

// Another instance of the upstream listens at the address. Until it announces itself, no more calls are sent
// there, since each would cost its caller a useless round trip.
Test(gateProof, nothingIsSentToAnotherInstance)
{
    ProofFixture fixture(proofRows[4]);
    cr_assert(fixture.run().reachedUpstream);
    const CallResponse second = fixture.run();
    cr_assert(second.outcome == Outcome::NotRun && !second.reachedUpstream);
}
