// sagecrank-check: reads the histories of one run and judges each promise that must always hold.
// Exit codes: 0 every judged promise holds, 1 one is broken or had nothing to judge, 2 wrong usage,
// 3 a history cannot be read.
#include "Report.h"

#include <LibCommandLine/CommandLine.h>
#include <LibCore/Time.h>

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>
#include <sstream>

using namespace Sagecrank;
namespace options = boost::program_options;

namespace {

constexpr int exitBroken = 1;
constexpr int exitUnreadable = 3;

struct Settings
{
    std::vector<std::string> files;
    std::string points = "all";
    std::int64_t drainMilliseconds = 3000;
    std::int64_t convergenceMilliseconds = 7000;
    std::size_t shownViolations = 5;
    bool json = false;
};

options::options_description describe(Settings &settings)
{
    options::options_description description("sagecrank-check FILES...: judges the histories of one run");
    auto add = description.add_options();
    add("points", options::value(&settings.points)->default_value(settings.points),
        "names of the promises to judge, with commas, or \"all\"");
    add("drain-ms", options::value(&settings.drainMilliseconds)->default_value(settings.drainMilliseconds),
        "how long a leaving upstream may still get work");
    add("convergence-ms",
        options::value(&settings.convergenceMilliseconds)->default_value(settings.convergenceMilliseconds),
        "how long an accepted version may take to be in force everywhere");
    add("show", options::value(&settings.shownViolations)->default_value(settings.shownViolations),
        "violations to print for each promise");
    add("json", options::bool_switch(&settings.json), "print one JSON object");
    add("files", options::value(&settings.files), "histories, one file for each process");
    return description;
}

std::optional<std::vector<Invariant>> pointsFromText(const std::string &text)
{
    std::vector<Invariant> points;
    if (text == "all") {
        for (const auto &[point, name] : invariantNames.rows)
            points.push_back(point);
        return points;
    }
    std::istringstream names(text);
    for (std::string name; std::getline(names, name, ',');) {
        const std::optional<Invariant> point = invariantNames.value(name);
        if (!point) {
            std::cerr << "there is no promise named " << name << "; there are:\n";
            for (const auto &[each, eachName] : invariantNames.rows)
                std::cerr << "  " << eachName << "\n";
            return std::nullopt;
        }
        points.push_back(*point);
    }
    return points;
}

int judge(const Settings &settings, const std::vector<Invariant> &points)
{
    const Result<History> history = readHistoryFiles(settings.files);
    if (!history) {
        std::cerr << history.error().describe() << "\n";
        return exitUnreadable;
    }
    CheckLimits limits;
    limits.drain = Milliseconds(settings.drainMilliseconds);
    limits.convergence = Milliseconds(settings.convergenceMilliseconds);
    std::vector<CheckResult> verdicts;
    bool allHold = true;
    for (const Invariant point : points) {
        verdicts.push_back(checkInvariant(point, history.value(), limits));
        allHold = allHold && verdicts.back().holds();
    }
    if (settings.json)
        printJson(std::cout, history.value(), verdicts);
    else
        printTable(std::cout, history.value(), verdicts, settings.shownViolations);
    return allHold ? 0 : exitBroken;
}

} // namespace

int main(int count, char **arguments)
{
    Settings settings;
    options::positional_options_description files;
    files.add("files", -1);
    options::variables_map values;
    const options::options_description description = describe(settings);
    if (const auto exitCode = readCommandLine(CommandLine{"", description, files}, count, arguments, values))
        return *exitCode;
    const auto points = pointsFromText(settings.points);
    if (settings.files.empty() || !points) {
        std::cerr << description;
        return exitUsage;
    }
    return judge(settings, *points);
}
