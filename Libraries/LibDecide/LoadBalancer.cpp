// Picks upstreams, spills calls to other zones, and ejects and recovers outliers.
#include <LibDecide/LoadBalancer.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// Assumed for an upstream without data.
constexpr double initialRunTimeSeconds = 0.002;

constexpr double meanWeight = 0.1;

// The failure rate covers about the last 20 completions: few enough to react quickly, and enough that the
// occasional failure of a healthy upstream does not eject it.
constexpr double completionWindow = 20;
constexpr double minimumCompletions = 8;
constexpr double ejectionFailureShare = 0.5;
constexpr std::uint32_t consecutiveFailuresToEject = 5;

// A call without an answer weighs more than a failure: it was noticed only after its whole timeout, and calls
// that must not run twice were lost meanwhile. Two in a row eject the upstream.
constexpr std::uint32_t noAnswerFailureWeight = 3;

// Ejection time, doubled with each ejection in a row. The first one is short, since a restart is the usual
// cause; the longest one bounds how long a repaired upstream stays idle.
constexpr Duration initialEjectionTime = std::chrono::milliseconds(500);
constexpr std::uint32_t maximumDoublings = 5;

// Successful probes in a row after which an upstream is healthy again.
constexpr std::uint32_t probesToRecover = 3;

// An upstream counts as silent after this many mean latencies without an answer. A lower number would
// misjudge one that runs a long call.
constexpr double silentLatencies = 4;
constexpr std::uint32_t minimumSilentCalls = 2;

// A refusal adds this many rounds of queueing to the score, decaying with a time constant of a tenth of a
// second.
constexpr double refusalPenaltyRounds = 2;
constexpr double refusalDecaySeconds = 0.1;

// Bytes of a call and its answer besides their bodies: headers, names and frames of both directions.
constexpr double overheadBytesPerCall = 1200;

// Kinds of one service whose averages are kept; above it all are dropped.
constexpr std::size_t maximumKinds = 512;

// How long a gate's report that it is draining is believed. A node that is restarted under the same name may
// have reported "draining" on its last answer; since nothing would be sent there again, nothing would correct
// the report, and after a rolling restart the callers would find no upstream. Membership learns of a drain
// within a second, so the report counts for twice as long; after that only membership counts.
constexpr Duration reportedDrainingLifetime = std::chrono::seconds(2);

// Among upstreams with free slots, the one with fewer calls is slightly better.
constexpr double loadTieBreak = 0.01;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

// Updates an exponentially weighted mean; zero means unknown.
void updateMean(double &mean, double observed)
{
    mean = mean == 0 ? observed : mean + meanWeight * (observed - mean);
}

} // namespace

LoadBalancer::LoadBalancer(LoadBalancerSettings settings, std::function<std::uint64_t()> random)
    : settings(settings)
    , random(std::move(random))
{
}

std::optional<std::size_t> LoadBalancer::pick(Instant now, std::span<const UpstreamCandidate> candidates,
                                              CallClass callClass, std::span<const std::size_t> tried,
                                              std::uint64_t kind, std::size_t requestBytes,
                                              Duration maximumZoneCost)
{
    const double zoneCost = std::min(this->zoneCost(kind, requestBytes), toSeconds(maximumZoneCost));
    const Request request{now, candidates, callClass, tried, kind, zoneCost};
    const auto healthy = this->pickBest(request, true);
    if (healthy || this->ejectedCount == 0)
        return healthy;
    // All remaining candidates are ejected. Refusing the call would turn a mistaken ejection into an outage.
    return this->pickBest(request, false);
}

void LoadBalancer::recordStart(std::string_view id, Instant now)
{
    Upstream &upstream = this->obtainUpstream(id, now);
    if (upstream.outstanding == 0)
        upstream.lastProgressAt = now;
    upstream.outstanding += 1;
    upstream.reportedExcess += 1;
}

void LoadBalancer::recordEnd(std::string_view id, Instant now, CallClass callClass, Duration latency,
                             AttemptOutcome outcome, std::uint64_t kind)
{
    Upstream &upstream = this->obtainUpstream(id, now);
    if (upstream.outstanding > 0)
        upstream.outstanding -= 1;
    upstream.reportedExcess -= 1;
    if (outcome != AttemptOutcome::Unknown && outcome != AttemptOutcome::Cancelled)
        upstream.lastProgressAt = now;
    switch (outcome) {
    case AttemptOutcome::Succeeded: {
        const double seconds = toSeconds(latency);
        for (double *mean :
             {&upstream.meanLatency[indexOf(callClass)], &this->averageLatency[indexOf(callClass)]})
            updateMean(*mean, seconds);
        this->recordSuccess(upstream);
        recordAcceptance(upstream, kind);
        break;
    }
    case AttemptOutcome::Failed:
        this->recordFailure(upstream, now, 1);
        break;
    case AttemptOutcome::Unknown:
        this->recordFailure(upstream, now, noAnswerFailureWeight);
        break;
    case AttemptOutcome::RefusedNotRun:
        upstream.refusedAt = now;
        this->recordRefusal(upstream, kind, now);
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void LoadBalancer::recordReportedLoad(std::string_view id, Instant now, const ReportedLoad &load,
                                      std::uint64_t kind)
{
    Upstream &upstream = this->obtainUpstream(id, now);
    upstream.reportedExcess = static_cast<double>(load.queued) - static_cast<double>(load.freeSlots);
    upstream.reportedAt = now;
    upstream.reportedDraining = load.draining;
    KindStatistics &statistics = obtainKind(upstream, kind);
    statistics.reportedWait = toSeconds(load.expectedWait);
    statistics.meanWait += meanWeight * (statistics.reportedWait - statistics.meanWait);
    statistics.reportedAt = now;
    if (load.runTime <= Duration::zero())
        return;
    if (this->kindAverages.size() >= maximumKinds && !this->kindAverages.contains(kind))
        this->kindAverages.clear();
    KindAverages &averages = this->kindAverages[kind];
    updateMean(statistics.meanRunTime, toSeconds(load.runTime));
    updateMean(averages.meanRunTime, toSeconds(load.runTime));
    updateMean(averages.meanAnswerBytes, static_cast<double>(load.answerBytes));
}

void LoadBalancer::evictUnused(Instant before)
{
    std::erase_if(this->upstreams, [&](const auto &entry) {
        const Upstream &upstream = entry.second;
        if (upstream.outstanding > 0 || upstream.lastUsedAt >= before)
            return false;
        if (upstream.ejectionState != EjectionState::Healthy)
            this->ejectedCount -= 1;
        return true;
    });
}

bool LoadBalancer::isEjected(std::string_view id) const
{
    const Upstream *upstream = this->findUpstream(id);
    return upstream != nullptr && upstream->ejectionState != EjectionState::Healthy;
}

std::uint32_t LoadBalancer::outstanding(std::string_view id) const
{
    const Upstream *upstream = this->findUpstream(id);
    return upstream == nullptr ? 0 : upstream->outstanding;
}

bool LoadBalancer::Request::isCandidate(std::size_t index, bool sameZone) const
{
    const UpstreamCandidate &candidate = this->candidates[index];
    const bool acceptsCalls =
        candidate.condition == UpstreamCondition::Warming || candidate.condition == UpstreamCondition::Ready;
    if (candidate.sameZone != sameZone || !acceptsCalls)
        return false;
    return std::find(this->tried.begin(), this->tried.end(), index) == this->tried.end();
}

const LoadBalancer::Upstream *LoadBalancer::findUpstream(std::string_view id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

LoadBalancer::Upstream &LoadBalancer::obtainUpstream(std::string_view id, Instant now)
{
    auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        found = this->upstreams.emplace(std::string(id), Upstream{}).first;
    found->second.lastUsedAt = now;
    return found->second;
}

bool LoadBalancer::isEligible(const Upstream *upstream, const Request &request, bool healthyOnly)
{
    if (upstream == nullptr)
        return true;
    if (upstream->reportedDraining && request.now - upstream->reportedAt < reportedDrainingLifetime)
        return false;
    if (!healthyOnly || upstream->ejectionState == EjectionState::Healthy)
        return true;
    // Probes are real calls, so there is one at a time, and never one that must not be sent twice.
    const bool probeDue = request.now >= upstream->nextProbeAt && upstream->outstanding == 0;
    return probeDue && request.callClass != CallClass::NonIdempotent;
}

// The expected seconds until an answer: run time, wait and distance. The gate reports the wait of a call of
// this kind; between reports the wait is estimated from the calls in flight. The number of this node's
// outstanding calls is exact. Reported load includes the calls of other nodes, but loses weight as it ages:
// if the whole fleet kept acting on an old report, it would flood an upstream that had looked idle.
double LoadBalancer::score(const UpstreamCandidate &candidate, const Upstream *upstream,
                           const Request &request) const
{
    const double slots = std::max(1U, candidate.slots);
    const double distanceCost = candidate.sameZone ? 0 : request.zoneCost;
    const double expectedRunTime = this->averageRunTime(request);
    if (upstream == nullptr)
        return expectedRunTime + distanceCost;
    const KindStatistics *statistics = findKind(*upstream, request.kind);
    double observed = upstream->meanLatency[indexOf(request.callClass)];
    if (statistics != nullptr && statistics->meanRunTime > 0)
        observed = statistics->meanRunTime;
    const double runTime = std::max(observed == 0 ? expectedRunTime : observed,
                                    silencePenalty(*upstream, observed, request.now));
    const double occupied = upstream->outstanding + this->otherNodesCalls(*upstream, slots, request.now);
    const double queueRounds =
        std::max(0.0, occupied + 1 - slots) / slots + refusalPenalty(*upstream, request.now);
    const double reportedWait = statistics == nullptr ? 0 : this->expectedWait(*statistics, request.now);
    return runTime * (1 + loadTieBreak * occupied / slots) + std::max(runTime * queueRounds, reportedWait)
           + distanceCost;
}

// The last reported wait while it is recent, then the mean of the reports.
double LoadBalancer::expectedWait(const KindStatistics &statistics, Instant now) const
{
    if (statistics.reportedAt == Instant::min())
        return 0;
    const double fresh =
        std::exp(-toSeconds(now - statistics.reportedAt) / toSeconds(this->settings.reportedLoadDecay));
    return fresh * statistics.reportedWait + (1 - fresh) * statistics.meanWait;
}

double LoadBalancer::averageRunTime(const Request &request) const
{
    const auto entry = this->kindAverages.find(request.kind);
    if (entry != this->kindAverages.end() && entry->second.meanRunTime > 0)
        return entry->second.meanRunTime;
    const double latency = this->averageLatency[indexOf(request.callClass)];
    return latency == 0 ? initialRunTimeSeconds : latency;
}

// Traffic between zones is expensive and slow, and zones are not equally loaded. Balancing by load alone
// sends two thirds of all calls to other zones. Leaving a zone only when its upstreams refuse makes its
// callers wait for 170 ms at its only upstream while half of the slots of other zones are free. So a call
// goes to another zone if that saves more latency than its kilobytes cost.
double LoadBalancer::zoneCost(std::uint64_t kind, std::size_t requestBytes) const
{
    const auto entry = this->kindAverages.find(kind);
    const double answerBytes = entry == this->kindAverages.end() ? 0 : entry->second.meanAnswerBytes;
    const double kilobytes = (static_cast<double>(requestBytes) + answerBytes + overheadBytesPerCall) / 1024;
    return toSeconds(this->settings.crossZoneCost)
           + kilobytes * toSeconds(this->settings.crossZoneCostPerKilobyte);
}

// Calls of other nodes at the upstream, estimated from its reported load.
double LoadBalancer::otherNodesCalls(const Upstream &upstream, double slots, Instant now) const
{
    if (upstream.reportedAt == Instant::min())
        return 0;
    const double age = toSeconds(now - upstream.reportedAt) / toSeconds(this->settings.reportedLoadDecay);
    return std::max(0.0, slots + upstream.reportedExcess - upstream.outstanding) * std::exp(-age);
}

// If a host disappears silently, its calls end only when they time out, and it would attract more calls until
// then. While several calls wait there, its latency is taken to be at least the time since its last answer.
double LoadBalancer::silencePenalty(const Upstream &upstream, double expectedRunTime, Instant now)
{
    if (upstream.outstanding < minimumSilentCalls)
        return 0;
    const double seconds = toSeconds(now - upstream.lastProgressAt);
    return seconds > silentLatencies * expectedRunTime ? seconds : 0;
}

// If an upstream is absent or full while membership reports it as ready, every call would try it first and
// use up its retries. An upstream that refused a call a moment ago is tried after the others.
double LoadBalancer::refusalPenalty(const Upstream &upstream, Instant now)
{
    if (upstream.refusedAt == Instant::min())
        return 0;
    return refusalPenaltyRounds * std::exp(-toSeconds(now - upstream.refusedAt) / refusalDecaySeconds);
}

// Compares a few random candidates of this zone and a few of the others. Many nodes decide at once on the
// same stale reports, so always taking the best one would send all calls to the same upstream; a few random
// choices avoid that and come close to the best. The cost of another zone is part of the score, so other
// zones are used only if the wait in this zone exceeds it.
std::optional<std::size_t> LoadBalancer::pickBest(const Request &request, bool healthyOnly)
{
    Best best;
    this->compareCandidates(request, true, healthyOnly, best);
    this->compareCandidates(request, false, healthyOnly, best);
    return best.index;
}

// The first attempt of a call is always allowed. Otherwise, after the last upstream of a zone leaves, the
// backoff from other zones would refuse the zone's callers without one attempt most of the time, although
// those zones answer two of three calls of that kind.
bool LoadBalancer::isBackingOff(const Upstream &upstream, const Request &request) const
{
    if (this->settings.crossZoneCostPerKilobyte == Duration::zero() || request.tried.empty())
        return false;
    const KindStatistics *entry = findKind(upstream, request.kind);
    if (entry == nullptr || entry->consecutiveRefusals == 0)
        return false;
    constexpr std::uint32_t maximumBackoffDoublings = 16;
    const auto factor = std::int64_t{1} << std::min(entry->consecutiveRefusals - 1, maximumBackoffDoublings);
    const Duration backoff = std::min<Duration>(this->settings.maximumRefusalBackoff,
                                                this->settings.initialRefusalBackoff * factor);
    return request.now - entry->refusedAt < backoff;
}

const LoadBalancer::KindStatistics *LoadBalancer::findKind(const Upstream &upstream, std::uint64_t kind)
{
    const auto entry = std::ranges::find(upstream.kinds, kind, &KindStatistics::kind);
    return entry == upstream.kinds.end() ? nullptr : &*entry;
}

LoadBalancer::KindStatistics &LoadBalancer::obtainKind(Upstream &upstream, std::uint64_t kind)
{
    const auto entry = std::ranges::find(upstream.kinds, kind, &KindStatistics::kind);
    if (entry != upstream.kinds.end())
        return *entry;
    KindStatistics &statistics = upstream.kinds[upstream.nextKind];
    upstream.nextKind = (upstream.nextKind + 1) % upstream.kinds.size();
    statistics = KindStatistics{};
    statistics.kind = kind;
    return statistics;
}

// Refusals of calls that were sent together count once, since they give the same information.
void LoadBalancer::recordRefusal(Upstream &upstream, std::uint64_t kind, Instant now)
{
    KindStatistics &statistics = obtainKind(upstream, kind);
    if (statistics.consecutiveRefusals == 0
        || now - statistics.refusedAt >= this->settings.initialRefusalBackoff)
        statistics.consecutiveRefusals += 1;
    statistics.refusedAt = now;
}

void LoadBalancer::recordAcceptance(Upstream &upstream, std::uint64_t kind)
{
    const auto entry = std::ranges::find(upstream.kinds, kind, &KindStatistics::kind);
    if (entry != upstream.kinds.end())
        entry->consecutiveRefusals = 0;
}

// Walks the candidates of a zone from a random start. Positions are counted among the candidates only: a
// random position in the whole list would favour the first candidate after a run of others.
void LoadBalancer::compareCandidates(const Request &request, bool sameZone, bool healthyOnly, Best &best)
{
    const std::size_t count = request.candidates.size();
    std::size_t eligible = 0;
    for (std::size_t index = 0; index < count; ++index)
        eligible += request.isCandidate(index, sameZone) ? 1 : 0;
    if (eligible == 0)
        return;
    const std::size_t first = this->random() % eligible;
    std::size_t nextPosition = 0;
    std::size_t compared = 0;
    for (std::size_t step = 0; step < 2 * count && compared < this->settings.choices; ++step) {
        const std::size_t index = step < count ? step : step - count;
        if (!request.isCandidate(index, sameZone))
            continue;
        const std::size_t position = nextPosition++;
        if (position < first)
            continue;
        if (position >= first + eligible)
            return;
        const UpstreamCandidate &candidate = request.candidates[index];
        const Upstream *upstream = this->findUpstream(candidate.id);
        if (!isEligible(upstream, request, healthyOnly))
            continue;
        if (!sameZone && upstream != nullptr && this->isBackingOff(*upstream, request))
            continue;
        compared += 1;
        const double score = this->score(candidate, upstream, request);
        if (score < best.score)
            best = Best{index, score};
    }
}

// An upstream that fails fast looks idle and quick, whatever its health endpoint reports, so it would attract
// all calls and fail them. It is ejected by what this node has seen of its own calls.
void LoadBalancer::recordFailure(Upstream &upstream, Instant now, std::uint32_t weight)
{
    const double keep = 1 - 1 / completionWindow;
    upstream.failures = upstream.failures * keep + 1;
    upstream.completions = upstream.completions * keep + 1;
    upstream.consecutiveFailures += weight;
    if (upstream.ejectionState == EjectionState::Probing
        || upstream.ejectionState == EjectionState::Ejected) {
        this->eject(upstream, now);
        return;
    }
    const bool failsOften = upstream.completions >= minimumCompletions
                            && upstream.failures > ejectionFailureShare * upstream.completions;
    if (failsOften || upstream.consecutiveFailures >= consecutiveFailuresToEject)
        this->eject(upstream, now);
}

void LoadBalancer::recordSuccess(Upstream &upstream)
{
    const double keep = 1 - 1 / completionWindow;
    upstream.failures *= keep;
    upstream.completions = upstream.completions * keep + 1;
    upstream.consecutiveFailures = 0;
    if (upstream.ejectionState == EjectionState::Healthy)
        return;
    upstream.ejectionState = EjectionState::Probing;
    if (++upstream.probeSuccesses < probesToRecover)
        return;
    upstream.ejectionState = EjectionState::Healthy;
    upstream.failures = 0;
    upstream.completions = 0;
    upstream.ejections = 0;
    this->ejectedCount -= 1;
}

// The share of ejected upstreams is bounded: an error of a shared dependency could otherwise eject every
// upstream and overload those that are left. Beyond the bound, failing upstreams stay in use.
void LoadBalancer::eject(Upstream &upstream, Instant now)
{
    if (upstream.ejectionState == EjectionState::Healthy) {
        const double maximumEjected =
            this->settings.maximumEjectedShare * static_cast<double>(this->upstreams.size());
        if (static_cast<double>(this->ejectedCount + 1) > maximumEjected)
            return;
        this->ejectedCount += 1;
    }
    upstream.ejectionState = EjectionState::Ejected;
    upstream.probeSuccesses = 0;
    upstream.nextProbeAt =
        now + initialEjectionTime * (1LL << std::min(upstream.ejections, maximumDoublings));
    upstream.ejections += 1;
}

} // namespace Sagecrank
