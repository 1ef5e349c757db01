// Which requests are kept from upstreams, and which broken connections count as a crash.
#include <LibDecide/CrashQuarantine.h>

#include <Support/TableTest.h>

#include <string>
#include <vector>

using namespace Sagecrank;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const Instant start = Instant() + std::chrono::hours(1);

struct VerdictRow
{
    const char *what;
    std::vector<CrashReportState> reports; // Of crashes one after the other, one second apart.
    bool refused;
};

const VerdictRow verdictRows[] = {
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

enum class Step : std::uint8_t { Break, Answer, End };

struct WitnessRow
{
    const char *what;
    std::vector<std::pair<Step, Milliseconds>> steps; // An answer is to a call that was sent at its time.
    std::size_t reported;                             // Requests, at the last end.
};

const WitnessRow witnessRows[] = {
    {"it ends after the connection broke", {{Step::Break, Milliseconds(0)}, {Step::End, Milliseconds(5)}}, 1},
    {"two calls ran",
     {{Step::Break, Milliseconds(0)}, {Step::Break, Milliseconds(1)}, {Step::End, Milliseconds(5)}},
     2},
    {"only the connection broke",
     {{Step::Break, Milliseconds(0)}, {Step::Answer, Milliseconds(5)}, {Step::End, Milliseconds(90)}},
     0},
    {"an answer was on its way when it ended",
     {{Step::Break, Milliseconds(10)}, {Step::Answer, Milliseconds(5)}, {Step::End, Milliseconds(90)}},
     1},
    {"it ended long after", {{Step::Break, Milliseconds(0)}, {Step::End, Milliseconds(11'000)}}, 0},
    {"it is found gone twice",
     {{Step::Break, Milliseconds(0)}, {Step::End, Milliseconds(5)}, {Step::End, Milliseconds(6)}},
     0},
};

} // namespace

// A request ends one upstream after the other: it must be refused, and one that ran beside it must not.
TABLE_TEST(crashQuarantine, refusesWhatRanAtEachCrash, verdictRows)
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

// The refusal ends when too few of the crashes are still held against the request.
Test(crashQuarantine, endsWithTheCrashesItRestsOn)
{
    std::vector<CrashReport> reports;
    for (std::uint64_t crash = 0; crash < 4; ++crash)
        reports.push_back({7, crash, CrashReportState::Crashed, start + minutes(crash + 1)});
    const CrashQuarantine quarantine(reports);
    cr_assert(quarantine.refusedUntil(7, start) == start + minutes(2));
    cr_assert(quarantine.refusedUntil(7, start + minutes(1)) == start + minutes(2));
    cr_assert(!quarantine.refusedUntil(7, start + minutes(2)));
}

// A lost answer or a reset connection must not pass for a crash.
TABLE_TEST(crashWitness, tellsACrashFromABrokenConnection, witnessRows)
{
    CrashDetector witness;
    std::size_t reported = 0;
    RequestFingerprint request = 0;
    for (const auto &[step, at] : row.steps) {
        if (step == Step::Break)
            witness.recordBrokenConnection(start + at, ++request);
        if (step == Step::Answer)
            witness.recordAnswer(start + at);
        if (step == Step::End)
            reported = witness.recordUpstreamExit(start + at).size();
    }
    cr_assert(reported == row.reported, "%s", row.what);
}
