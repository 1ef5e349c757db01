// Judges the target of a roll-out by comparing its upstreams with those of the established version at the
// same time. Has no clock and performs no I/O.
//
// Each upstream collects evidence by two sequential tests for each route and one over all routes: that it
// fails more of its calls than the established version, or runs them several times longer. Evidence never
// falls below zero, so a version that turns bad later is noticed as fast as one that was bad from the start.
// The evidence of one upstream is limited, so that a single sick one does not decide. The evidence that
// upstreams of the established version collect meanwhile is subtracted, and the more it varies among them the
// more is required, so that a fault that hits some upstreams of both versions does not decide either.
//
// A service with few upstreams or calls gathers little evidence at each of them. So the target is bad, too,
// if all of its upstreams but the worst together fail clearly more than those of the established version.
#pragma once

#include <LibRollout/UpstreamReport.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Sagecrank {

struct RolloutAssessment
{
    double score = 0;     // Evidence against the target, in nats.
    double threshold = 0; // At or above it the target is bad.
    std::uint32_t targetCalls = 0;
    std::uint32_t targetFailures = 0;
    std::uint32_t establishedCalls = 0;
    std::uint32_t establishedFailures = 0;
    std::size_t targetSources = 0; // Upstreams of the target that reported.
    Duration longestRun{};         // Of a call at the established version.

    bool isBad() const { return this->threshold > 0 && this->score >= this->threshold; }
};

class RolloutJudge
{
public:
    explicit RolloutJudge(std::string target)
        : target(std::move(target))
    {
    }

    // Commands.
    void addReport(Instant now, const std::string &source, const UpstreamReport &report);

    // Queries.
    // `targetUpstreams`: how many upstreams of the target could report.
    RolloutAssessment assess(std::size_t targetUpstreams) const;

private:
    // Sums of recent calls at the established version; older ones lose their weight.
    struct Baseline
    {
        double calls = 0;
        double failures = 0;
        double timed = 0; // Calls with a run time.
        double sumLog = 0;
        double sumSquaredLog = 0;
        Instant updatedAt{};

        void decay(Instant now);
        double failureShare() const;
        double meanLog() const { return this->sumLog / this->timed; }
        double varianceLog() const;
    };

    struct Evidence
    {
        double failing = 0;
        double slow = 0;
    };

    // Calls since the previous report.
    struct Increment
    {
        double calls = 0;
        double failures = 0;
        double timed = 0;
        double meanLog = 0;
        double varianceLog = 0;
    };

    struct Source
    {
        std::string version;
        std::uint32_t lastNumber = 0;
        std::unordered_map<std::uint64_t, RouteFigures> last; // By route.
        std::unordered_map<std::uint64_t, Evidence> evidence; // By route; `allRoutes` for all together.
    };

    static Increment incrementOf(const RouteFigures &current, const RouteFigures &previous);
    void addIncrement(Instant now, Source &source, std::uint64_t kind, const Increment &increment);
    static void collect(Evidence &evidence, const Baseline &baseline, const Increment &increment);
    static double weightOf(const Source &source);
    bool isTarget(const Source &source) const { return source.version == this->target; }
    bool failsTogether(const RolloutAssessment &assessment) const;

    const std::string target;              // All other versions count as established.
    std::map<std::string, Source> sources; // By node.
    std::unordered_map<std::uint64_t, Baseline> baselines;
    Duration longestRun{};
};

} // namespace Sagecrank
