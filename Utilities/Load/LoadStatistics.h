// The outcomes and latencies of the calls of a run, by traffic path (through a node or direct to an upstream)
// and by call kind.
#pragma once

#include <Load/LatencyHistogram.h>
#include <Load/Mix.h>
#include <Load/ResponseReader.h>

#include <LibCore/EnumNames.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Sagecrank {

enum class TrafficPath { ThroughNode, Direct };

enum class FinalOutcome {
    Done,    // Ran and got a response with a status below 500.
    Failed,  // Ran and the upstream responded with a status of 500 or above.
    NotRun,  // Refused; guaranteed not to have run.
    Unknown, // May have run.
    Broken,  // No response: the connection failed or was refused, or the call timed out.
    Wrong,   // The response is for another request or incomplete.
    Unsent,  // The tool had no free connection or too many active calls; says nothing about the system under
             // test.
};

inline constexpr EnumNames<FinalOutcome, 7> finalOutcomeNames{{
    {FinalOutcome::Done, "done"},
    {FinalOutcome::Failed, "failed"},
    {FinalOutcome::NotRun, "not_run"},
    {FinalOutcome::Unknown, "unknown"},
    {FinalOutcome::Broken, "broken"},
    {FinalOutcome::Wrong, "wrong"},
    {FinalOutcome::Unsent, "unsent"},
}};

struct KindStatistics
{
    std::array<std::uint64_t, 7> outcomes{};      // By FinalOutcome.
    std::map<std::string, std::uint64_t> reasons; // Counts by outcome and reason, of all calls but Done.
    std::uint64_t retries = 0;
    std::uint64_t withinDeadline = 0; // Done before the deadline; without a deadline, all of Done.
    std::uint64_t replayed = 0;
    LatencyHistogram doneLatency;    // From the intended start of the first attempt to the final response.
    LatencyHistogram refusedLatency; // The same for calls that ended as NotRun.

    std::uint64_t count(FinalOutcome outcome) const
    {
        return this->outcomes[static_cast<std::size_t>(outcome)];
    }
    std::uint64_t total() const;
    void merge(const KindStatistics &other);
};

struct LoadStatistics
{
    explicit LoadStatistics(std::size_t kinds)
    {
        for (auto &list : this->byTrafficPath)
            list.resize(kinds);
    }

    std::array<std::vector<KindStatistics>, 2> byTrafficPath; // By TrafficPath, then by index in the mix.
    LatencyHistogram sendLag; // Delay from the intended start of a call to its first send.

    KindStatistics &kind(TrafficPath trafficPath, std::size_t index)
    {
        return this->byTrafficPath[static_cast<std::size_t>(trafficPath)][index];
    }
    KindStatistics mergedKinds(TrafficPath trafficPath) const;
    void merge(const LoadStatistics &other);
};

// Classifies a response by its outcome header, or by its status if there is none, as in direct calls to an
// upstream.
FinalOutcome classifyResponse(const Response &response);

} // namespace Sagecrank
