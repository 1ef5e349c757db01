// Implements Scenario.h.
#include <PolicyBench/Scenario.h>

#include <algorithm>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

// Interactive: slot checks and crew lookups; non-idempotent: reservations and invoices; batch: group lookups
// and archive reads.
constexpr std::array<ClassLoad, 3> usualMix{
    ClassLoad{0.75, 4ms, 100ms},
    ClassLoad{0.20, 10ms, 400ms},
    ClassLoad{0.05, 40ms, 4s},
};

// A batch call runs a hundred times as long as an interactive call.
constexpr std::array<ClassLoad, 3> longBatchMix{
    ClassLoad{0.78, 4ms, 100ms},
    ClassLoad{0.20, 10ms, 400ms},
    ClassLoad{0.02, 400ms, 10s},
};

Scenario makeScenario(std::string name, double load)
{
    Scenario scenario;
    scenario.name = std::move(name);
    scenario.load = load;
    scenario.classes = usualMix;
    return scenario;
}

// One server of each service has the fault.
Scenario makeFaultScenario(std::string name, double load, FaultKind kind, double factor,
                           const FleetShape &fleet)
{
    Scenario scenario = makeScenario(std::move(name), load);
    for (std::uint32_t service = 0; service < fleet.servers.size(); ++service)
        scenario.faults.push_back(Fault{kind, service, 0, 1500ms, 4500ms, factor});
    return scenario;
}

// Half of the servers of each service restart at once, as after the loss of a rack.
Scenario makeColdStart(const FleetShape &fleet)
{
    Scenario scenario = makeScenario("cold-start", 0.5);
    for (std::uint32_t service = 0; service < fleet.servers.size(); ++service) {
        for (std::uint32_t server = 0; server < fleet.servers[service] / 2; ++server)
            scenario.faults.push_back(Fault{FaultKind::Restarts, service, server, 1500ms, 4s, 6});
    }
    return scenario;
}

void addFaultToAllServers(Scenario &scenario, const FleetShape &fleet, FaultKind kind, Duration from,
                          Duration until, double factor)
{
    for (std::uint32_t service = 0; service < fleet.servers.size(); ++service) {
        for (std::uint32_t server = 0; server < fleet.servers[service]; ++server)
            scenario.faults.push_back(Fault{kind, service, server, from, until, factor});
    }
}

// Every server sheds load above half of its announced slots.
Scenario makeAllShed(const FleetShape &fleet)
{
    Scenario scenario = makeScenario("all-shed", 0.45);
    addFaultToAllServers(scenario, fleet, FaultKind::Sheds, 1500ms, 4500ms, 0.5);
    return scenario;
}

// A shared dependency is slow for two seconds: all calls run thirty times longer.
Scenario makeAllSlow(const FleetShape &fleet)
{
    Scenario scenario = makeScenario("all-slow", 0.6);
    addFaultToAllServers(scenario, fleet, FaultKind::Slow, 1500ms, 3500ms, 30);
    return scenario;
}

// Every server names a limit, together a fifth below the demand.
Scenario makeAllNameLimits(const FleetShape &fleet)
{
    Scenario scenario = makeScenario("all-name-limits", 0.6);
    addFaultToAllServers(scenario, fleet, FaultKind::NamesLimit, 1500ms, 4500ms, 0.48);
    return scenario;
}

} // namespace

Duration Scenario::meanRunTime() const
{
    double seconds = 0;
    for (const ClassLoad &load : this->classes)
        seconds += load.share * std::chrono::duration<double>(load.runTime).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<FleetShape> currentFleets()
{
    return {
        FleetShape{"borgbillet", {5, 3}, 6, 3, 500us, 1ms, 100},
        FleetShape{"borra-limpio", {7, 5}, 12, 4, 500us, 3ms, 130},
    };
}

FleetShape largeService()
{
    return FleetShape{"large", {60}, 6, 5, 500us, 1ms, 100};
}

std::vector<Scenario> scenariosFor(const FleetShape &fleet)
{
    std::vector<Scenario> scenarios;
    scenarios.push_back(makeScenario("steady", 0.6));

    Scenario burst = makeScenario("burst", 0.4);
    burst.burstFactor = 6;
    burst.burstInterval = 1s;
    burst.burstDuration = 150ms;
    scenarios.push_back(burst);

    scenarios.push_back(makeScenario("saturation", 1.6));

    Scenario mixed = makeScenario("long-and-short", 0.85);
    mixed.classes = longBatchMix;
    scenarios.push_back(mixed);

    Scenario skew = makeScenario("skew", 0.75);
    skew.singleEntryZone = true;
    scenarios.push_back(skew);

    scenarios.push_back(makeFaultScenario("slow", 0.6, FaultKind::Slow, 8, fleet));
    scenarios.push_back(makeFaultScenario("fails-fast", 0.6, FaultKind::FailsFast, 1, fleet));
    scenarios.push_back(makeFaultScenario("sheds", 0.6, FaultKind::Sheds, 0.34, fleet));
    scenarios.push_back(makeAllShed(fleet));
    scenarios.push_back(makeAllSlow(fleet));
    scenarios.push_back(makeColdStart(fleet));
    scenarios.push_back(makeFaultScenario("drain", 0.6, FaultKind::Drains, 1, fleet));
    scenarios.push_back(makeFaultScenario("silent", 0.5, FaultKind::Silent, 1, fleet));
    scenarios.push_back(makeFaultScenario("named-limit", 0.6, FaultKind::NamesLimit, 0.4, fleet));
    scenarios.push_back(makeAllNameLimits(fleet));
    return scenarios;
}

Scenario findScenario(const FleetShape &fleet, const std::string &name)
{
    const std::vector<Scenario> all = scenariosFor(fleet);
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const Scenario &each) { return each.name == name; });
    return found == all.end() ? all.front() : *found;
}

} // namespace Sagecrank
