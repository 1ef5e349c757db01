// Which requests are quarantined, and which broken connections count as a crash.
#include <LibDecide/CrashQuarantine.h>

#include <Support/TableTest.h>

#include <string>
#include <vector>

using namespace Sagecrank;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const Instant start = Instant() + std::chrono::hours(1);

struct QuarantineRow
{
    const char *what;
    std::vector<CrashReportState> reports; // One for each crash; their expiries are one second apart.
    bool refused;
};

const QuarantineRow quarantineRows[] = {
    {"nothing is known", {}, false},
    {"two crashes", {CrashReportState::Crashed, CrashReportState::Crashed}, false},
    {"three crashes", {3, CrashReportState::Crashed}, true},
    {"three crashes, one before an answer",
     {CrashReportState::Cleared, CrashReportState::Crashed, CrashReportState::Crashed},
     false},
    {"five crashes, two before an answer",
     {CrashReportState::Cleared, CrashReportState::Cleared, CrashReportState::Crashed,
      CrashReportState::Crashed, CrashReportState::Crashed},
     true},
};

enum class Step : std::uint8_t { Break, Answer, Exit };

struct DetectorRow
{
    const char *what;
    std::vector<std::pair<Step, Milliseconds>> steps; // The time of an answer is when its call was sent.
    std::size_t reported;                             // Requests returned at the last exit.
};

const DetectorRow detectorRows[] = {
    {"it exits after the connection broke",
     {{Step::Break, Milliseconds(0)}, {Step::Exit, Milliseconds(5)}},
     1},
    {"two calls ran",
     {{Step::Break, Milliseconds(0)}, {Step::Break, Milliseconds(1)}, {Step::Exit, Milliseconds(5)}},
     2},
    {"only the connection broke",
     {{Step::Break, Milliseconds(0)}, {Step::Answer, Milliseconds(5)}, {Step::Exit, Milliseconds(90)}},
     0},
    {"an answer was in transit when it exited",
     {{Step::Break, Milliseconds(10)}, {Step::Answer, Milliseconds(5)}, {Step::Exit, Milliseconds(90)}},
     1},
    {"it exited long after", {{Step::Break, Milliseconds(0)}, {Step::Exit, Milliseconds(11'000)}}, 0},
    {"its exit is seen twice",
     {{Step::Break, Milliseconds(0)}, {Step::Exit, Milliseconds(5)}, {Step::Exit, Milliseconds(6)}},
     0},
};

} // namespace

// A request that crashes one upstream after another must be refused, and one that ran next to it once must
// not.
TABLE_TEST(crashQuarantine, refusesRequestRunningAtEveryCrash, quarantineRows)
{
    constexpr RequestFingerprint request = 7;
    std::vector<CrashReport> reports;
    for (const CrashReportState state : row.reports)
        reports.push_back({request, reports.size(), state, start + minutes(10) + seconds(reports.size())});
    reports.push_back({8, 0, CrashReportState::Crashed, start + minutes(10)});
    const CrashQuarantine quarantine(reports);
    cr_assert(quarantine.refusedUntil(request, start).has_value() == row.refused, "%s", row.what);
    cr_assert(!quarantine.refusedUntil(8, start));
    cr_assert(quarantine.refusedRequests().size() == (row.refused ? 1 : 0));
}

// The refusal ends when too few crashes of the request are left.
Test(crashQuarantine, endsWhenTooFewCrashesRemain)
{
    std::vector<CrashReport> reports;
    for (std::uint64_t crash = 0; crash < 4; ++crash)
        reports.push_back({7, crash, CrashReportState::Crashed, start + minutes(crash + 1)});
    const CrashQuarantine quarantine(reports);
    cr_assert(quarantine.refusedUntil(7, start) == start + minutes(2));
    cr_assert(quarantine.refusedUntil(7, start + minutes(1)) == start + minutes(2));
    cr_assert(!quarantine.refusedUntil(7, start + minutes(2)));
}

// A lost answer or a reset connection must not count as a crash.
TABLE_TEST(crashDetector, distinguishesCrashFromBrokenConnection, detectorRows)
{
    CrashDetector detector;
    std::size_t reported = 0;
    RequestFingerprint request = 0;
    for (const auto &[step, at] : row.steps) {
        if (step == Step::Break)
            detector.recordBrokenConnection(start + at, ++request);
        if (step == Step::Answer)
            detector.recordAnswer(start + at);
        if (step == Step::Exit)
            reported = detector.recordUpstreamExit(start + at).size();
    }
    cr_assert(reported == row.reported, "%s", row.what);
}
