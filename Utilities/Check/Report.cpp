#include "Report.h"

#include <boost/json.hpp>

#include <iomanip>
#include <string_view>

namespace Sagecrank {

namespace json = boost::json;

namespace {

constexpr int nameWidth = 24;
constexpr int numberWidth = 9;

std::string_view resultText(const CheckResult &verdict)
{
    if (!verdict.violations.empty())
        return "BROKEN";
    return verdict.vacuous() ? "VACUOUS" : "holds";
}

std::uint64_t originOf(const History &history)
{
    return history.records.empty() ? 0 : history.records.front().time;
}

void printViolations(std::ostream &out, const History &history, const CheckResult &verdict, std::size_t shown)
{
    for (const Violation &violation : verdict.violations) {
        if (shown-- == 0)
            break;
        out << "\n" << invariantNames.name(verdict.invariant) << ": " << violation.text << "\n";
        for (const HistoryRecord *record : violation.evidence)
            out << "    " << describeRecord(*record, originOf(history)) << "\n";
    }
}

void printTotals(std::ostream &out, const CallTotals &totals)
{
    out << "calls " << totals.sent << " (keyed " << totals.keyed << "): done " << totals.done << " (replayed "
        << totals.replayed << "), not-run " << totals.notRun << ", unknown " << totals.unknown << ", lost "
        << totals.lost << "\n"
        << "drains " << totals.drains << " with " << totals.inFlightAtDrain
        << " calls in flight; versions accepted " << totals.versionsAccepted << "\n";
}

json::object totalsJson(const CallTotals &totals)
{
    return {{"sent", totals.sent},
            {"keyed", totals.keyed},
            {"done", totals.done},
            {"replayed", totals.replayed},
            {"not_run", totals.notRun},
            {"unknown", totals.unknown},
            {"lost", totals.lost},
            {"drains", totals.drains},
            {"in_flight_at_drain", totals.inFlightAtDrain},
            {"versions_accepted", totals.versionsAccepted}};
}

} // namespace

void printTable(std::ostream &out, const History &history, const std::vector<CheckResult> &verdicts,
                std::size_t shownViolations)
{
    out << std::left << std::setw(nameWidth) << "promise" << std::right << std::setw(numberWidth) << "judged"
        << std::setw(numberWidth) << "broken"
        << "  result\n";
    for (const CheckResult &verdict : verdicts) {
        out << std::left << std::setw(nameWidth) << invariantNames.name(verdict.invariant) << std::right
            << std::setw(numberWidth) << verdict.eventsChecked << std::setw(numberWidth)
            << verdict.violations.size() << "  " << resultText(verdict);
        if (!verdict.note.empty())
            out << " (" << verdict.note << ")";
        out << "\n";
    }
    out << history.records.size() << " events of " << history.lifetimes << " processes, "
        << history.truncatedLines << " unfinished last lines\n";
    printTotals(out, countCalls(history));
    for (const CheckResult &verdict : verdicts)
        printViolations(out, history, verdict, shownViolations);
}

void printJson(std::ostream &out, const History &history, const std::vector<CheckResult> &verdicts)
{
    json::array rows;
    for (const CheckResult &verdict : verdicts) {
        json::array violations;
        for (const Violation &violation : verdict.violations)
            violations.emplace_back(violation.text);
        rows.push_back(json::object{{"promise", invariantNames.name(verdict.invariant)},
                                    {"judged", verdict.eventsChecked},
                                    {"result", resultText(verdict)},
                                    {"note", verdict.note},
                                    {"violations", std::move(violations)}});
    }
    out << json::serialize(json::object{{"events", history.records.size()},
                                        {"processes", history.lifetimes},
                                        {"torn", history.truncatedLines},
                                        {"calls", totalsJson(countCalls(history))},
                                        {"promises", std::move(rows)}})
        << "\n";
}

} // namespace Sagecrank
