// sagecrank-check: reads the histories of one run and checks the invariants of the mesh.
// Exit codes: 0 every checked invariant holds, 1 an invariant is violated or had no events to check, 2 wrong
// usage, 3 a history cannot be read.
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

constexpr int exitViolated = 1;
constexpr int exitUnreadable = 3;

struct Settings
{
    std::vector<std::string> files;
    std::string invariants = "all";
    std::int64_t drainMilliseconds = 3000;
    std::int64_t convergenceMilliseconds = 7000;
    std::size_t shownViolations = 5;
    bool json = false;
};

options::options_description describe(Settings &settings)
{
    options::options_description description("sagecrank-check FILES...: judges the histories of one run");
    auto add = description.add_options();
    add("points", options::value(&settings.invariants)->default_value(settings.invariants),
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

std::optional<std::vector<Invariant>> parseInvariants(const std::string &text)
{
    std::vector<Invariant> invariants;
    if (text == "all") {
        for (const auto &[invariant, name] : invariantNames.rows)
            invariants.push_back(invariant);
        return invariants;
    }
    std::istringstream names(text);
    for (std::string name; std::getline(names, name, ',');) {
        const std::optional<Invariant> invariant = invariantNames.value(name);
        if (!invariant) {
            std::cerr << "there is no promise named " << name << "; there are:\n";
            for (const auto &[known, knownName] : invariantNames.rows)
                std::cerr << "  " << knownName << "\n";
            return std::nullopt;
        }
        invariants.push_back(*invariant);
    }
    return invariants;
}

int checkHistories(const Settings &settings, const std::vector<Invariant> &invariants)
{
    const Result<History> history = readHistoryFiles(settings.files);
    if (!history) {
        std::cerr << history.error().describe() << "\n";
        return exitUnreadable;
    }
    CheckLimits limits;
    limits.drain = Milliseconds(settings.drainMilliseconds);
    limits.convergence = Milliseconds(settings.convergenceMilliseconds);
    std::vector<CheckResult> results;
    bool allHold = true;
    for (const Invariant invariant : invariants) {
        results.push_back(checkInvariant(invariant, history.value(), limits));
        allHold = allHold && results.back().holds();
    }
    if (settings.json)
        printJson(std::cout, history.value(), results);
    else
        printTable(std::cout, history.value(), results, settings.shownViolations);
    return allHold ? 0 : exitViolated;
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
    const auto invariants = parseInvariants(settings.invariants);
    if (settings.files.empty() || !invariants) {
        std::cerr << description;
        return exitUsage;
    }
    return checkHistories(settings, *invariants);
}
