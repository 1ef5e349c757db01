// Tests what counts as evidence against a version, and what does not.
#include <LibRollout/RolloutJudge.h>

#include <Support/TableTest.h>

#include <cmath>

using namespace Sagecrank;

namespace {

const Instant start = Instant() + std::chrono::hours(1);
constexpr std::uint64_t route = 11;
constexpr std::uint64_t otherRoute = 12;

// Reports of both versions, one every 400 ms.
class JudgeFixture
{
public:
    struct Answers
    {
        std::uint32_t calls = 0;
        std::uint32_t failures = 0;
        double seconds = 0.1;
        std::uint64_t kind = route;
    };

    void report(const std::string &source, const std::string &version, const Answers &answers)
    {
        Sums &sums = this->sums[source];
        RouteFigures &figures = sums.routes[answers.kind];
        figures.kind = answers.kind;
        const double timed = figures.calls - figures.failures;
        const double added = answers.calls - answers.failures;
        if (timed + added > 0)
            figures.meanLogSeconds = static_cast<float>(
                (timed * figures.meanLogSeconds + added * std::log(answers.seconds)) / (timed + added));
        figures.varianceLogSeconds = 0.3F;
        figures.calls += answers.calls;
        figures.failures += answers.failures;
        UpstreamReport report{"booking", 7, version, ++sums.number, {}};
        for (const auto &[kind, all] : sums.routes)
            report.routes.push_back(all);
        this->judge.addReport(this->now, source, report);
    }

    void reportEstablished(std::uint32_t calls, std::uint32_t failures, double seconds = 0.1)
    {
        for (int index = 0; index < 8; ++index)
            this->report("old-" + std::to_string(index), "v1", {calls, failures, seconds});
    }

    void pass() { this->now += Milliseconds(400); }
    bool isBad() const { return this->judge.assess(8).isBad(); }

    RolloutJudge judge{"v2"};
    Instant now = start;

private:
    struct Sums
    {
        std::uint32_t number = 0;
        std::map<std::uint64_t, RouteFigures> routes;
    };

    std::map<std::string, Sums> sums;
};

struct JudgeRow
{
    const char *what;
    std::size_t sickTargets;      // Of eight.
    std::uint32_t targetFailures; // Of ten calls in each report.
    double targetSeconds;
    std::uint32_t establishedFailures;
    double establishedSeconds;
    bool bad;
};

const JudgeRow judgeRows[] = {
    {"equal", 8, 0, 0.1, 0, 0.1, false},
    {"half fails", 8, 5, 0.1, 0, 0.1, true},
    {"one upstream fails everything", 1, 10, 0.1, 0, 0.1, false},
    {"one upstream is ten times slower", 1, 0, 1.0, 0, 0.1, false},
    {"all are ten times slower", 8, 0, 1.0, 0, 0.1, true},
    {"all are half as fast", 8, 0, 0.2, 0, 0.1, false},
    {"both fail alike, as when a called service sheds", 8, 4, 0.1, 4, 0.1, false},
    {"both are slow alike", 8, 0, 1.0, 0, 1.0, false},
};

} // namespace

// A version is judged, and not one of its upstreams or a service that both versions call.
TABLE_TEST(rolloutJudge, comparesVersions, judgeRows)
{
    JudgeFixture fixture;
    for (int round = 0; round < 10; ++round) {
        fixture.reportEstablished(30, 3 * row.establishedFailures, row.establishedSeconds);
        for (std::size_t index = 0; index < 8; ++index) {
            const bool sick = index < row.sickTargets;
            fixture.report("new-" + std::to_string(index), "v2",
                           {10, sick ? row.targetFailures : 0, sick ? row.targetSeconds : 0.1});
        }
        fixture.pass();
    }
    cr_assert(fixture.isBad() == row.bad, "%s: %f", row.what, fixture.judge.assess(8).score);
}

// A good start must not outweigh what comes later.
Test(rolloutJudge, noticesAVersionThatTurnsBad)
{
    JudgeFixture fixture;
    const auto play = [&fixture](int rounds, std::uint32_t failures) {
        for (int round = 0; round < rounds; ++round) {
            fixture.reportEstablished(30, 0);
            for (int index = 0; index < 8; ++index)
                fixture.report("new-" + std::to_string(index), "v2", {10, failures});
            fixture.pass();
        }
    };
    play(100, 0);
    cr_assert(!fixture.isBad());
    play(2, 5);
    cr_assert(fixture.isBad());
}

// All other routes of the version are good.
Test(rolloutJudge, noticesOneBadRoute)
{
    JudgeFixture fixture;
    for (int round = 0; round < 10; ++round) {
        fixture.reportEstablished(30, 0);
        for (int index = 0; index < 8; ++index) {
            fixture.report("new-" + std::to_string(index), "v2", {40, 0});
            fixture.report("new-" + std::to_string(index), "v2", {4, 2, 0.1, otherRoute});
        }
        fixture.pass();
    }
    cr_assert(fixture.isBad());
}

// Reports travel in datagrams, which may be repeated or arrive late.
Test(rolloutJudge, repeatedAndLateReportsCountOnce)
{
    JudgeFixture fixture;
    fixture.reportEstablished(100, 0);
    const UpstreamReport first{"booking", 7, "v2", 1, {{route, 4, 1, 0, 0.3F, 0}}};
    const UpstreamReport second{"booking", 7, "v2", 2, {{route, 8, 2, 0, 0.3F, 0}}};
    for (int copy = 0; copy < 20; ++copy)
        fixture.judge.addReport(start, "new-0", second);
    cr_assert(fixture.judge.assess(8).targetCalls == 8);
    const double score = fixture.judge.assess(8).score;
    fixture.judge.addReport(start, "new-0", second);
    cr_assert(fixture.judge.assess(8).score == score);
    cr_assert(first.number < second.number);
}

Test(upstreamReport, travelsAndIsChecked)
{
    UpstreamTally tally;
    for (int call = 0; call < 10; ++call)
        tally.record(route, call < 2, Milliseconds(100));
    UpstreamReport report{"booking", 7, "v2", 1, tally.figures()};
    const Result<UpstreamReport> decoded = decodeReport(encodeReport(report), "peer");
    cr_assert(decoded.has_value());
    cr_assert(decoded.value().routes.size() == 1);
    cr_assert(decoded.value().routes[0].calls == 10);
    cr_assert(decoded.value().routes[0].failures == 2);
    cr_assert(std::abs(decoded.value().routes[0].meanLogSeconds - std::log(0.1F)) < 0.01F);
    report.routes[0].failures = 11;
    cr_assert(!decodeReport(encodeReport(report), "peer").has_value());
    report.routes[0].failures = 0;
    report.routes[0].meanLogSeconds = NAN;
    cr_assert(!decodeReport(encodeReport(report), "peer").has_value());
    cr_assert(!decodeReport("garbage", "peer").has_value());
}

// A report must fit a datagram, however many routes the service has.
Test(upstreamReport, isBounded)
{
    UpstreamTally tally;
    for (std::uint64_t kind = 1; kind < 1000; ++kind)
        tally.record(kind, false, Milliseconds(1));
    const UpstreamReport report{std::string(64, 'c'), 7, std::string(64, 'v'), 1, tally.figures()};
    cr_assert(report.routes.size() == maximumReportedRoutes);
    cr_assert(encodeReport(report).size() <= 900);
}
