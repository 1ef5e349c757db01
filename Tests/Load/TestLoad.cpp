// Tests the parts of sagecrank-load: arrival rates, quantiles, random choices, the mix format, and the
// parsing of responses that arrive in pieces.
#include <Load/LatencyHistogram.h>
#include <Load/LoadStatistics.h>
#include <Load/Mix.h>
#include <Load/ResponseReader.h>
#include <Load/Schedule.h>

#include <Support/TableTest.h>

#include <cmath>
#include <string>

using namespace Sagecrank;

namespace {

struct MixRow
{
    const char *text;
    bool accepted;
};

const MixRow mixRows[] = {
    {"check:8:GET:/slots:interactive", true},
    {"book:1:POST:/book:non_idempotent:keyed", true},
    {"list:0.5:GET:/list/{n}:batch", true},
    {"", false},
    {"check:8:GET:/slots", false},
    {"check:0:GET:/slots:interactive", false},
    {"check:x:GET:/slots:interactive", false},
    {"check:nan:GET:/slots:interactive", false},
    {"check:1::/slots:interactive", false},
    {"check:1:GET:slots:interactive", false},
    {"check:1:GET:/slots HTTP/1.1:interactive", false},
    {"check:1:GET:/slots:urgent", false},
    {"check:1:GET:/slots:interactive:unkeyed", false},
};

struct OutcomeRow
{
    unsigned status;
    const char *header;
    FinalOutcome outcome;
};

const OutcomeRow outcomeRows[] = {
    {200, "done", FinalOutcome::Done},      {404, "done", FinalOutcome::Done},
    {500, "done", FinalOutcome::Failed},    {503, "not-run", FinalOutcome::NotRun},
    {404, "not-run", FinalOutcome::NotRun}, {504, "unknown", FinalOutcome::Unknown},
    {200, "", FinalOutcome::Done},          {503, "", FinalOutcome::Failed},
    {504, "", FinalOutcome::Unknown},
};

constexpr std::string_view completeResponse = "HTTP/1.1 503 Service Unavailable\r\n"
                                              "sagecrank-outcome: not-run\r\n"
                                              "Sagecrank-Reason: queue_full\r\n"
                                              "Sagecrank-Retry-After-Ms: 120\r\n"
                                              "Content-Length: 5\r\n\r\n"
                                              "hello";

constexpr std::string_view chunkedResponse = "HTTP/1.1 200 OK\r\n"
                                             "Sagecrank-Replayed: true\r\n"
                                             "Transfer-Encoding: chunked\r\n\r\n"
                                             "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

} // namespace

Test(arrivals, haveTheRequestedRateAndOrder)
{
    for (const ArrivalKind kind : {ArrivalKind::Poisson, ArrivalKind::Uniform}) {
        ArrivalSchedule schedule(kind, 1000, 1);
        Duration last{};
        for (int count = 0; count < 100'000; ++count) {
            const Duration next = schedule.next();
            cr_assert(next >= last);
            last = next;
        }
        const double seconds = std::chrono::duration<double>(last).count();
        cr_assert(std::abs(seconds - 100) < 1.5, "%g", seconds);
    }
}

Test(arrivals, theSameSeedGivesTheSameSchedule)
{
    ArrivalSchedule one(ArrivalKind::Poisson, 50, 9);
    ArrivalSchedule two(ArrivalKind::Poisson, 50, 9);
    for (int count = 0; count < 100; ++count)
        cr_assert(one.next() == two.next());
}

Test(choices, followTheirShares)
{
    std::mt19937_64 random(1);
    const WeightedChoice weighted({3, 1});
    const ZipfChoice even(4, 0);
    const ZipfChoice skewed(4, 1);
    int first[3] = {};
    for (int count = 0; count < 100'000; ++count) {
        first[0] += weighted.draw(random) == 0 ? 1 : 0;
        first[1] += even.draw(random) == 0 ? 1 : 0;
        first[2] += skewed.draw(random) == 0 ? 1 : 0;
    }
    cr_assert(std::abs(first[0] - 75'000) < 1'000, "%d", first[0]);
    cr_assert(std::abs(first[1] - 25'000) < 1'000, "%d", first[1]);
    cr_assert(std::abs(first[2] - 48'000) < 1'000, "1 of 1 + 1/2 + 1/3 + 1/4: %d", first[2]);
}

Test(latencies, quantilesOfAKnownSample)
{
    LatencyHistogram latencies;
    for (int microseconds = 1; microseconds <= 10'000; ++microseconds)
        latencies.record(Microseconds(microseconds));
    const auto isNear = [&](double share, double microseconds) {
        const double got = static_cast<double>(latencies.quantile(share).count()) / 1000;
        return std::abs(got - microseconds) <= microseconds * 0.005;
    };
    cr_assert(isNear(0.5, 5000) && isNear(0.9, 9000) && isNear(0.99, 9900) && isNear(0.999, 9990)
              && isNear(1, 10'000));
}

Test(latencies, mergeAddsCounts)
{
    LatencyHistogram left;
    LatencyHistogram right;
    left.record(Microseconds(10));
    right.record(Microseconds(1000));
    right.record(Duration(-5));
    left.merge(right);
    cr_assert(left.count() == 3);
    cr_assert(left.quantile(0) == Duration(0), "a clock that seems to go back counts as no time");
    cr_assert(LatencyHistogram().quantile(0.99) == Duration(0));
}

TABLE_TEST(mix, entries, mixRows)
{
    cr_assert(parseMixEntry(row.text).has_value() == row.accepted, "%s", row.text);
}

Test(mix, fileErrorsNameTheLine)
{
    const auto mix = parseMix("# calls\ncheck:8:GET:/slots:interactive\n\nbad\n", "mix.txt");
    cr_assert(!mix);
    cr_assert(mix.error().peer == "mix.txt:4", "%s", mix.error().peer.c_str());
}

TABLE_TEST(statistics, outcomes, outcomeRows)
{
    Response response;
    response.status = row.status;
    response.outcome = row.header;
    cr_assert(classifyResponse(response) == row.outcome);
}

Test(responseReader, readsResponsesSplitAnywhere)
{
    ResponseReader reader;
    for (const std::string_view text : {completeResponse, chunkedResponse}) {
        for (std::size_t first = 1; first < text.size(); ++first) {
            reader.reset();
            cr_assert(reader.feed(text.substr(0, first)) == ReadProgress::Incomplete, "cut at %zu", first);
            cr_assert(reader.feed(text.substr(first)) == ReadProgress::Complete, "cut at %zu", first);
            cr_assert(reader.response().body == "hello");
            cr_assert(reader.response().replayed == (text == chunkedResponse));
        }
    }
    reader.reset();
    cr_assert(reader.feed(completeResponse) == ReadProgress::Complete);
    cr_assert(reader.response().status == 503 && reader.response().outcome == "not-run");
    cr_assert(reader.response().reason == "queue_full" && reader.response().retryAfterMilliseconds == 120);
}

Test(responseReader, unexpectedBytesAreMalformed)
{
    ResponseReader reader;
    cr_assert(reader.feed(std::string(completeResponse) + "HTTP/1.1 200 OK\r\n") == ReadProgress::Malformed);
    reader.reset();
    cr_assert(reader.feed("SSH-2.0-OpenSSH\r\n\r\n") == ReadProgress::Malformed);
}
