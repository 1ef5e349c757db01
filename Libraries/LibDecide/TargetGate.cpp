// Ranking, admitting and refusing by target.
#include <LibDecide/TargetGate.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

using namespace std::chrono_literals;

// A kind whose first call has not ended yet is taken to need this part of its target: most services set a
// target of three to four times the usual run.
constexpr double firstGuessOfTarget = 0.3;
constexpr Duration firstGuess = 50ms; // Where there is no target either.

// One observation moves the estimates by this share, so about the last forty calls count: enough to be calm,
// few enough to follow a server that turns slow within a second.
constexpr double leastWeight = 0.05;

// Offered and started calls of a kind count for about this long, in seconds.
constexpr double window = 2.0;

// Load: sustained overload by calls of a higher rank. Harm: the lowest kind gets nothing for as long as it
// lasts, and its users see an outage instead of a slow day. A kind of which less than this share starts goes
// first until it is back at it.
constexpr double starvedShare = 0.15;
constexpr double fewestOffered = 3; // Below it, a share says nothing.

// Load: calls of 240 ms beside others that must be answered within 60. Harm: when long ones hold every slot,
// the quick ones wait for one to end and are late, although they need little. Long ones hold the slots that
// the quick ones leave on average, less so many standard deviations of their number (which is its square
// root, for calls that come independently).
constexpr double spareDeviations = 0.5;
constexpr double longRuns = 4; // Times the other kind's run: closer ones share the slots without harm.

// Of two calls of one priority, the quick one goes first while the other has this many of its own runs more
// to spare. Without it, long calls near their target hold up many quick ones; with much more, they are always
// last.
constexpr int runsOfHeadStart = 1;

// The share of the slots that calls of a higher rank took lately makes everybody behind them wait longer.
// Above this the estimate would be without bound.
constexpr double mostShareAhead = 0.9;

// Once calls in time take this share of the slots, a late one that waits is overtaken for as long as that
// lasts.
constexpr double hopelessShare = 0.6;

constexpr double leastRemaining = 0.2; // Of the usual run, for one that has outlived it.

// A late call waits behind all that are in time, so its wait is the least certain: it needs room for twice as
// much as expected. In trials with less room such calls waited to their deadline in vain.
constexpr double lateMargin = 2.0;

constexpr std::size_t mostKinds = 512; // About 60 KB.

constexpr Duration absentRetryAfter = 1s; // Until the callers' nodes have heard that the upstream leaves.
constexpr Duration longestRetryAfter = 5s;
constexpr Duration shortestRetryAfter = 5ms;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

TargetGate::TargetGate(TargetGateSettings settings)
    : settings(settings)
    , slots(settings.slots)
    , jitterState(settings.jitterSeed)
{
}

GateDecision TargetGate::offer(Instant now, const CallFacts &facts, std::vector<GateAction> &actions)
{
    Kind &kind = this->obtain(now, facts);
    kind.offered += 1;
    const RefusalReason reason = this->refusal(now, facts);
    if (reason != RefusalReason::None)
        return this->refuse(now, facts, reason);
    const Ticket ticket = this->nextTicket++;
    if (this->mayStartNow(now, facts)) {
        this->begin(now, ticket, facts);
        return GateDecision{GateVerdict::Start, ticket, RefusalReason::None, Duration::zero()};
    }
    this->waitingCalls.push_back(Waiting{ticket, facts});
    this->refuseHopeless(now, actions);
    return GateDecision{GateVerdict::Queue, ticket, RefusalReason::None, Duration::zero()};
}

void TargetGate::finish(Instant now, Ticket ticket, CallEnd end, std::vector<GateAction> &actions)
{
    const auto found = std::find_if(this->runningCalls.begin(), this->runningCalls.end(),
                                    [ticket](const Running &call) { return call.ticket == ticket; });
    if (found == this->runningCalls.end())
        return;
    const Running ended = *found;
    *found = this->runningCalls.back();
    this->runningCalls.pop_back();
    const Duration took = now - ended.startedAt;
    if (end == CallEnd::Succeeded)
        this->observe(ended.kind, took);
    // A call that was cut off would have run at least as long; that counts when it is more than the usual.
    const Kind *kind = this->find(ended.kind);
    if (end == CallEnd::Cancelled && kind != nullptr && toSeconds(took) > kind->mean)
        this->observe(ended.kind, took);
    this->startWaiting(now, actions);
}

void TargetGate::cancel(Instant now, Ticket ticket, std::vector<GateAction> &actions)
{
    std::erase_if(this->waitingCalls, [ticket](const Waiting &call) { return call.ticket == ticket; });
    this->startWaiting(now, actions);
}

void TargetGate::advance(Instant now, std::vector<GateAction> &actions)
{
    this->startWaiting(now, actions);
}

void TargetGate::setState(Instant now, UpstreamCondition condition, std::uint32_t slots,
                          std::vector<GateAction> &actions)
{
    this->slots = slots;
    this->state = condition;
    if (this->takesCalls())
        return this->startWaiting(now, actions);
    const RefusalReason reason =
        condition == UpstreamCondition::Draining ? RefusalReason::Draining : RefusalReason::NotReady;
    for (const Waiting &call : this->waitingCalls)
        actions.push_back(GateAction{call.ticket, false, reason, this->retryAfter(now, call.facts, reason)});
    this->waitingCalls.clear();
}

void TargetGate::setMaximumQueue(std::uint32_t maximumQueue)
{
    this->settings.maximumQueue = maximumQueue;
}

bool TargetGate::wouldAdmit(Instant now, const CallFacts &facts) const
{
    return this->refusal(now, facts) == RefusalReason::None;
}

std::uint32_t TargetGate::freeSlots() const
{
    if (!this->takesCalls() || this->running() >= this->slots)
        return 0;
    return this->slots - this->running();
}

std::optional<Instant> TargetGate::nextDeadline() const
{
    std::optional<Instant> next;
    for (const Waiting &call : this->waitingCalls) {
        const Duration quick = this->quickRun(call.facts);
        Instant at = call.facts.deadline - quick;
        if (call.facts.target && !call.facts.lateAccepted)
            at = std::min(at, *call.facts.target - quick);
        next = std::min(next.value_or(Instant::max()), at);
    }
    return next;
}

// The slots as they get free, taken one after the other by the calls that go first. What comes of a higher
// rank meanwhile goes ahead too: the wait is stretched by the share that such calls took lately. Long calls
// wait for each other only, in the slots that are theirs.
Duration TargetGate::expectedWait(Instant now, const CallFacts &facts) const
{
    if (this->mayStartNow(now, facts))
        return Duration::zero();
    const bool isLong = this->isLong(now, facts);
    const double run = toSeconds(this->usualRun(now, facts));
    const std::size_t slots = isLong ? this->slotsForLong(now, facts) : std::max(1U, this->slots);
    std::vector<double> free;
    for (const Running &call : this->runningCalls) {
        const Kind *kind = this->find(call.kind);
        const double mean = kind == nullptr || kind->mean == 0 ? toSeconds(firstGuess) : kind->mean;
        // A run that has outlived the usual one goes on for a while: run times have long tails.
        if (!isLong || mean * longRuns > run)
            free.push_back(std::max(mean - toSeconds(now - call.startedAt), leastRemaining * mean));
    }
    free.resize(std::max(slots, free.size()), 0.0);
    const Rank own = this->rankOf(now, facts, this->nextTicket);
    const auto later = [](double left, double right) { return left > right; };
    std::make_heap(free.begin(), free.end(), later);
    for (const Waiting &call : this->waitingCalls) {
        const double needs = toSeconds(this->usualRun(now, call.facts));
        const bool another = isLong && needs * longRuns <= run;
        if (another || !ranksBefore(this->rankOf(now, call.facts, call.ticket), own))
            continue;
        std::pop_heap(free.begin(), free.end(), later);
        free.back() += needs;
        std::push_heap(free.begin(), free.end(), later);
    }
    return fromSeconds(free.front() / (1.0 - this->shareAhead(now, facts, own)));
}

bool TargetGate::takesCalls() const
{
    return this->state == UpstreamCondition::Warming || this->state == UpstreamCondition::Ready;
}

const TargetGate::Kind *TargetGate::find(std::uint64_t kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? nullptr : &found->second;
}

TargetGate::Kind &TargetGate::obtain(Instant now, const CallFacts &facts)
{
    if (this->kinds.size() >= mostKinds && !this->kinds.contains(facts.kind))
        this->forgetOldKinds();
    Kind &kind = this->kinds[facts.kind];
    this->fade(kind, now);
    kind.priority = facts.priority;
    if (facts.target) {
        const Duration run = this->usualRun(now, facts);
        kind.slack = toSeconds(*facts.target - now - run);
        kind.turnAfter = *facts.target - now - run + runsOfHeadStart * run;
    }
    return kind;
}

void TargetGate::fade(Kind &kind, Instant now) const
{
    if (kind.fadedAt != Instant::min()) {
        const double kept = std::exp(-toSeconds(now - kind.fadedAt) / window);
        kind.offered *= kept;
        kind.started *= kept;
    }
    kind.fadedAt = now;
}

void TargetGate::forgetOldKinds()
{
    auto oldest = this->kinds.begin();
    for (auto entry = this->kinds.begin(); entry != this->kinds.end(); ++entry) {
        if (entry->second.fadedAt < oldest->second.fadedAt)
            oldest = entry;
    }
    this->kinds.erase(oldest);
}

void TargetGate::observe(std::uint64_t kindId, Duration took)
{
    const auto found = this->kinds.find(kindId);
    if (found == this->kinds.end())
        return;
    Kind &kind = found->second;
    const double seconds = toSeconds(took);
    kind.observations += 1;
    if (kind.observations <= 1) {
        kind.mean = seconds;
        kind.deviation = seconds / 2;
        return;
    }
    const double weight = std::max(leastWeight, 1.0 / kind.observations);
    const double distance = std::abs(seconds - kind.mean);
    kind.mean += weight * (seconds - kind.mean);
    kind.deviation += weight * (distance - kind.deviation);
}

Duration TargetGate::usualRun(Instant now, const CallFacts &facts) const
{
    const Kind *kind = this->find(facts.kind);
    if (kind != nullptr && kind->observations > 0)
        return fromSeconds(kind->mean);
    if (!facts.target)
        return firstGuess;
    return std::max<Duration>(Duration::zero(),
                              fromSeconds(toSeconds(*facts.target - now) * firstGuessOfTarget));
}

// What a quick call of the kind takes. A call that could start at once is judged by this one: the mean would
// turn away calls that make it half of the time.
Duration TargetGate::quickRun(const CallFacts &facts) const
{
    const Kind *kind = this->find(facts.kind);
    if (kind == nullptr || kind->observations == 0)
        return Duration::zero();
    return fromSeconds(std::max(0.0, kind->mean - 1.5 * kind->deviation));
}

bool TargetGate::inTime(Instant now, const CallFacts &facts) const
{
    return !facts.target || now + this->quickRun(facts) <= *facts.target;
}

TargetGate::Rank TargetGate::rankOf(Instant now, const CallFacts &facts, Ticket ticket) const
{
    const Duration run = this->usualRun(now, facts);
    Rank rank;
    rank.late = !this->inTime(now, facts);
    rank.starved = this->isStarved(facts.kind);
    rank.priority = facts.priority;
    rank.turn = facts.target.value_or(facts.deadline) - run + runsOfHeadStart * run;
    rank.ticket = ticket;
    return rank;
}

// In time before late, since a late answer is worth a part of the other; the more urgent before the less;
// then whoever must start first, with a head start for the quick, since a slot answers more of them.
bool TargetGate::ranksBefore(const Rank &left, const Rank &right)
{
    if (left.late != right.late)
        return !left.late;
    if (left.starved != right.starved)
        return left.starved;
    if (left.priority != right.priority)
        return left.priority < right.priority;
    if (left.turn != right.turn)
        return left.turn < right.turn;
    return left.ticket < right.ticket;
}

bool TargetGate::isStarved(std::uint64_t kindId) const
{
    const Kind *kind = this->find(kindId);
    return kind != nullptr && kind->offered >= fewestOffered && kind->started < starvedShare * kind->offered;
}

// Whether such a call runs longer than some kind that is not less urgent can wait.
bool TargetGate::isLong(Instant now, const CallFacts &facts) const
{
    const double run = toSeconds(this->usualRun(now, facts));
    return std::any_of(this->kinds.begin(), this->kinds.end(), [&](const auto &entry) {
        const Kind &other = entry.second;
        const bool present = other.offered >= 1 && toSeconds(now - other.fadedAt) < window;
        return present && entry.first != facts.kind && other.priority <= facts.priority && other.mean > 0
               && run > longRuns * other.mean && run > other.slack;
    });
}

// Slots that calls which run long may hold together: those that the quick ones leave, with some to spare for
// the moments when several come at once.
std::uint32_t TargetGate::slotsForLong(Instant now, const CallFacts &facts) const
{
    double quickLoad = 0;
    const double run = toSeconds(this->usualRun(now, facts));
    for (const auto &[id, kind] : this->kinds) {
        if (kind.priority <= facts.priority && kind.mean * longRuns < run)
            quickLoad += this->recentLoad(now, kind);
    }
    const double spare = spareDeviations * std::sqrt(quickLoad);
    const double left = std::ceil(this->slots - quickLoad - spare);
    return left < 1 ? 1 : static_cast<std::uint32_t>(left);
}

bool TargetGate::leavesReserve(Instant now, const CallFacts &facts) const
{
    if (!this->isLong(now, facts))
        return true;
    const double run = toSeconds(this->usualRun(now, facts));
    const auto holding =
        std::count_if(this->runningCalls.begin(), this->runningCalls.end(), [&](const Running &call) {
            const Kind *kind = this->find(call.kind);
            return kind != nullptr && kind->mean * longRuns > run;
        });
    return holding < static_cast<std::ptrdiff_t>(this->slotsForLong(now, facts));
}

// Slots that the kind's calls took lately, on average. What was offered says less: a call that several gates
// refuse is offered to each of them.
double TargetGate::recentLoad(Instant now, const Kind &kind) const
{
    return kind.mean * kind.started * std::exp(-toSeconds(now - kind.fadedAt) / window) / window;
}

bool TargetGate::mayStartNow(Instant now, const CallFacts &facts) const
{
    if (this->freeSlots() == 0 || !this->leavesReserve(now, facts))
        return false;
    const Rank own = this->rankOf(now, facts, this->nextTicket);
    return std::none_of(this->waitingCalls.begin(), this->waitingCalls.end(), [&](const Waiting &call) {
        return this->leavesReserve(now, call.facts)
               && ranksBefore(this->rankOf(now, call.facts, call.ticket), own);
    });
}

// Of the slots' time lately, by kinds that go before the rank. The part that quick kinds take of the slots
// has been taken off already for a long call.
double TargetGate::shareAhead(Instant now, const CallFacts &facts, const Rank &rank) const
{
    if (rank.starved)
        return 0;
    const bool isLong = this->isLong(now, facts);
    const double run = toSeconds(this->usualRun(now, facts));
    double load = 0;
    for (const auto &[id, kind] : this->kinds) {
        const bool ahead = rank.late || kind.priority < rank.priority
                           || (kind.priority == rank.priority && now + kind.turnAfter < rank.turn);
        if (ahead && !(isLong && kind.mean * longRuns <= run))
            load += this->recentLoad(now, kind);
    }
    const double slots = isLong ? this->slotsForLong(now, facts) : std::max(1U, this->slots);
    return std::min(mostShareAhead, load / slots);
}

// Whether all that is in time leaves next to nothing for late calls.
bool TargetGate::lateIsHopeless(Instant now, const CallFacts &facts) const
{
    CallFacts late = facts;
    late.target = now - 1h;
    return this->shareAhead(now, late, this->rankOf(now, late, this->nextTicket)) >= hopelessShare;
}

// Load: more calls than the slots bear. Harm: a call that waits for nothing costs its caller the patience
// that another try would need. It is refused at once: when it cannot be answered before its deadline, or only
// after its target while there may be a better place, or when it would be late and everything in time goes
// before it.
RefusalReason TargetGate::refusal(Instant now, const CallFacts &facts) const
{
    if (this->state == UpstreamCondition::Draining)
        return RefusalReason::Draining;
    if (!this->takesCalls() || this->slots == 0)
        return RefusalReason::NotReady;
    const Duration wait = this->expectedWait(now, facts);
    if (wait <= Duration::zero()) {
        // One at a time may correct an estimate that is above every deadline.
        const bool onlyOne = this->runningCalls.empty();
        const Duration least = onlyOne ? Duration::zero() : this->quickRun(facts);
        if (now + least >= facts.deadline)
            return RefusalReason::DeadlineTooNear;
        return facts.lateAccepted || onlyOne || this->inTime(now, facts) ? RefusalReason::None
                                                                         : RefusalReason::TargetTooNear;
    }
    const Duration run = this->usualRun(now, facts);
    if (this->queued() >= this->settings.maximumQueue)
        return RefusalReason::QueueFull;
    const bool beforeDeadline = now + wait + run < facts.deadline;
    if (!facts.target)
        return beforeDeadline ? RefusalReason::None : RefusalReason::DeadlineTooNear;
    if (beforeDeadline && now + wait + run <= *facts.target)
        return RefusalReason::None;
    if (!facts.lateAccepted)
        return RefusalReason::TargetTooNear;
    CallFacts late = facts;
    late.target = now - 1h;
    if (this->lateIsHopeless(now, facts))
        return RefusalReason::TargetTooNear;
    const Duration lateWait = fromSeconds(toSeconds(this->expectedWait(now, late)) * lateMargin);
    return now + lateWait + run < facts.deadline ? RefusalReason::None : RefusalReason::DeadlineTooNear;
}

GateDecision TargetGate::refuse(Instant now, const CallFacts &facts, RefusalReason reason)
{
    return GateDecision{GateVerdict::Refuse, 0, reason, this->retryAfter(now, facts, reason)};
}

// Load: a burst that is refused together. Harm: told the same moment, all of it returns together and is
// refused again. Each refused caller is given a turn of its own, one run time of a slot after the last one's.
Duration TargetGate::retryAfter(Instant now, const CallFacts &facts, RefusalReason reason)
{
    if (reason == RefusalReason::Draining || reason == RefusalReason::NotReady)
        return this->jittered(absentRetryAfter);
    const Duration turn = this->usualRun(now, facts) / std::max(1U, this->slots);
    const Instant drained = now + this->expectedWait(now, facts);
    this->nextReturn = std::max(this->nextReturn, drained) + turn;
    this->nextReturn = std::min(this->nextReturn, now + longestRetryAfter);
    return std::max(shortestRetryAfter, this->jittered(this->nextReturn - now));
}

// Between three quarters and five quarters of the span.
Duration TargetGate::jittered(Duration span)
{
    this->jitterState = this->jitterState * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = static_cast<double>(this->jitterState >> 11U) * 0x1p-53;
    return fromSeconds(toSeconds(span) * (0.75 + 0.5 * uniform));
}

void TargetGate::begin(Instant now, Ticket ticket, const CallFacts &facts)
{
    Kind &kind = this->obtain(now, facts);
    kind.started += 1;
    this->runningCalls.push_back(Running{ticket, facts.kind, now});
}

void TargetGate::startWaiting(Instant now, std::vector<GateAction> &actions)
{
    this->refuseHopeless(now, actions);
    while (this->freeSlots() > 0) {
        std::optional<std::size_t> best;
        Rank bestRank;
        for (std::size_t index = 0; index < this->waitingCalls.size(); ++index) {
            const Waiting &call = this->waitingCalls[index];
            const Rank rank = this->rankOf(now, call.facts, call.ticket);
            if (!this->leavesReserve(now, call.facts) || (best && !ranksBefore(rank, bestRank)))
                continue;
            best = index;
            bestRank = rank;
        }
        if (!best)
            return;
        const Waiting call = this->waitingCalls[*best];
        this->waitingCalls.erase(this->waitingCalls.begin() + static_cast<std::ptrdiff_t>(*best));
        if (call.facts.deadline <= now + this->quickRun(call.facts)) {
            const RefusalReason reason = RefusalReason::DeadlinePassed;
            actions.push_back(
                GateAction{call.ticket, false, reason, this->retryAfter(now, call.facts, reason)});
            continue;
        }
        this->begin(now, call.ticket, call.facts);
        actions.push_back(GateAction{call.ticket, true, RefusalReason::None, Duration::zero()});
    }
}

// Those that waited in vain are told at once, while their callers can still turn elsewhere.
void TargetGate::refuseHopeless(Instant now, std::vector<GateAction> &actions)
{
    std::erase_if(this->waitingCalls, [&](const Waiting &call) {
        const Duration quick = this->quickRun(call.facts);
        RefusalReason reason = RefusalReason::None;
        if (call.facts.deadline <= now + quick)
            reason = RefusalReason::DeadlinePassed;
        else if (!this->inTime(now, call.facts)
                 && (!call.facts.lateAccepted || this->lateIsHopeless(now, call.facts)))
            reason = RefusalReason::TargetTooNear;
        if (reason == RefusalReason::None)
            return false;
        actions.push_back(GateAction{call.ticket, false, reason, this->retryAfter(now, call.facts, reason)});
        return true;
    });
}

} // namespace Sagecrank
