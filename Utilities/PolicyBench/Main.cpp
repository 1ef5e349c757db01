// Measures each policy at both users' sizes and in every scenario, and prints a Markdown table.
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

struct Request
{
    std::uint32_t seeds = 3;
    bool ablate = false;
    bool summary = false;
    bool cost = false;
    std::uint32_t duration = 0; // Seconds; zero keeps the scenario's own.
    bool connections = false;
    std::vector<std::string> fleets;
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
};

bool wanted(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<Policy> chosenPolicies(const Request &request)
{
    std::vector<Policy> all{roundRobin(), leastOutstanding(), ours()};
    if (request.ablate) {
        for (const Policy &policy : ablations())
            all.push_back(policy);
    }
    std::erase_if(all, [&](const Policy &policy) { return !wanted(request.policies, policy.name); });
    return all;
}

// The first name that was asked for and does not exist.
std::optional<std::string> unknownName(const Request &request)
{
    std::vector<std::string> known{largeService().name};
    for (const FleetShape &fleet : todaysFleets())
        known.push_back(fleet.name);
    for (const Scenario &scenario : scenariosFor(largeService()))
        known.push_back(scenario.name);
    for (const Policy &policy : {roundRobin(), leastOutstanding(), ours()})
        known.push_back(policy.name);
    for (const Policy &policy : ablations())
        known.push_back(policy.name);
    for (const auto *names : {&request.fleets, &request.scenarios, &request.policies}) {
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

void measureFleet(const FleetShape &fleet, const Request &request)
{
    std::cout << "\n" << fleet.name << ", seeds 1 to " << request.seeds << "\n\n";
    if (request.summary)
        printSummaryHeader(std::cout);
    else
        printHeader(std::cout);
    for (Scenario scenario : scenariosFor(fleet)) {
        if (!wanted(request.scenarios, scenario.name))
            continue;
        scenario.limitedConnections = request.connections;
        if (request.duration > 0)
            scenario.duration = std::chrono::seconds(request.duration);
        for (const Policy &policy : chosenPolicies(request)) {
            const Outcome outcome = measure(fleet, scenario, policy, request.seeds);
            const auto print = request.summary ? printSummary : printRows;
            print(std::cout, scenario.name, policy.name, outcome);
        }
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    Request request;
    options::options_description description("Measures placing and admission on a fake fleet.\nOptions");
    auto add = description.add_options();
    add("seeds", options::value(&request.seeds), "runs for each row, with seeds 1, 2, ... (default 3)");
    add("duration", options::value(&request.duration), "seconds that callers arrive (default 6)");
    add("ablate", options::bool_switch(&request.ablate), "also measure ours without one mechanism each");
    add("connections", options::bool_switch(&request.connections),
        "callers need one of a host's connections (100 or 130) for each call; a new one costs 1 ms");
    add("summary", options::bool_switch(&request.summary), "one row for all classes together");
    add("cost", options::bool_switch(&request.cost), "measure only what one decision costs");
    add("fleet", options::value(&request.fleets),
        "only this fleet (borgbillet, borra-limpio, large); may be given more than once");
    add("scenario", options::value(&request.scenarios), "only this scenario; may be given more than once");
    add("policy", options::value(&request.policies), "only this policy; may be given more than once");
    options::variables_map values;
    if (const auto exitCode =
            readCommandLine(CommandLine{"", description, {}}, argumentCount, arguments, values))
        return *exitCode;
    if (const std::optional<std::string> unknown = unknownName(request)) {
        std::cerr << "sagecrank-policy-bench: nothing is named '" << *unknown << "'\n";
        return exitUsage;
    }
    if (request.cost) {
        printCosts(std::cout);
        return 0;
    }
    if (!request.fleets.empty() && wanted(request.fleets, largeService().name))
        measureFleet(largeService(), request);
    for (const FleetShape &fleet : todaysFleets()) {
        if (wanted(request.fleets, fleet.name))
            measureFleet(fleet, request);
    }
    return 0;
}
