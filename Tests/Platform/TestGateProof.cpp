// What a gate makes of its upstream's answers, in the platform's headers.
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
    std::uint32_t answered; // What the caller's node is given.
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
};

class ProofFixture : public PlatformGate
{
public:
    explicit ProofFixture(const ProofRow &row)
        : upstream(this->context, HttpServerSettings{},
                   [this, row](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                       this->seen = request;
                       HttpResponse response = makeResponse(row.status, "text/plain", "body");
                       response.headers.insert(response.headers.end(), row.headers.begin(),
                                               row.headers.end());
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
        return this->ask(std::move(request));
    }

    HttpRequest seen;
    HttpServer upstream;
};

} // namespace

// An upstream is faulty, is another one than was meant, or refuses. A caller that is told "not run" sends a
// booking again, so only a proof may become that word; and bytes that are no proven answer must not reach it
// as one.
TABLE_TEST(gateProof, onlyAProofBecomesNotRun, proofRows)
{
    ProofFixture fixture(row);
    const CallResponse response = fixture.run();
    cr_assert(response.outcome == row.outcome && response.status == row.answered, "%s: %u", row.what,
              response.status);
    cr_assert(response.reachedUpstream);
    cr_assert(findHeader(fixture.seen.headers, "Expect-Instance") == "i-1");
    cr_assert(findHeader(fixture.seen.headers, "Attempt-Id") == "a1");
    cr_assert(!findHeader(fixture.seen.headers, "Deadline-Ms").empty());
    cr_assert(fixture.seen.target == "/pay/?x=1");
}

// The address has gone to another start of the upstream. Until that one announces itself, nothing more is
// sent there: each call would cost its caller a round trip for nothing.
Test(gateProof, nothingMoreGoesToAnotherStart)
{
    ProofFixture fixture(proofRows[4]);
    cr_assert(fixture.run().reachedUpstream);
    const CallResponse second = fixture.run();
    cr_assert(second.outcome == Outcome::NotRun && !second.reachedUpstream);
}
