// Formats the results of the checkers as a table and as JSON.
#include "Report.h"

#include <boost/json.hpp>

#include <iomanip>
#include <string_view>

namespace Sagecrank {

namespace json = boost::json;

namespace {

constexpr int nameWidth = 24;
constexpr int numberWidth = 9;

std::string_view statusText(const CheckResult &result)
{
    if (!result.violations.empty())
        return "BROKEN";
    return result.vacuous() ? "VACUOUS" : "holds";
}

std::uint64_t startTime(const History &history)
{
    return history.records.empty() ? 0 : history.records.front().time;
}

void printViolations(std::ostream &out, const History &history, const CheckResult &result,
                     std::size_t maximumShown)
{
    for (const Violation &violation : result.violations) {
        if (maximumShown-- == 0)
            break;
        out << "\n" << invariantNames.name(result.invariant) << ": " << violation.text << "\n";
        for (const HistoryRecord *record : violation.evidence)
            out << "    " << describeRecord(*record, startTime(history)) << "\n";
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

void printTable(std::ostream &out, const History &history, const std::vector<CheckResult> &results,
                std::size_t shownViolations)
{
    out << std::left << std::setw(nameWidth) << "promise" << std::right << std::setw(numberWidth) << "judged"
        << std::setw(numberWidth) << "broken"
        << "  result\n";
    for (const CheckResult &result : results) {
        out << std::left << std::setw(nameWidth) << invariantNames.name(result.invariant) << std::right
            << std::setw(numberWidth) << result.eventsChecked << std::setw(numberWidth)
            << result.violations.size() << "  " << statusText(result);
        if (!result.note.empty())
            out << " (" << result.note << ")";
        out << "\n";
    }
    out << history.records.size() << " events of " << history.lifetimes << " processes, "
        << history.truncatedLines << " unfinished last lines\n";
    printTotals(out, countCalls(history));
    for (const CheckResult &result : results)
        printViolations(out, history, result, shownViolations);
}

void printJson(std::ostream &out, const History &history, const std::vector<CheckResult> &results)
{
    json::array rows;
    for (const CheckResult &result : results) {
        json::array violations;
        for (const Violation &violation : result.violations)
            violations.emplace_back(violation.text);
        rows.push_back(json::object{{"promise", invariantNames.name(result.invariant)},
                                    {"judged", result.eventsChecked},
                                    {"result", statusText(result)},
                                    {"note", result.note},
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
