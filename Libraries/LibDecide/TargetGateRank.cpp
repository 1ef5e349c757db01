// What is known of kinds of calls, which call goes first, and how long one would wait.
#include <LibDecide/TargetGate.h>
#include <LibDecide/TargetGateConstants.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

using namespace TargetGateFigures;

const TargetGate::Kind *TargetGate::find(std::uint64_t kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? nullptr : &found->second;
}

TargetGate::Kind &TargetGate::obtain(Instant now, const CallAttributes &facts)
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

Duration TargetGate::usualRun(Instant now, const CallAttributes &facts) const
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
Duration TargetGate::quickRun(const CallAttributes &facts) const
{
    const Kind *kind = this->find(facts.kind);
    if (kind == nullptr || kind->observations == 0)
        return Duration::zero();
    return fromSeconds(std::max(0.0, kind->mean - 1.5 * kind->deviation));
}

// What most calls of the kind take. A call that waits is judged by this one.
Duration TargetGate::likelyRun(Instant now, const CallAttributes &facts) const
{
    const Kind *kind = this->find(facts.kind);
    const double deviation = kind == nullptr ? 0 : kind->deviation;
    return this->usualRun(now, facts) + fromSeconds(likelyDeviations * deviation);
}

bool TargetGate::inTime(Instant now, const CallAttributes &facts) const
{
    return !facts.target || now + this->quickRun(facts) <= *facts.target;
}

TargetGate::Rank TargetGate::rankOf(Instant now, const CallAttributes &facts, Ticket ticket) const
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
bool TargetGate::isLong(Instant now, const CallAttributes &facts) const
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
std::uint32_t TargetGate::slotsForLong(Instant now, const CallAttributes &facts) const
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

bool TargetGate::leavesReserve(Instant now, const CallAttributes &facts) const
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

bool TargetGate::mayStartNow(Instant now, const CallAttributes &facts) const
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
double TargetGate::shareAhead(Instant now, const CallAttributes &facts, const Rank &rank) const
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
bool TargetGate::lateIsHopeless(Instant now, const CallAttributes &facts) const
{
    CallAttributes late = facts;
    late.target = now - 1h;
    return this->shareAhead(now, late, this->rankOf(now, late, this->nextTicket)) >= hopelessShare;
}

// Whether a long call waits for one of the slots that are kept for such and goes before the rank.
bool TargetGate::longOnesGoBefore(Instant now, const Rank &rank) const
{
    return std::any_of(this->waitingCalls.begin(), this->waitingCalls.end(), [&](const Waiting &call) {
        return this->isLong(now, call.facts) && ranksBefore(this->rankOf(now, call.facts, call.ticket), rank);
    });
}

// The slots as they get free, taken one after the other by the calls that go first. What comes of a higher
// rank meanwhile goes ahead too: the wait is stretched by the share that such calls took lately. Long calls
// wait for each other only, in the slots that are theirs; those that wait take no others, however many they
// are.
//
// Load: 16 calls of 160 ms wait and go first, five of six slots are left to calls of 10 ms. Harm of counting
// the 16 into each wait: four in ten of the quick calls are refused, although those let in wait for 6 ms.
Duration TargetGate::expectedWait(Instant now, const CallAttributes &facts) const
{
    if (this->mayStartNow(now, facts))
        return Duration::zero();
    const bool isLong = this->isLong(now, facts);
    const double run = toSeconds(this->usualRun(now, facts));
    const std::size_t slots = isLong ? this->slotsForLong(now, facts) : std::max(1U, this->slots);
    const Rank own = this->rankOf(now, facts, this->nextTicket);
    const bool handedOn = !isLong && this->longOnesGoBefore(now, own);
    std::vector<double> free;
    std::size_t taken = 0; // Slots that pass from one long call to the next.
    for (const Running &call : this->runningCalls) {
        const Kind *kind = this->find(call.kind);
        const double mean = kind == nullptr || kind->mean == 0 ? toSeconds(firstGuess) : kind->mean;
        if (handedOn && mean > longRuns * run)
            ++taken;
        // A run that has outlived the usual one goes on for a while: run times have long tails.
        else if (!isLong || mean * longRuns > run)
            free.push_back(std::max(mean - toSeconds(now - call.startedAt), leastRemaining * mean));
    }
    free.resize(std::max({slots - std::min(slots, taken), free.size(), std::size_t{1}}), 0.0);
    const auto later = [](double left, double right) { return left > right; };
    std::make_heap(free.begin(), free.end(), later);
    for (const Waiting &call : this->waitingCalls) {
        const double needs = toSeconds(this->usualRun(now, call.facts));
        const bool another = (isLong && needs * longRuns <= run) || (handedOn && needs > longRuns * run);
        if (another || !ranksBefore(this->rankOf(now, call.facts, call.ticket), own))
            continue;
        std::pop_heap(free.begin(), free.end(), later);
        free.back() += needs;
        std::push_heap(free.begin(), free.end(), later);
    }
    return fromSeconds(free.front() / (1.0 - this->shareAhead(now, facts, own)));
}

} // namespace Sagecrank
