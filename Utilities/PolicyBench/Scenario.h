// The fleets and loads of the simulation: the current sizes of both users, and the faults and load patterns
// that LibDecide is designed for.
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
    std::vector<std::uint32_t> servers; // By service.
    std::uint32_t slots;
    std::uint32_t zones;
    Duration crossZoneLatency; // One way, between two zones.
    Duration callerLatency;    // One way, between a caller and any node.
    std::uint32_t connections; // Maximum number of caller connections of a host.
};

struct ClassLoad
{
    double share;           // Of all calls.
    Duration runTime;       // Mean on a healthy upstream.
    Duration callerTimeout; // The caller stops waiting after this.
};

enum class FaultKind : std::uint8_t {
    Slow,       // Run times are multiplied by the factor.
    FailsFast,  // Calls fail at once while the upstream reports ready.
    Sheds,      // Sheds load above the factor's share of its announced slots.
    Restarts,   // Down for 500 ms, then slower by the factor until it is warm.
    Drains,     // Accepts no new calls and stops at the end of the fault.
    Silent,     // Its host fails silently: no responses and no connection errors.
    NamesLimit, // Asks for no more calls per second than the factor's share of what its slots serve.
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
    double load; // Demand as a share of the capacity of all slots.
    std::array<ClassLoad, 3> classes;
    double burstFactor = 1; // Multiplies the demand during a burst.
    Duration burstInterval{};
    Duration burstDuration{};
    bool limitedConnections = false; // Each call needs one of the limited connections of its entry host.
    bool singleEntryZone = false;    // All callers enter through the nodes of one zone.
    std::vector<Fault> faults;
    Duration duration = std::chrono::seconds(6);
    Duration membershipLag = std::chrono::milliseconds(800); // Delay until all nodes learn a new condition.

    Duration meanRunTime() const; // On a healthy upstream.
};

std::vector<FleetShape> currentFleets();
// One service of the size that the users expect in two years; not run by default.
FleetShape largeService();
std::vector<Scenario> scenariosFor(const FleetShape &fleet);
Scenario findScenario(const FleetShape &fleet, const std::string &name);

} // namespace Sagecrank
