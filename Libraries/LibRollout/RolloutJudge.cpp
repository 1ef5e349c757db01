// Implements the sequential tests of RolloutJudge.h.
#include <LibRollout/RolloutJudge.h>

#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

constexpr std::uint64_t allRoutes = 0; // No hash of a route; a route that has it is judged with the others.

// The test for failures tells the established version's share of failures from one that is higher by this, or
// twice as high.
constexpr double additionalFailureShare = 0.05;
constexpr double failureFactor = 2;

// A lower share of failures cannot be told from none within the calls that a roll-out may spend.
constexpr double minimumFailureShare = 0.005;

// Calls with which a baseline starts, as if none of them had failed.
constexpr double priorCalls = 20;

// A call counts as slow if it takes longer than this many times the mean. Upstreams of unlike speed differ by
// up to 2.3 times.
const double slowLogBoundary = std::log(2.6);

// Weight of a call's distance from that boundary, over the variance of the run times. Lower than in a test
// between two known means: a slow upstream of a good version lies close to the boundary.
constexpr double slowWeight = 0.7;

// Bounds the weight of one call where run times hardly vary.
constexpr double minimumLogVariance = 0.3;

// Before the baseline has this many calls of a route, its run times are not compared.
constexpr double minimumBaselineCalls = 100;

constexpr double baselineSeconds = 4;

// Per upstream: evidence up to the first value is chance, and up to the second it counts.
constexpr double ignoredEvidence = 2;
constexpr double maximumEvidence = 6;

// Two upstreams with full evidence. If the target has only one upstream, that one decides.
constexpr double badScore = 8;

// Standard deviations of the evidence that chance alone would bring together, given how it varies among the
// upstreams of the established version.
constexpr double requiredDeviations = 2.5;

// Calls of the target that are enough to compare sums, and the standard deviations by which they must differ
// beyond `additionalFailureShare`.
constexpr double minimumPooledCalls = 40;
constexpr double pooledDeviations = 2;

double increase(double evidence, double by)
{
    return std::clamp(evidence + by, 0.0, maximumEvidence);
}

} // namespace

void RolloutJudge::Baseline::decay(Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - this->updatedAt).count();
    const double keep =
        this->updatedAt == Instant{} ? 1 : std::exp(-std::max(0.0, elapsed) / baselineSeconds);
    for (double *sum : {&this->calls, &this->failures, &this->timed, &this->sumLog, &this->sumSquaredLog})
        *sum *= keep;
    this->updatedAt = now;
}

double RolloutJudge::Baseline::failureShare() const
{
    return std::max(minimumFailureShare, this->failures / (this->calls + priorCalls));
}

double RolloutJudge::Baseline::varianceLog() const
{
    const double mean = this->meanLog();
    return std::max(minimumLogVariance, this->sumSquaredLog / this->timed - mean * mean);
}

void RolloutJudge::addReport(Instant now, const std::string &sourceId, const UpstreamReport &report)
{
    Source &source = this->sources[sourceId];
    if (source.version != report.version || report.number < source.lastNumber)
        source = Source{report.version, 0, {}, {}}; // Another upstream, or the node was restarted.
    else if (report.number == source.lastNumber)
        return;
    source.lastNumber = report.number;
    Increment all;
    for (const RouteFigures &figures : report.routes) {
        const Increment increment = incrementOf(figures, source.last[figures.kind]);
        source.last[figures.kind] = figures;
        all.calls += increment.calls;
        all.failures += increment.failures;
        this->addIncrement(now, source, figures.kind, increment);
        if (!this->isTarget(source))
            this->longestRun =
                std::max<Duration>(this->longestRun, Milliseconds(figures.longestMilliseconds));
    }
    this->addIncrement(now, source, allRoutes, all);
}

RolloutJudge::Increment RolloutJudge::incrementOf(const RouteFigures &current, const RouteFigures &previous)
{
    Increment increment;
    if (current.calls < previous.calls || current.failures < previous.failures)
        return increment;
    increment.calls = current.calls - previous.calls;
    increment.failures = current.failures - previous.failures;
    const double timed = current.calls - current.failures;
    const double timedBefore = previous.calls - previous.failures;
    increment.timed = timed - timedBefore;
    if (increment.timed <= 0)
        return increment;
    increment.meanLog =
        (timed * current.meanLogSeconds - timedBefore * previous.meanLogSeconds) / increment.timed;
    increment.varianceLog = current.varianceLogSeconds;
    return increment;
}

void RolloutJudge::addIncrement(Instant now, Source &source, std::uint64_t kind, const Increment &increment)
{
    if (increment.calls <= 0)
        return;
    Baseline &baseline = this->baselines[kind];
    baseline.decay(now);
    collect(source.evidence[kind], baseline, increment);
    if (this->isTarget(source))
        return;
    baseline.calls += increment.calls;
    baseline.failures += increment.failures;
    baseline.timed += increment.timed;
    baseline.sumLog += increment.timed * increment.meanLog;
    baseline.sumSquaredLog +=
        increment.timed * (increment.varianceLog + increment.meanLog * increment.meanLog);
}

void RolloutJudge::collect(Evidence &evidence, const Baseline &baseline, const Increment &increment)
{
    const double usual = baseline.failureShare();
    const double bad = std::min(0.99, std::max(usual + additionalFailureShare, usual * failureFactor));
    evidence.failing = increase(evidence.failing, increment.failures * std::log(bad / usual)
                                                      + (increment.calls - increment.failures)
                                                            * std::log((1 - bad) / (1 - usual)));
    if (increment.timed <= 0 || baseline.timed < minimumBaselineCalls)
        return;
    const double distance = increment.meanLog - baseline.meanLog() - slowLogBoundary;
    evidence.slow = increase(evidence.slow, increment.timed * slowWeight / baseline.varianceLog() * distance);
}

double RolloutJudge::weightOf(const Source &source)
{
    double highest = 0;
    for (const auto &[kind, evidence] : source.evidence)
        highest = std::max({highest, evidence.failing, evidence.slow});
    return std::max(0.0, highest - ignoredEvidence);
}

// Leaves out the target's upstream with the most failures, so that a single sick one does not decide.
bool RolloutJudge::failsTogether(const RolloutAssessment &assessment) const
{
    double worstFailures = -1;
    double worstCalls = 0;
    for (const auto &[id, source] : this->sources) {
        double calls = 0;
        double failures = 0;
        for (const auto &[kind, figures] : source.last) {
            calls += figures.calls;
            failures += figures.failures;
        }
        if (this->isTarget(source) && failures > worstFailures) {
            worstFailures = failures;
            worstCalls = calls;
        }
    }
    const double calls = assessment.targetCalls - worstCalls;
    if (assessment.targetSources < 2 || calls < minimumPooledCalls
        || assessment.establishedCalls < minimumPooledCalls)
        return false;
    const double share = (assessment.targetFailures - worstFailures) / calls;
    const double usual = std::max(minimumFailureShare, static_cast<double>(assessment.establishedFailures)
                                                           / assessment.establishedCalls);
    const double deviation = std::sqrt(usual * (1 - usual) / calls);
    return share > usual + additionalFailureShare + pooledDeviations * deviation;
}

RolloutAssessment RolloutJudge::assess(std::size_t targetUpstreams) const
{
    namespace accumulators = boost::accumulators;
    using Weights = accumulators::accumulator_set<
        double,
        accumulators::stats<accumulators::tag::sum, accumulators::tag::mean, accumulators::tag::variance>>;
    RolloutAssessment assessment;
    Weights targetWeights;
    Weights establishedWeights;
    std::size_t establishedSources = 0;
    for (const auto &[id, source] : this->sources) {
        const bool isTarget = this->isTarget(source);
        for (const auto &[kind, figures] : source.last) {
            (isTarget ? assessment.targetCalls : assessment.establishedCalls) += figures.calls;
            (isTarget ? assessment.targetFailures : assessment.establishedFailures) += figures.failures;
        }
        (isTarget ? assessment.targetSources : establishedSources) += 1;
        (isTarget ? targetWeights : establishedWeights)(weightOf(source));
    }
    assessment.longestRun = this->longestRun;
    assessment.score = accumulators::sum(targetWeights);
    constexpr double oneSource = maximumEvidence - ignoredEvidence;
    assessment.threshold = targetUpstreams <= 1 ? oneSource : badScore;
    if (establishedSources == 0)
        return assessment;
    const auto compared = static_cast<double>(assessment.targetSources);
    assessment.score -= compared * accumulators::mean(establishedWeights);
    const double variance = compared * accumulators::variance(establishedWeights)
                            * (1 + compared / static_cast<double>(establishedSources));
    assessment.threshold = std::max(assessment.threshold, requiredDeviations * std::sqrt(variance));
    if (this->failsTogether(assessment))
        assessment.score = std::max(assessment.score, assessment.threshold);
    return assessment;
}

} // namespace Sagecrank
