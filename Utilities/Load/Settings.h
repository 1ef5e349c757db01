// What a run is told to do.
#pragma once

#include <Load/Mix.h>
#include <Load/Schedule.h>

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

struct LoadSettings
{
    std::vector<std::string> targets; // Callers' addresses of nodes.
    std::vector<std::string> direct;  // Upstreams; half of the calls then go straight to them.
    double rate = 1000;               // Calls a second over all threads and routes.
    double seconds = 10;
    double warmupSeconds = 1; // Calls that are meant to start in it are sent and not counted.
    ArrivalKind arrivals = ArrivalKind::Poisson;
    std::vector<MixEntry> mix;
    double skew = 0;           // Over targets and over the numbers in paths.
    std::size_t numbers = 100; // "{n}" in a path is below this.
    std::uint64_t seed = 1;
    unsigned threads = 2;
    std::size_t connections = 64; // Over all threads, for each way.
    // Told to the node; the tool itself gives up a little later. Zero: none is told, and each route's own
    // time limit holds.
    Milliseconds deadline{1000};
    unsigned retries = 0;       // Of one call, after the time that the refusal named.
    std::size_t bodyBytes = 0;  // Of requests other than GET.
    bool spin = true;           // Poll instead of sleeping shortly before a call is due.
    bool checkResponses = true; // Compare bodies with what the upstream emulator must have said.
    bool history = false;
    std::string runId; // Begins all call ids and keys.
};

} // namespace Sagecrank
