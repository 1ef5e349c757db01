// Settings of a load run.
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
    std::vector<std::string> targets; // Addresses of nodes for callers.
    std::vector<std::string> direct;  // Addresses of upstreams, which get half of the calls directly.
    double rate = 1000;               // Calls per second over all threads and call kinds.
    double seconds = 10;
    double warmupSeconds = 1; // Calls scheduled in it are sent but not counted.
    ArrivalKind arrivals = ArrivalKind::Poisson;
    std::vector<MixEntry> mix;
    double skew = 0;           // Zipf exponent over targets and over the numbers in paths.
    std::size_t numbers = 100; // Exclusive upper bound of "{n}" in paths.
    std::uint64_t seed = 1;
    unsigned threads = 2;
    std::size_t connections = 64; // Over all threads, for each traffic path.
    // Sent to the node; the tool itself times out a little later. Zero: no deadline is sent, and the timeout
    // of each route applies.
    Milliseconds deadline{1000};
    unsigned retries = 0;       // Per call, after the delay that the refusal states.
    std::size_t bodyBytes = 0;  // Of requests other than GET.
    bool spin = true;           // Busy-poll shortly before a call is due instead of sleeping.
    bool checkResponses = true; // Compare bodies with the expected response of the upstream emulator.
    bool history = false;
    std::string runId; // Prefix of all call ids and idempotency keys.
};

} // namespace Sagecrank
