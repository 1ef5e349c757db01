// Reads of the head through outages of the source, in fake time: how soon after its return it is heard, and
// what the reads cost it meanwhile.
#include <LibSpread/HeadPoll.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

using namespace Sagecrank;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Duration tick = Milliseconds(5);
constexpr Duration answerDelay = Milliseconds(5);
constexpr Duration readTimeout = Milliseconds(2000); // Beyond the hold, as a client of the source has it.

enum class Outage : std::uint8_t {
    Silent,   // Nothing is answered any more, also not later.
    Refusing, // Each read fails at once, also those under way.
    Blink,    // As silent, but only what is under way when it begins is lost.
};

// A source that holds reads for news, and an outage of it.
class FakeSource
{
public:
    struct Read
    {
        HeadRead read;
        Instant begunAt;
        bool lost = false;
        bool ended = false;
    };

    bool isOut(Instant now) const { return now >= this->outFrom && now < this->outTo; }
    // The newest version; it rises when the outage ends.
    std::uint64_t version(Instant now) const { return now >= this->outTo ? 2 : 1; }

    Outage kind = Outage::Silent;
    Instant outFrom;
    Instant outTo;
};

// One poller and its reads at the source.
class FakePoller
{
public:
    FakePoller(const HeadPollSettings &settings, HeadPoller self, std::uint64_t seed)
        : poll(settings, seed)
        , self(self)
    {
    }

    void advance(Instant now, const FakeSource &source)
    {
        for (FakeSource::Read &read : this->reads)
            this->move(read, now, source);
        std::erase_if(this->reads, [](const FakeSource::Read &read) { return read.ended; });
        if (now < this->poll.wakeAt())
            return;
        const HeadStep step = this->poll.next(now, this->self);
        this->told += step.overdue.size();
        if (!step.begin)
            return;
        ++this->begun;
        const bool lost = source.isOut(now) && source.kind != Outage::Blink;
        this->reads.push_back({*step.begin, now, lost, false});
    }

    HeadPoll poll;
    HeadPoller self;
    std::vector<FakeSource::Read> reads;
    std::uint64_t known = 0;
    Instant knownAt{}; // When the newest version was read.
    std::size_t begun = 0;
    std::size_t told = 0; // Failures, each once.

private:
    void move(FakeSource::Read &read, Instant now, const FakeSource &source)
    {
        if (source.isOut(now) && read.begunAt < source.outFrom)
            read.lost = true;
        const Duration taken = now - read.begunAt;
        const bool refused = read.lost && source.kind == Outage::Refusing;
        if (refused || (read.lost && taken >= read.read.hold + readTimeout)) {
            read.ended = true;
            this->told += this->poll.failed(now, this->self, read.read.number) ? 1 : 0;
            return;
        }
        const std::uint64_t newest = source.version(now);
        const bool due = newest > this->known || taken >= read.read.hold;
        if (read.lost || taken < answerDelay || !due)
            return;
        read.ended = true;
        if (newest > this->known)
            this->knownAt = now;
        this->poll.answered(now, this->self, read.read.number, newest > this->known);
        this->known = newest;
    }
};

// As the pollers of a source that can wait have it.
HeadPollSettings waitingSettings()
{
    HeadPollSettings settings;
    settings.fastPollersPerZone = 3;
    settings.fastInterval = Milliseconds(200);
    settings.hold = Milliseconds(2000);
    settings.retryInterval = Milliseconds(500);
    settings.isolatedRetryInterval = Milliseconds(1000);
    settings.initialSpread = Milliseconds(20);
    return settings;
}

class FakeZone
{
public:
    explicit FakeZone(const HeadPollSettings &settings, std::uint64_t seed)
    {
        for (std::uint32_t rank = 0; rank < settings.fastPollersPerZone; ++rank) {
            this->pollers.emplace_back(settings, HeadPoller{rank, true}, seed * 31 + rank);
            this->pollers.back().poll.start(this->now, true);
        }
    }

    void runUntil(Instant end)
    {
        for (; this->now < end; this->now += tick) {
            for (FakePoller &poller : this->pollers)
                poller.advance(this->now, this->source);
        }
    }

    // How long after the return the first, and the last, of the pollers read the new version.
    Duration firstAfterReturn() const { return this->firstKnown() - this->source.outTo; }
    Duration lastAfterReturn() const
    {
        Instant last{};
        for (const FakePoller &poller : this->pollers)
            last = std::max(last, poller.known == 2 ? poller.knownAt : Instant::max());
        return last - this->source.outTo;
    }

    Instant now = Instant(std::chrono::hours(1));
    FakeSource source;
    std::vector<FakePoller> pollers;

private:
    Instant firstKnown() const
    {
        Instant first = Instant::max();
        for (const FakePoller &poller : this->pollers)
            first = std::min(first, poller.known == 2 ? poller.knownAt : Instant::max());
        return first;
    }
};

struct OutageRow
{
    const char *what;
    Outage kind;
    Duration shortest;
    Duration longest;
};

const OutageRow outageRows[] = {
    {"silent for a moment", Outage::Silent, Milliseconds(50), Milliseconds(2000)},
    {"silent", Outage::Silent, Milliseconds(2000), Milliseconds(30000)},
    {"refusing", Outage::Refusing, Milliseconds(50), Milliseconds(30000)},
    {"reads under way are lost", Outage::Blink, Milliseconds(5), Milliseconds(10)},
};

constexpr std::uint64_t playsOfARow = 250;

// A change is in force everywhere two seconds after it was confirmed. Half a second of that is for telling
// the zone and for the pulls of the others.
constexpr Duration confirmedToRead = Milliseconds(1500);

// Each poller by itself, when no other could tell it.
constexpr Duration longestDeafness = Milliseconds(3000);

} // namespace

// A caller is told 404 for a route that an operator added and saw confirmed seconds ago. The source was out;
// the change is confirmed as it returns; each poller of the zone still waits for a read that the outage has
// swallowed, and then for a pause that grew meanwhile. Log lines of such an outage of 8.2 s showed reads that
// were begun up to 1.3 s before its end, given up after 4.0 s, and pauses of up to 1.5 s after them.
TABLE_TEST(headPoll, aSourceThatReturnsIsHeardInTime, outageRows)
{
    for (std::uint64_t seed = 1; seed <= playsOfARow; ++seed) {
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<std::int64_t> lasts(row.shortest.count(), row.longest.count());
        std::uniform_int_distribution<int> after(1000, 9000);
        FakeZone zone(waitingSettings(), seed);
        zone.source.kind = row.kind;
        zone.source.outFrom = zone.now + Milliseconds(after(random));
        zone.source.outTo = zone.source.outFrom + Duration(lasts(random));
        zone.runUntil(zone.source.outTo + seconds(8));
        const auto first = std::chrono::duration_cast<Milliseconds>(zone.firstAfterReturn()).count();
        const auto last = std::chrono::duration_cast<Milliseconds>(zone.lastAfterReturn()).count();
        cr_assert(zone.firstAfterReturn() <= confirmedToRead, "%s, seed %lu: %ld ms", row.what, seed, first);
        cr_assert(zone.lastAfterReturn() <= longestDeafness, "%s, seed %lu: %ld ms", row.what, seed, last);
    }
}

// The pollers of 25 zones keep asking a source that does not answer. It must see no more of them than the 8%
// of its two thousand reads a second that all head reads may take.
Test(headPoll, anOutageCostsTheSourceLittle)
{
    constexpr std::size_t zones = 25;
    constexpr double mostReadsPerSecond = 160;
    std::size_t begun = 0;
    for (std::uint64_t seed = 1; seed <= zones; ++seed) {
        FakeZone zone(waitingSettings(), seed);
        zone.source.outFrom = zone.now;
        zone.source.outTo = zone.now + minutes(2);
        zone.runUntil(zone.source.outTo);
        for (const FakePoller &poller : zone.pollers)
            begun += poller.begun;
    }
    const double perSecond = static_cast<double>(begun) / 120;
    cr_assert(perSecond <= mostReadsPerSecond, "%f reads a second", perSecond);
}

// A whole fleet starts while the source is out. Each node takes itself for the first of its zone; were its
// pace that of a poller, all of them would ask that often.
Test(headPoll, aNodeThatKnowsNobodyAsksSeldom)
{
    HeadPollSettings settings = waitingSettings();
    FakePoller node(settings, {0, false}, 7);
    FakeSource source;
    Instant now(std::chrono::hours(1));
    source.outFrom = now;
    source.outTo = now + minutes(1);
    node.poll.start(now, true);
    for (; now < source.outTo; now += tick)
        node.advance(now, source);
    const auto most = static_cast<std::size_t>(minutes(1) / settings.isolatedRetryInterval * 13 / 10);
    cr_assert(node.begun <= most, "%zu reads", node.begun);
}

// A read is overdue, is overtaken, and fails in the end, or is answered after all. The line for the log and
// the count of failures must come once, and what was overtaken must not change the pace.
Test(headPoll, anOvertakenReadCountsOnce)
{
    const HeadPollSettings settings = waitingSettings();
    const HeadPoller self{0, true};
    HeadPoll poll(settings, 3);
    Instant now(std::chrono::hours(1));
    poll.start(now, true);
    now = poll.wakeAt();
    const HeadRead first = *poll.next(now, self).begin;
    cr_assert(first.hold > Duration::zero() && !first.isRetry);
    now = poll.wakeAt();
    const HeadStep second = poll.next(now, self);
    cr_assert(second.overdue.size() == 1 && poll.consecutiveFailures() == 1);
    cr_assert(second.begin->isRetry && second.begin->hold == Duration::zero());
    poll.answered(now, self, second.begin->number, false);
    cr_assert(poll.consecutiveFailures() == 0);
    const Instant wake = poll.wakeAt();
    cr_assert(!poll.failed(now, self, first.number));
    poll.answered(now, self, first.number, true);
    cr_assert(poll.wakeAt() == wake && poll.consecutiveFailures() == 0);
}

// All pollers of a zone lose their power for good at once, and no other zone is near to tell of changes. The
// next in rank has looked a moment ago and meant to look again in a minute: changes come into force that much
// later, unless its new rank wakes it.
Test(headPoll, aNodeThatBecomesAPollerDoesNotSleepOn)
{
    const HeadPollSettings settings = waitingSettings();
    HeadPoll poll(settings, 5);
    Instant now(std::chrono::hours(1));
    poll.start(now, true);
    now = poll.wakeAt();
    const HeadPoller idle{settings.fastPollersPerZone, true};
    poll.answered(now, idle, poll.next(now, idle).begin->number, true);
    cr_assert(poll.wakeAt() - now >= settings.slowInterval / 2);
    now += seconds(1);
    poll.rankChanged(now, {0, true});
    cr_assert(poll.wakeAt() - now <= settings.fastInterval * 2);
    const Instant wake = poll.wakeAt();
    poll.rankChanged(now, {1, true});
    cr_assert(poll.wakeAt() == wake, "once");
}
