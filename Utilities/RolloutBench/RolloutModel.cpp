// Implements the model of a roll-out.
#include "RolloutModel.h"

#include <LibRollout/CanarySelection.h>
#include <LibRollout/ExposureBudget.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

namespace {

constexpr Duration stepTime = Milliseconds(100);
constexpr std::size_t stepsPerReport = 4;
constexpr Duration spreadDelay = Milliseconds(500); // Until all nodes act on a decision.
constexpr Duration closeDelay = Milliseconds(700);
constexpr Duration recordTime = Milliseconds(100);

// The users' bounds: the permitted share of calls and the calls beyond it, and how long a version may get
// calls after this many bad answers.
constexpr double exposureShare = 0.1;
constexpr double exposureSlack = 50;
constexpr std::size_t badAnswersUntilKnown = 50;
constexpr Duration rollbackBound = std::chrono::seconds(5);

constexpr double probingShare = 0.02;
constexpr double loadingShare = 0.08;
constexpr double fixedShare = 0.05;

constexpr double usualErrors = 0.004;
constexpr double noisyErrors = 0.45;
constexpr double noisyShare = 1.0 / 7;
constexpr double noisySlowdown = 5;
constexpr Duration noiseFrom = std::chrono::seconds(4);
constexpr Duration noiseTo = std::chrono::seconds(11);
constexpr double loadedShare = 0.6; // Of its final load, from which an upstream counts as loaded.

struct RouteModel
{
    std::uint64_t kind;
    double meanSeconds;
    double spread; // Standard deviation of the logarithm.
};

constexpr std::array<RouteModel, 2> routes{{{101, 0.13, 0.8}, {102, 0.17, 0.3}}};

struct ModelUpstream
{
    std::string id;
    double speed = 1;
    bool noisySlow = false;
    bool noisyFailing = false;
    UpstreamTally tally;
    std::uint32_t reports = 0;
    std::array<std::size_t, 10> recentCalls{}; // By step of the last second.
};

class RolloutModel
{
public:
    RolloutModel(RolloutPolicy policy, const RolloutScenario &scenario)
        : policy(policy)
        , scenario(scenario)
        , random(scenario.seed)
        , judge("v2")
    {
        this->record.order = {"booking", "v2", scenario.duration, scenario.seed};
        this->record.established = "v1";
        this->record.deadline = this->start + scenario.duration;
        this->record.stageSince = this->start;
        this->old = this->makeUpstreams("old-");
        this->fresh = this->makeUpstreams("new-");
    }

    RolloutOutcome play()
    {
        for (std::size_t step = 0; this->start + step * stepTime < this->record.deadline; ++step) {
            this->now = this->start + step * stepTime;
            this->step = step;
            this->sendCalls();
            if (step % stepsPerReport == stepsPerReport - 1)
                this->report();
            if (!isRecordedEnd(this->record.stage))
                this->decide();
        }
        if (!isRecordedEnd(this->record.stage))
            this->outcome.end = this->record.stage;
        const double total =
            this->scenario.callsPerSecond * std::chrono::duration<double>(this->scenario.duration).count();
        this->outcome.exposure =
            static_cast<double>(this->targetCalls) / (exposureShare * total + exposureSlack);
        return this->outcome;
    }

private:
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }

    std::vector<ModelUpstream> makeUpstreams(const std::string &prefix)
    {
        constexpr std::array<double, 3> speeds{0.6, 1.0, 1.4};
        std::vector<ModelUpstream> upstreams(this->scenario.upstreams);
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            upstreams[index].id = prefix + std::to_string(index);
            upstreams[index].speed = speeds[this->random() % speeds.size()];
            upstreams[index].noisySlow = this->scenario.noise && this->chance(noisyShare);
            upstreams[index].noisyFailing = this->scenario.noise && this->chance(noisyShare);
        }
        return upstreams;
    }

    // The stage that nodes act on, which lags behind the decision.
    RolloutStage knownStage() const
    {
        return this->now - this->record.stageSince < spreadDelay ? this->previousStage : this->record.stage;
    }

    double trialShare() const
    {
        const RolloutStage stage = this->knownStage();
        if (this->policy == RolloutPolicy::FixedThreshold)
            return isTrial(stage) ? fixedShare : 0;
        if (!isTrial(stage))
            return 0;
        return stage == RolloutStage::Loading ? loadingShare : probingShare;
    }

    double targetShare() const
    {
        const RolloutStage stage = this->knownStage();
        if (stage == RolloutStage::Completed)
            return 1;
        if (stage != RolloutStage::Moving)
            return this->trialShare();
        return this->now - this->record.stageSince < closeDelay + spreadDelay ? 0.5 : 1;
    }

    std::vector<ModelUpstream *> canaries()
    {
        const RolloutStage stage = this->knownStage();
        std::vector<std::string> ids;
        for (const ModelUpstream &upstream : this->fresh)
            ids.push_back(upstream.id);
        std::size_t count = ids.size();
        if (this->policy == RolloutPolicy::SequentialLoaded && isTrial(stage))
            count = canaryCount(stage, ids.size(), loadingShare);
        const std::vector<std::string> selected =
            selectForRole(this->record.order, RolloutRole::Canary, ids, count);
        std::vector<ModelUpstream *> result;
        for (ModelUpstream &upstream : this->fresh) {
            if (std::ranges::find(selected, upstream.id) != selected.end())
                result.push_back(&upstream);
        }
        return result;
    }

    void sendCalls()
    {
        for (std::vector<ModelUpstream> *group : {&this->old, &this->fresh}) {
            for (ModelUpstream &upstream : *group)
                upstream.recentCalls[this->step % upstream.recentCalls.size()] = 0;
        }
        const double expected =
            this->scenario.callsPerSecond * std::chrono::duration<double>(stepTime).count();
        const auto calls = std::poisson_distribution<std::size_t>(expected)(this->random);
        const std::vector<ModelUpstream *> trial = this->canaries();
        const double share = this->targetShare();
        for (std::size_t call = 0; call < calls; ++call) {
            const RouteModel &route = routes[this->random() % routes.size()];
            if (this->chance(share))
                this->run(*trial[this->random() % trial.size()], route, true);
            else
                this->run(this->old[this->random() % this->old.size()], route, false);
        }
    }

    void run(ModelUpstream &upstream, const RouteModel &route, bool isTarget)
    {
        upstream.recentCalls[this->step % upstream.recentCalls.size()] += 1;
        const bool noisy = this->now >= this->start + noiseFrom && this->now < this->start + noiseTo;
        double failing = usualErrors;
        double factor = 1 / upstream.speed;
        if (noisy && upstream.noisyFailing)
            failing = noisyErrors;
        if (noisy && upstream.noisySlow)
            factor *= noisySlowdown;
        if (isTarget)
            this->applyBadness(upstream, route, failing, factor);
        const bool failed = this->chance(failing);
        std::lognormal_distribution<double> seconds(std::log(route.meanSeconds * factor), route.spread);
        const auto runTime = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(seconds(this->random), 1.3)));
        upstream.tally.record(route.kind, failed, runTime);
        if (isTarget)
            this->countTargetCall(failed || factor * upstream.speed > noisySlowdown);
    }

    void applyBadness(const ModelUpstream &upstream, const RouteModel &route, double &failing, double &factor)
    {
        const double size = this->scenario.size;
        const auto load = std::accumulate(upstream.recentCalls.begin(), upstream.recentCalls.end(), 0.0);
        const double finalLoad =
            this->scenario.callsPerSecond / static_cast<double>(this->scenario.upstreams);
        switch (this->scenario.badness) {
        case Badness::None:
            return;
        case Badness::Errors:
            failing = std::max(failing, size);
            return;
        case Badness::Slow:
            factor *= 16 * size;
            return;
        case Badness::UnderLoad:
            failing = load >= loadedShare * finalLoad ? std::max(failing, size) : failing;
            return;
        case Badness::OneRoute:
            failing = route.kind == routes.front().kind ? std::max(failing, size) : failing;
            return;
        case Badness::Late:
            failing = this->now >= this->start + this->scenario.lateBy ? std::max(failing, size) : failing;
            return;
        }
    }

    void countTargetCall(bool bad)
    {
        this->targetCalls += 1;
        this->badAnswers += bad ? 1 : 0;
        if (this->badAnswers >= badAnswersUntilKnown && !this->knownBadAt)
            this->knownBadAt = this->now;
        if (this->knownBadAt && this->now > *this->knownBadAt + rollbackBound)
            this->outcome.exposedTooLong = true;
    }

    void report()
    {
        const auto send = [this](std::vector<ModelUpstream> &group, const char *version) {
            std::size_t sent = 0;
            for (ModelUpstream &upstream : group) {
                UpstreamReport report{"booking", this->record.order.sequence, version, ++upstream.reports,
                                      upstream.tally.figures()};
                if (!report.routes.empty() && ++sent <= maximumComparisons)
                    this->judge.addReport(this->now, upstream.id, report);
                this->sumForThreshold(report, version[1] == '2');
            }
        };
        this->thresholdCalls = {};
        this->thresholdFailures = {};
        this->thresholdLogTime = {};
        send(this->old, "v1");
        send(this->fresh, "v2");
    }

    void sumForThreshold(const UpstreamReport &report, bool isTarget)
    {
        for (const RouteFigures &figures : report.routes) {
            const double timed = figures.calls - figures.failures;
            this->thresholdCalls[isTarget] += figures.calls;
            this->thresholdFailures[isTarget] += figures.failures;
            this->thresholdLogTime[isTarget] += timed * figures.meanLogSeconds;
        }
    }

    // The policy with a fixed threshold: as many calls, and differences that the sequential tests look for.
    RolloutAssessment assessByThreshold() const
    {
        constexpr double minimumCalls = 100;
        constexpr double failureDifference = 0.05;
        constexpr double slowFactor = 2;
        RolloutAssessment assessment;
        assessment.threshold = 1;
        assessment.targetCalls = static_cast<std::uint32_t>(this->thresholdCalls[1]);
        assessment.longestRun = Milliseconds(1300);
        if (this->thresholdCalls[1] < minimumCalls || this->thresholdCalls[0] < minimumCalls)
            return assessment;
        const auto failureShare = [this](std::size_t side) {
            return this->thresholdFailures[side] / this->thresholdCalls[side];
        };
        const auto meanLog = [this](std::size_t side) {
            return this->thresholdLogTime[side]
                   / std::max(1.0, this->thresholdCalls[side] - this->thresholdFailures[side]);
        };
        if (failureShare(1) - failureShare(0) > failureDifference
            || meanLog(1) - meanLog(0) > std::log(slowFactor))
            assessment.score = 1;
        return assessment;
    }

    void decide()
    {
        const RolloutAssessment assessment = this->policy == RolloutPolicy::FixedThreshold
                                                 ? this->assessByThreshold()
                                                 : this->judge.assess(this->fresh.size());
        RolloutUpstreams upstreams;
        upstreams.targetAvailable = upstreams.targetSlots = this->fresh.size();
        upstreams.establishedAvailable = upstreams.establishedSlots = this->old.size();
        const Duration inStage = this->now - this->record.stageSince;
        const bool finished =
            this->record.stage == RolloutStage::Moving && inStage >= closeDelay + assessment.longestRun;
        upstreams.establishedBusy = finished ? 0 : this->old.size();
        const auto next = nextStep(this->now, this->record, assessment, upstreams);
        if (!next)
            return;
        this->previousStage = this->knownStage();
        this->record.stage = next->stage;
        this->record.stageSince = this->now;
        if (!isRecordedEnd(next->stage))
            return;
        this->outcome.end = next->stage;
        this->outcome.endedAfter = this->now + recordTime - this->start;
    }

    const RolloutPolicy policy;
    const RolloutScenario scenario;
    std::mt19937_64 random;
    const Instant start = Instant() + std::chrono::hours(1);
    Instant now = this->start;
    std::size_t step = 0;
    std::vector<ModelUpstream> old;
    std::vector<ModelUpstream> fresh;
    RolloutRecord record;
    RolloutStage previousStage = RolloutStage::Probing;
    RolloutJudge judge;
    RolloutOutcome outcome;
    std::size_t targetCalls = 0;
    std::size_t badAnswers = 0;
    std::optional<Instant> knownBadAt;
    // Sums of all reports, of the old version and the new one.
    std::array<double, 2> thresholdCalls{};
    std::array<double, 2> thresholdFailures{};
    std::array<double, 2> thresholdLogTime{};
};

} // namespace

bool RolloutOutcome::isRight(Badness badness) const
{
    if (badness == Badness::None)
        return this->end == RolloutStage::Completed;
    return this->end == RolloutStage::RolledBack && this->exposure <= 1 && !this->exposedTooLong;
}

RolloutOutcome playRollout(RolloutPolicy policy, const RolloutScenario &scenario)
{
    return RolloutModel(policy, scenario).play();
}

} // namespace Sagecrank
