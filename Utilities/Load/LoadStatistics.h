// What became of the calls of one run: counted by way (through a node or direct to the upstream) and by
// kind of call.
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
    Done,    // Ran and was answered, whatever the status below 500.
    Failed,  // Ran and the upstream answered with a failure of its own.
    NotRun,  // Refused; promised not to have run.
    Unknown, // May have run.
    Broken,  // No answer: the connection broke or was refused, or the caller gave up.
    Wrong,   // The answer belongs to another request or is not whole.
    Unsent,  // The tool itself had no connection or room left; the run says nothing about these.
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
    std::map<std::string, std::uint64_t> reasons; // Of refusals and of broken calls.
    std::uint64_t retries = 0;
    std::uint64_t withinDeadline = 0; // Done before the deadline.
    std::uint64_t replayed = 0;
    LatencyHistogram doneLatency;    // From the intended start of the first attempt to the final answer.
    LatencyHistogram refusedLatency; // The same for calls that ended as not run.

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

    std::array<std::vector<KindStatistics>, 2> byTrafficPath; // By TrafficPath, then in the mix's order.
    LatencyHistogram sendLag; // How late the tool itself sent: from the intended to the real start.

    KindStatistics &kind(TrafficPath trafficPath, std::size_t index)
    {
        return this->byTrafficPath[static_cast<std::size_t>(trafficPath)][index];
    }
    KindStatistics mergedKinds(TrafficPath trafficPath) const;
    void merge(const LoadStatistics &other);
};

// What an answer says. Without the outcome header (the upstream itself answers direct calls) the status
// decides.
FinalOutcome classifyResponse(const Response &response);

} // namespace Sagecrank
