// Placing, spilling to other zones, ejecting and taking back.
#include <LibDecide/LoadBalancer.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// Assumed of an upstream that nothing is known about.
constexpr double firstGuess = 0.002;

constexpr double tookWeight = 0.1;

// Failures are judged over about the last twenty ends: few enough to notice within a moment, enough that a
// healthy upstream's odd failure does not eject it.
constexpr double endsRemembered = 20;
constexpr double fewestEnds = 8;
constexpr double failureShare = 0.5;
constexpr std::uint32_t consecutiveToEject = 5;

// A call without an answer counts for more than a failure: it took its whole time to be heard of, and calls
// that may not run twice were lost meanwhile. Two in a row eject.
constexpr std::uint32_t unknownWeight = 3;

// How long an upstream stays out, doubling with each ejection in a row. The first is short, since a restart
// is the usual cause; the longest bounds how long a mended one stands idle.
constexpr Duration firstEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t mostDoublings = 5;

// So many probes in a row must succeed before an upstream is trusted again.
constexpr std::uint32_t probesToTrust = 3;

// An upstream is taken for silent after so many of its usual run times without an answer: fewer would
// distrust one that runs a long call.
constexpr double silentRuns = 4;
constexpr std::uint32_t fewestSilent = 2;

// A refusal counts as this many rounds of waiting, fading within about a tenth of a second.
constexpr double refusedRounds = 2;
constexpr double refusalLife = 0.1;

// What a call and its answer weigh beside their bodies: headers, names and frames of both ways.
constexpr double bytesOfAnyCall = 1200;

// Kinds of one service whose run time and answers are remembered; more start anew.
constexpr std::size_t mostKinds = 512;

// Failure: a host's node is restarted under the name that it had, and its gate said "draining" on its last
// answer. Symptom: nothing is sent there again, so nothing is heard to the contrary, and its upstream is lost
// to that sender for good; after a round of restarts its callers find none. Membership hears of a drain
// within a second, so what the gate said counts for twice as long, and then membership alone.
constexpr Duration drainingToldLife = std::chrono::seconds(2);

// Among upstreams with a free slot the emptier one is a little better.
constexpr double evenLoad = 0.01;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

// A running mean; zero is unknown.
void learn(double &mean, double seen)
{
    mean = mean == 0 ? seen : mean + tookWeight * (seen - mean);
}

} // namespace

LoadBalancer::LoadBalancer(LoadBalancerSettings settings, std::function<std::uint64_t()> random)
    : settings(settings)
    , random(std::move(random))
{
}

std::optional<std::size_t> LoadBalancer::pick(Instant now, std::span<const UpstreamCandidate> candidates,
                                              CallClass callClass, std::span<const std::size_t> tried,
                                              std::uint64_t kind, std::size_t requestBytes)
{
    const Request request{now, candidates, callClass, tried, kind, this->zoneCost(kind, requestBytes)};
    const auto trusted = this->choose(request, true);
    if (trusted || this->ejectedCount == 0)
        return trusted;
    // Every one left is ejected. Harm of refusing here: an outage of the judgement, not of the upstreams.
    return this->choose(request, false);
}

void LoadBalancer::recordStart(std::string_view id, Instant now)
{
    Upstream &upstream = this->obtain(id, now);
    if (upstream.outstanding == 0)
        upstream.progressAt = now;
    upstream.outstanding += 1;
    upstream.toldExcess += 1;
}

void LoadBalancer::recordEnd(std::string_view id, Instant now, CallClass callClass, Duration took,
                             AttemptOutcome end, std::uint64_t kind)
{
    Upstream &upstream = this->obtain(id, now);
    if (upstream.outstanding > 0)
        upstream.outstanding -= 1;
    upstream.toldExcess -= 1;
    if (end != AttemptOutcome::Unknown && end != AttemptOutcome::Cancelled)
        upstream.progressAt = now;
    switch (end) {
    case AttemptOutcome::Succeeded: {
        const double seconds = toSeconds(took);
        for (double *mean : {&upstream.took[indexOf(callClass)], &this->usualTook[indexOf(callClass)]})
            learn(*mean, seconds);
        this->noteSuccess(upstream);
        noteTaken(upstream, kind);
        break;
    }
    case AttemptOutcome::Failed:
        this->noteFailure(upstream, now, 1);
        break;
    case AttemptOutcome::Unknown:
        this->noteFailure(upstream, now, unknownWeight);
        break;
    case AttemptOutcome::RefusedNotRun:
        upstream.refusedAt = now;
        this->noteRefusal(upstream, kind, now);
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void LoadBalancer::recordReportedLoad(std::string_view id, Instant now, const ReportedLoad &load,
                                      std::uint64_t kind)
{
    Upstream &upstream = this->obtain(id, now);
    upstream.toldExcess = static_cast<double>(load.queued) - static_cast<double>(load.freeSlots);
    upstream.toldAt = now;
    upstream.toldDraining = load.draining;
    KindView &view = obtainKind(upstream, kind);
    view.wait = toSeconds(load.expectedWait);
    view.meanWait += tookWeight * (view.wait - view.meanWait);
    view.toldAt = now;
    if (load.runTime <= Duration::zero())
        return;
    if (this->usualKinds.size() >= mostKinds && !this->usualKinds.contains(kind))
        this->usualKinds.clear();
    KindUsual &usual = this->usualKinds[kind];
    learn(view.run, toSeconds(load.runTime));
    learn(usual.run, toSeconds(load.runTime));
    learn(usual.answerBytes, static_cast<double>(load.answerBytes));
}

void LoadBalancer::evictUnused(Instant before)
{
    std::erase_if(this->upstreams, [&](const auto &entry) {
        const Upstream &upstream = entry.second;
        if (upstream.outstanding > 0 || upstream.usedAt >= before)
            return false;
        if (upstream.standing != Standing::Trusted)
            this->ejectedCount -= 1;
        return true;
    });
}

bool LoadBalancer::isEjected(std::string_view id) const
{
    const Upstream *upstream = this->find(id);
    return upstream != nullptr && upstream->standing != Standing::Trusted;
}

std::uint32_t LoadBalancer::outstanding(std::string_view id) const
{
    const Upstream *upstream = this->find(id);
    return upstream == nullptr ? 0 : upstream->outstanding;
}

bool LoadBalancer::Request::allows(std::size_t index, bool sameZone) const
{
    const UpstreamCandidate &facts = this->candidates[index];
    const bool takesCalls =
        facts.condition == UpstreamCondition::Warming || facts.condition == UpstreamCondition::Ready;
    if (facts.sameZone != sameZone || !takesCalls)
        return false;
    return std::find(this->tried.begin(), this->tried.end(), index) == this->tried.end();
}

const LoadBalancer::Upstream *LoadBalancer::find(std::string_view id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

LoadBalancer::Upstream &LoadBalancer::obtain(std::string_view id, Instant now)
{
    auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        found = this->upstreams.emplace(std::string(id), Upstream{}).first;
    found->second.usedAt = now;
    return found->second;
}

bool LoadBalancer::usable(const Upstream *upstream, const Request &request, bool trustedOnly)
{
    if (upstream == nullptr)
        return true;
    if (upstream->toldDraining && request.now - upstream->toldAt < drainingToldLife)
        return false;
    if (!trustedOnly || upstream->standing == Standing::Trusted)
        return true;
    // A probe is a real call, so it is one at a time and never one that may not be sent again.
    const bool probeDue = request.now >= upstream->probeAt && upstream->outstanding == 0;
    return probeDue && request.callClass != CallClass::NonIdempotent;
}

// Expected seconds until an answer: the run time seen there, the wait, and the way. The gate told the wait of
// a call of this kind; for other moments it is reckoned by the calls that are there. Own outstanding calls
// are exact. Told load holds the other nodes' part, but loses weight as it ages: it was true when the gate
// wrote it, and a whole fleet that still acts on it would flood the one that looked idle.
double LoadBalancer::score(const UpstreamCandidate &facts, const Upstream *upstream,
                           const Request &request) const
{
    const double slots = std::max(1U, facts.slots);
    const double way = facts.sameZone ? 0 : request.zoneCost;
    const double usual = this->usualRun(request);
    if (upstream == nullptr)
        return usual + way;
    const KindView *view = findKind(*upstream, request.kind);
    double seen = upstream->took[indexOf(request.callClass)];
    if (view != nullptr && view->run > 0)
        seen = view->run;
    const double run = std::max(seen == 0 ? usual : seen, silence(*upstream, seen, request.now));
    const double occupied = upstream->outstanding + this->others(*upstream, slots, request.now);
    const double rounds = std::max(0.0, occupied + 1 - slots) / slots + refusal(*upstream, request.now);
    const double told = view == nullptr ? 0 : this->expectedWait(*view, request.now);
    return run * (1 + evenLoad * occupied / slots) + std::max(run * rounds, told) + way;
}

// What was told a moment ago, then what is usual.
double LoadBalancer::expectedWait(const KindView &view, Instant now) const
{
    if (view.toldAt == Instant::min())
        return 0;
    const double fresh =
        std::exp(-toSeconds(now - view.toldAt) / toSeconds(this->settings.reportedLoadDecay));
    return fresh * view.wait + (1 - fresh) * view.meanWait;
}

double LoadBalancer::usualRun(const Request &request) const
{
    const auto known = this->usualKinds.find(request.kind);
    if (known != this->usualKinds.end() && known->second.run > 0)
        return known->second.run;
    const double took = this->usualTook[indexOf(request.callClass)];
    return took == 0 ? firstGuess : took;
}

// Load: hosts of several zones whose bytes to each other are dear and slow, and whose zones are not equally
// full. Harm of spreading by load alone: two thirds of all calls cross zones. Harm of leaving a zone only
// when it refuses: a zone's one upstream makes its callers wait for 170 ms while half of the others' slots
// are free. So a call crosses when its answer comes earlier by what its kilobytes cost.
double LoadBalancer::zoneCost(std::uint64_t kind, std::size_t requestBytes) const
{
    const auto known = this->usualKinds.find(kind);
    const double answerBytes = known == this->usualKinds.end() ? 0 : known->second.answerBytes;
    const double kilobytes = (static_cast<double>(requestBytes) + answerBytes + bytesOfAnyCall) / 1024;
    return toSeconds(this->settings.crossZoneCost)
           + kilobytes * toSeconds(this->settings.crossZoneCostPerKilobyte);
}

// Calls of other nodes there, from what the gate told.
double LoadBalancer::others(const Upstream &upstream, double slots, Instant now) const
{
    if (upstream.toldAt == Instant::min())
        return 0;
    const double age = toSeconds(now - upstream.toldAt) / toSeconds(this->settings.reportedLoadDecay);
    return std::max(0.0, slots + upstream.toldExcess - upstream.outstanding) * std::exp(-age);
}

// Failure: a host is gone without a word, and its calls come back only when their time is out. Symptom: it
// draws calls until then. While several wait there, what it takes is at least its silence.
double LoadBalancer::silence(const Upstream &upstream, double usual, Instant now)
{
    if (upstream.outstanding < fewestSilent)
        return 0;
    const double seconds = toSeconds(now - upstream.progressAt);
    return seconds > silentRuns * usual ? seconds : 0;
}

// Failure: an upstream is absent or full and membership says that it is ready. Symptom: every call tries it
// first and spends its retries. One that refused a moment ago is tried after the others.
double LoadBalancer::refusal(const Upstream &upstream, Instant now)
{
    if (upstream.refusedAt == Instant::min())
        return 0;
    return refusedRounds * std::exp(-toSeconds(now - upstream.refusedAt) / refusalLife);
}

// A few of this zone and a few of the others are compared. Load: many nodes place at once on what they heard
// a moment ago. Harm of always taking the best: all take the same one. A random few avoid that and come close
// to the best. The other zones' way counts in the score, so they are used only when this zone's wait is above
// it.
std::optional<std::size_t> LoadBalancer::choose(const Request &request, bool trustedOnly)
{
    Best best;
    this->compare(request, true, trustedOnly, best);
    this->compare(request, false, trustedOnly, best);
    return best.index;
}

// Failure: the last upstream of a zone leaves. Symptom: with the refusals of other zones remembered, the
// zone's callers are refused without one try for most of the time, while those zones answer two calls in
// three of that kind. So the first try of a call is always made.
bool LoadBalancer::isInVain(const Upstream &upstream, const Request &request) const
{
    if (this->settings.crossZoneCostPerKilobyte == Duration::zero() || request.tried.empty())
        return false;
    const KindView *known = findKind(upstream, request.kind);
    if (known == nullptr || known->refusedInRow == 0)
        return false;
    constexpr std::uint32_t mostDoublingsOfLife = 16;
    const auto factor = std::int64_t{1} << std::min(known->refusedInRow - 1, mostDoublingsOfLife);
    const Duration life = std::min<Duration>(this->settings.maximumRefusalBackoff,
                                             this->settings.initialRefusalBackoff * factor);
    return request.now - known->refusedAt < life;
}

const LoadBalancer::KindView *LoadBalancer::findKind(const Upstream &upstream, std::uint64_t kind)
{
    const auto known = std::ranges::find(upstream.kinds, kind, &KindView::kind);
    return known == upstream.kinds.end() ? nullptr : &*known;
}

LoadBalancer::KindView &LoadBalancer::obtainKind(Upstream &upstream, std::uint64_t kind)
{
    const auto known = std::ranges::find(upstream.kinds, kind, &KindView::kind);
    if (known != upstream.kinds.end())
        return *known;
    KindView &view = upstream.kinds[upstream.nextKind];
    upstream.nextKind = (upstream.nextKind + 1) % upstream.kinds.size();
    view = KindView{};
    view.kind = kind;
    return view;
}

// Refusals of calls that were placed together count once: they say the same.
void LoadBalancer::noteRefusal(Upstream &upstream, std::uint64_t kind, Instant now)
{
    KindView &view = obtainKind(upstream, kind);
    if (view.refusedInRow == 0 || now - view.refusedAt >= this->settings.initialRefusalBackoff)
        view.refusedInRow += 1;
    view.refusedAt = now;
}

void LoadBalancer::noteTaken(Upstream &upstream, std::uint64_t kind)
{
    const auto known = std::ranges::find(upstream.kinds, kind, &KindView::kind);
    if (known != upstream.kinds.end())
        known->refusedInRow = 0;
}

// Goes through the eligible ones of a zone from a random one on. Ranks are counted among the eligible, since
// a random position in the list would favour the first one behind a run of others.
void LoadBalancer::compare(const Request &request, bool sameZone, bool trustedOnly, Best &best)
{
    const std::size_t count = request.candidates.size();
    std::size_t eligible = 0;
    for (std::size_t index = 0; index < count; ++index)
        eligible += request.allows(index, sameZone) ? 1 : 0;
    if (eligible == 0)
        return;
    const std::size_t first = this->random() % eligible;
    std::size_t rank = 0;
    std::size_t compared = 0;
    for (std::size_t step = 0; step < 2 * count && compared < this->settings.choices; ++step) {
        const std::size_t index = step < count ? step : step - count;
        if (!request.allows(index, sameZone))
            continue;
        const std::size_t itsRank = rank++;
        if (itsRank < first)
            continue;
        if (itsRank >= first + eligible)
            return;
        const UpstreamCandidate &facts = request.candidates[index];
        const Upstream *upstream = this->find(facts.id);
        if (!usable(upstream, request, trustedOnly))
            continue;
        if (!sameZone && upstream != nullptr && this->isInVain(*upstream, request))
            continue;
        compared += 1;
        const double score = this->score(facts, upstream, request);
        if (score < best.score)
            best = Best{index, score};
    }
}

// Load: an upstream that fails at once looks idle and quick, whatever its health endpoint says. Harm: it
// draws all calls and fails them. It is ejected on what this node saw of its own calls.
void LoadBalancer::noteFailure(Upstream &upstream, Instant now, std::uint32_t weight)
{
    const double keep = 1 - 1 / endsRemembered;
    upstream.failures = upstream.failures * keep + 1;
    upstream.ends = upstream.ends * keep + 1;
    upstream.consecutiveFailures += weight;
    if (upstream.standing == Standing::Probing || upstream.standing == Standing::Ejected) {
        this->eject(upstream, now);
        return;
    }
    const bool often = upstream.ends >= fewestEnds && upstream.failures > failureShare * upstream.ends;
    if (often || upstream.consecutiveFailures >= consecutiveToEject)
        this->eject(upstream, now);
}

void LoadBalancer::noteSuccess(Upstream &upstream)
{
    const double keep = 1 - 1 / endsRemembered;
    upstream.failures *= keep;
    upstream.ends = upstream.ends * keep + 1;
    upstream.consecutiveFailures = 0;
    if (upstream.standing == Standing::Trusted)
        return;
    upstream.standing = Standing::Probing;
    if (++upstream.probesPassed < probesToTrust)
        return;
    upstream.standing = Standing::Trusted;
    upstream.failures = 0;
    upstream.ends = 0;
    upstream.ejections = 0;
    this->ejectedCount -= 1;
}

// Harm of ejecting without a bound: one bad answer of a shared dependency ejects every upstream, and the few
// that are left are crushed. At most a share is out at once; the others stay in however they fail.
void LoadBalancer::eject(Upstream &upstream, Instant now)
{
    if (upstream.standing == Standing::Trusted) {
        const double most = this->settings.maximumEjectedShare * static_cast<double>(this->upstreams.size());
        if (static_cast<double>(this->ejectedCount + 1) > most)
            return;
        this->ejectedCount += 1;
    }
    upstream.standing = Standing::Ejected;
    upstream.probesPassed = 0;
    upstream.probeAt = now + firstEjection * (1LL << std::min(upstream.ejections, mostDoublings));
    upstream.ejections += 1;
}

} // namespace Sagecrank
