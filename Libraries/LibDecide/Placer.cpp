// Placing, spilling to other zones, ejecting and taking back.
#include <LibDecide/Placer.h>

#include <algorithm>
#include <cmath>
#include <limits>

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

// How long an upstream stays out, doubling with each ejection in a row. The first is short, since a restart
// is the usual cause; the longest bounds how long a mended one stands idle.
constexpr Duration firstEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t mostDoublings = 5;

// So many probes in a row must succeed before an upstream is trusted again.
constexpr std::uint32_t probesToTrust = 3;

// An upstream is taken for silent after so many of its usual run times without an answer: fewer would
// distrust one that runs a long call.
constexpr double silentRuns = 4;

// A refusal counts as this many rounds of waiting, fading within about a tenth of a second.
constexpr double refusedRounds = 2;
constexpr double refusalLife = 0.1;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

bool contains(std::span<const std::size_t> indices, std::size_t index)
{
    return std::find(indices.begin(), indices.end(), index) != indices.end();
}

} // namespace

Placer::Placer(PlacerSettings settings, std::function<std::uint64_t()> random)
    : settings(settings)
    , random(std::move(random))
{
}

std::optional<std::size_t> Placer::place(Instant now, std::span<const UpstreamFacts> candidates,
                                         CallClass callClass, std::span<const std::size_t> tried)
{
    const auto trusted = this->chooseAmong(now, candidates, callClass, tried, true);
    if (trusted || this->ejectedCount == 0)
        return trusted;
    // Every one left is ejected. Harm of refusing here: an outage of the judgement, not of the upstreams.
    return this->chooseAmong(now, candidates, callClass, tried, false);
}

void Placer::started(std::string_view id, Instant now)
{
    Upstream &upstream = this->obtain(id, now);
    if (upstream.outstanding == 0)
        upstream.progressAt = now;
    upstream.outstanding += 1;
    upstream.toldExcess += 1;
}

void Placer::ended(std::string_view id, Instant now, CallClass callClass, Duration took, PlacedEnd end)
{
    Upstream &upstream = this->obtain(id, now);
    if (upstream.outstanding > 0)
        upstream.outstanding -= 1;
    upstream.toldExcess -= 1;
    if (end != PlacedEnd::Unknown && end != PlacedEnd::Cancelled)
        upstream.progressAt = now;
    switch (end) {
    case PlacedEnd::Succeeded: {
        const double seconds = toSeconds(took);
        for (double *mean : {&upstream.took[indexOf(callClass)], &this->usualTook[indexOf(callClass)]})
            *mean = *mean == 0 ? seconds : *mean + tookWeight * (seconds - *mean);
        this->noteSuccess(upstream);
        break;
    }
    case PlacedEnd::Failed:
    case PlacedEnd::Unknown:
        this->noteFailure(upstream, now);
        break;
    case PlacedEnd::RefusedNotRun:
        upstream.refusedAt = now;
        break;
    case PlacedEnd::Cancelled:
        break;
    }
}

void Placer::told(std::string_view id, Instant now, std::uint32_t freeSlots, std::uint32_t queued,
                  bool draining)
{
    Upstream &upstream = this->obtain(id, now);
    upstream.toldExcess = static_cast<double>(queued) - static_cast<double>(freeSlots);
    upstream.toldAt = now;
    upstream.toldDraining = draining;
}

void Placer::forget(Instant before)
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

bool Placer::ejected(std::string_view id) const
{
    const Upstream *upstream = this->find(id);
    return upstream != nullptr && upstream->standing != Standing::Trusted;
}

std::uint32_t Placer::outstanding(std::string_view id) const
{
    const Upstream *upstream = this->find(id);
    return upstream == nullptr ? 0 : upstream->outstanding;
}

bool Placer::takesCalls(const UpstreamFacts &facts)
{
    return facts.condition == UpstreamCondition::Warming || facts.condition == UpstreamCondition::Ready;
}

Placer::Upstream *Placer::find(std::string_view id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

const Placer::Upstream *Placer::find(std::string_view id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

Placer::Upstream &Placer::obtain(std::string_view id, Instant now)
{
    auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        found = this->upstreams.emplace(std::string(id), Upstream{}).first;
    found->second.usedAt = now;
    return found->second;
}

bool Placer::usable(const UpstreamFacts &facts, const Upstream *upstream, CallClass callClass,
                    Instant now) const
{
    if (!takesCalls(facts))
        return false;
    if (upstream == nullptr || upstream->standing == Standing::Trusted)
        return true;
    // A probe is a real call, so it is one at a time and never one that may not be sent again.
    const bool probeDue = now >= upstream->probeAt && upstream->outstanding == 0;
    return probeDue && callClass != CallClass::NonIdempotent;
}

// Expected seconds until an answer: the run time seen there, times the rounds that the call waits, and the
// way. Own outstanding calls are exact. Told load holds the other nodes' part, but loses weight as it ages:
// it was true when the gate wrote it, and a whole fleet that still acts on it would flood the one that looked
// idle.
double Placer::score(const UpstreamFacts &facts, const Upstream *upstream, CallClass callClass,
                     Instant now) const
{
    const double usual = this->usualTook[indexOf(callClass)];
    double run = usual == 0 ? firstGuess : usual;
    const double slots = std::max(1U, facts.slots);
    double occupied = 0;
    if (upstream != nullptr) {
        if (upstream->took[indexOf(callClass)] != 0)
            run = upstream->took[indexOf(callClass)];
        occupied = upstream->outstanding;
        // Failure: a host is gone without a word, and its calls come back only when their time is out.
        // Symptom: it draws calls until then. While several wait there, what it takes is at least its
        // silence.
        if (upstream->outstanding >= 2) {
            const double silence = toSeconds(now - upstream->progressAt);
            if (silence > silentRuns * run)
                run = silence;
        }
        if (upstream->toldAt != Instant::min()) {
            const double age = toSeconds(now - upstream->toldAt) / toSeconds(this->settings.toldLoadLife);
            const double others = slots + upstream->toldExcess - occupied;
            occupied += std::max(0.0, others) * std::exp(-age);
        }
    }
    double rounds = std::max(0.0, occupied + 1 - slots) / slots;
    // Failure: an upstream is absent or full and membership says that it is ready. Symptom: every call tries
    // it first and spends its retries. One that refused a moment ago is tried after the others.
    if (upstream != nullptr && upstream->refusedAt != Instant::min())
        rounds += refusedRounds * std::exp(-toSeconds(now - upstream->refusedAt) / refusalLife);
    const double spread = occupied / slots * 0.01;
    const double way = facts.sameZone ? 0 : toSeconds(this->settings.otherZoneCost);
    return run * (1 + rounds + spread) + way;
}

// Two random ones of this zone and two of the others are compared. Load: many nodes place at once on what
// they heard a moment ago. Harm of always taking the best: all take the same one. Two random choices avoid
// that and stay close to the best. The other zones' way counts in the score, so they are used only when this
// zone's wait is above it.
std::optional<std::size_t> Placer::chooseAmong(Instant now, std::span<const UpstreamFacts> candidates,
                                               CallClass callClass, std::span<const std::size_t> tried,
                                               bool trustedOnly)
{
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const bool sameZone : {true, false}) {
        std::size_t eligible = 0;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const bool fits = candidates[index].sameZone == sameZone && takesCalls(candidates[index]);
            eligible += fits && !contains(tried, index) ? 1 : 0;
        }
        if (eligible == 0)
            continue;
        const std::size_t start = this->random() % candidates.size();
        std::size_t compared = 0;
        for (std::size_t step = 0; step < candidates.size() && compared < this->settings.choices; ++step) {
            const std::size_t index = (start + step) % candidates.size();
            const UpstreamFacts &facts = candidates[index];
            if (facts.sameZone != sameZone || !takesCalls(facts) || contains(tried, index))
                continue;
            const Upstream *upstream = this->find(facts.id);
            if (upstream != nullptr && upstream->toldDraining)
                continue;
            if (trustedOnly && !this->usable(facts, upstream, callClass, now))
                continue;
            compared += 1;
            const double score = this->score(facts, upstream, callClass, now);
            if (score < bestScore) {
                bestScore = score;
                best = index;
            }
        }
    }
    return best;
}

// Load: an upstream that fails at once looks idle and quick, whatever its health endpoint says. Harm: it
// draws all calls and fails them. It is ejected on what this node saw of its own calls.
void Placer::noteFailure(Upstream &upstream, Instant now)
{
    const double keep = 1 - 1 / endsRemembered;
    upstream.failures = upstream.failures * keep + 1;
    upstream.ends = upstream.ends * keep + 1;
    upstream.consecutiveFailures += 1;
    if (upstream.standing == Standing::Probing || upstream.standing == Standing::Ejected) {
        this->eject(upstream, now);
        return;
    }
    const bool often = upstream.ends >= fewestEnds && upstream.failures > failureShare * upstream.ends;
    if (often || upstream.consecutiveFailures >= consecutiveToEject)
        this->eject(upstream, now);
}

void Placer::noteSuccess(Upstream &upstream)
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
void Placer::eject(Upstream &upstream, Instant now)
{
    if (upstream.standing == Standing::Trusted) {
        const double most = this->settings.ejectedShare * static_cast<double>(this->upstreams.size());
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
