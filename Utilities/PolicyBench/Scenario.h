// The fleets and the loads that policies are measured at: both users' sizes of today, and the faults and
// kinds of demand that the decisions are made for.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

struct FleetShape
{
    std::string name;
    std::vector<std::uint32_t> servers; // For each service.
    std::uint32_t slots;
    std::uint32_t zones;
    Duration crossZoneLatency; // One way between two zones.
    Duration callerLatency;    // One way between a caller and any node.
    std::uint32_t connections; // That a host takes from callers.
};

struct ClassLoad
{
    double share;           // Of all calls.
    Duration runTime;       // Mean on a healthy upstream.
    Duration callerTimeout; // The caller gives up after this.
};

enum class FaultKind : std::uint8_t {
    Slow,      // Runs everything longer by the factor.
    FailsFast, // Fails at once and still says that it is ready.
    Sheds,     // Bears only the factor's share of the slots that it announces.
    Restarts,  // Absent for half a second, then slower by the factor until it is warm.
    Drains,    // Takes nothing new and is gone at the end of the fault.
    Silent,    // Its host is gone without a word: nothing comes back.
};

struct Fault
{
    FaultKind kind;
    std::uint32_t service;
    std::uint32_t server; // Within the service.
    Duration from;
    Duration until;
    double factor;
};

struct Scenario
{
    std::string name;
    double load; // Demand as a share of what all slots bear.
    std::array<ClassLoad, 3> classes;
    double burstFactor = 1; // Demand during a burst, as a multiple.
    Duration burstInterval{};
    Duration burstDuration{};
    bool limitedConnections = false; // Callers need one of the host's connections for each call.
    bool singleEntryZone = false;    // All callers come in through the nodes of one zone.
    std::vector<Fault> faults;
    Duration duration = std::chrono::seconds(6);
    Duration membershipLag =
        std::chrono::milliseconds(800); // From a change of condition to all nodes' knowing.
};

std::vector<FleetShape> currentFleets();
// One service of a size that the users expect in two years; not run by default.
FleetShape largeService();
std::vector<Scenario> scenariosFor(const FleetShape &fleet);
Scenario findScenario(const FleetShape &fleet, const std::string &name);

} // namespace Sagecrank
