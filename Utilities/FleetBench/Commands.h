// The commands of sagecrank-fleet-bench.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

struct BenchSettings
{
    std::string command = "table";
    std::size_t members = 6500;
    std::size_t zones = 25;
    std::size_t services = 820;
    std::size_t routes = 3; // Of each service.
    std::string platform = "127.0.0.1:9000";
    std::string site = "zone-0";
    std::uint64_t version = 1;
    std::size_t changed = 1; // Services that a version changes.
    std::size_t sites = 1;   // zone-0, zone-1 and so on.
    std::size_t nodes = 10;
};

// Cost of a full-size mesh for one node, with the state machines alone.
int runTableBench(const BenchSettings &settings);

// A whole mesh of state machines in fake time: how long a drain, the loss and return of a zone and the heal
// of an hour's split take, and what the busiest node sends meanwhile. Memory grows with the square of
// members.
int runMeshBench(const BenchSettings &settings);

// Publishes one version of generated content and prints when it was accepted.
int runPublish(const BenchSettings &settings);

// What the chosen spreading is compared with; each prints node.swapped events and a line of counters when it
// is told to end by SIGTERM. Every node reads the head each second and the content from the platform; or one
// place pushes the whole site to every node.
int runPolling(const BenchSettings &settings);
int runPush(const BenchSettings &settings);

} // namespace Sagecrank
