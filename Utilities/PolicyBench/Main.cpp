// Simulates each policy in every scenario with the fleet sizes of both users, and prints a Markdown table.
#include <PolicyBench/Cost.h>
#include <PolicyBench/Fleet.h>
#include <PolicyBench/Policy.h>
#include <PolicyBench/Report.h>
#include <PolicyBench/Scenario.h>

#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

using namespace Sagecrank;
namespace options = boost::program_options;

namespace {

struct BenchOptions
{
    std::uint32_t seeds = 3;
    bool ablate = false;
    bool summary = false;
    bool cost = false;
    std::uint32_t duration = 0; // In seconds; zero: as in the scenario.
    bool connections = false;
    std::vector<std::string> fleets;
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
};

bool isSelected(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<Policy> selectedPolicies(const BenchOptions &benchOptions)
{
    std::vector<Policy> all{roundRobinPolicy(), leastOutstandingPolicy(), sagecrankPolicy()};
    if (benchOptions.ablate) {
        for (const Policy &policy : ablationPolicies())
            all.push_back(policy);
    }
    std::erase_if(all, [&](const Policy &policy) { return !isSelected(benchOptions.policies, policy.name); });
    return all;
}

// Returns the first selected name that does not exist.
std::optional<std::string> unknownName(const BenchOptions &benchOptions)
{
    std::vector<std::string> known{largeService().name};
    for (const FleetShape &fleet : currentFleets())
        known.push_back(fleet.name);
    for (const Scenario &scenario : scenariosFor(largeService()))
        known.push_back(scenario.name);
    for (const Policy &policy : {roundRobinPolicy(), leastOutstandingPolicy(), sagecrankPolicy()})
        known.push_back(policy.name);
    for (const Policy &policy : ablationPolicies())
        known.push_back(policy.name);
    for (const auto *names : {&benchOptions.fleets, &benchOptions.scenarios, &benchOptions.policies}) {
        for (const std::string &name : *names) {
            if (std::find(known.begin(), known.end(), name) == known.end())
                return name;
        }
    }
    return std::nullopt;
}

Outcome measure(const FleetShape &fleet, const Scenario &scenario, const Policy &policy, std::uint32_t seeds)
{
    Outcome sum;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        sum.add(FakeFleet(fleet, scenario, policy, seed).run());
    return sum;
}

void measureFleet(const FleetShape &fleet, const BenchOptions &benchOptions)
{
    std::cout << "\n" << fleet.name << ", seeds 1 to " << benchOptions.seeds << "\n\n";
    if (benchOptions.summary)
        printSummaryHeader(std::cout);
    else
        printHeader(std::cout);
    for (Scenario scenario : scenariosFor(fleet)) {
        if (!isSelected(benchOptions.scenarios, scenario.name))
            continue;
        scenario.limitedConnections = benchOptions.connections;
        if (benchOptions.duration > 0)
            scenario.duration = std::chrono::seconds(benchOptions.duration);
        for (const Policy &policy : selectedPolicies(benchOptions)) {
            const Outcome outcome = measure(fleet, scenario, policy, benchOptions.seeds);
            const auto print = benchOptions.summary ? printSummary : printRows;
            print(std::cout, scenario.name, policy.name, outcome);
        }
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    BenchOptions benchOptions;
    options::options_description description("Measures placing and admission on a fake fleet.\nOptions");
    auto add = description.add_options();
    add("seeds", options::value(&benchOptions.seeds), "runs for each row, with seeds 1, 2, ... (default 3)");
    add("duration", options::value(&benchOptions.duration), "seconds that callers arrive (default 6)");
    add("ablate", options::bool_switch(&benchOptions.ablate), "also measure ours without one mechanism each");
    add("connections", options::bool_switch(&benchOptions.connections),
        "callers need one of a host's connections (100 or 130) for each call; a new one costs 1 ms");
    add("summary", options::bool_switch(&benchOptions.summary), "one row for all classes together");
    add("cost", options::bool_switch(&benchOptions.cost), "measure only what one decision costs");
    add("fleet", options::value(&benchOptions.fleets),
        "only this fleet (borgbillet, borra-limpio, large); may be given more than once");
    add("scenario", options::value(&benchOptions.scenarios),
        "only this scenario; may be given more than once");
    add("policy", options::value(&benchOptions.policies), "only this policy; may be given more than once");
    options::variables_map values;
    if (const auto exitCode =
            readCommandLine(CommandLine{"", description, {}}, argumentCount, arguments, values))
        return *exitCode;
    if (const std::optional<std::string> unknown = unknownName(benchOptions)) {
        std::cerr << "sagecrank-policy-bench: nothing is named '" << *unknown << "'\n";
        return exitUsage;
    }
    if (benchOptions.cost) {
        printCosts(std::cout);
        return 0;
    }
    if (!benchOptions.fleets.empty() && isSelected(benchOptions.fleets, largeService().name))
        measureFleet(largeService(), benchOptions);
    for (const FleetShape &fleet : currentFleets()) {
        if (isSelected(benchOptions.fleets, fleet.name))
            measureFleet(fleet, benchOptions);
    }
    return 0;
}
