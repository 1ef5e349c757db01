// Head reads during outages of the source, in simulated time: how soon its return is detected, and how many
// reads it gets during the outage.
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
constexpr Duration readTimeout = Milliseconds(2000); // In addition to the hold, as in the source's client.

enum class Outage : std::uint8_t {
    Silent,   // Reads are never answered, even after the outage.
    Refusing, // Each read fails at once, including those in flight.
    Blink,    // Reads in flight at the start are never answered; new ones are.
};

// A source that supports long polls, with one outage.
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
    // The newest version; increases when the outage ends.
    std::uint64_t version(Instant now) const { return now >= this->outTo ? 2 : 1; }

    Outage kind = Outage::Silent;
    Instant outFrom;
    Instant outTo;
};

// One poller and its reads in flight.
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
            this->advanceRead(read, now, source);
        std::erase_if(this->reads, [](const FakeSource::Read &read) { return read.ended; });
        if (now < this->poll.wakeAt())
            return;
        const HeadStep step = this->poll.next(now, this->self);
        this->countedFailures += step.overdue.size();
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
    Instant knownAt{}; // Time at which the newest version was read.
    std::size_t begun = 0;
    std::size_t countedFailures = 0; // Failures that HeadPoll counted.

private:
    void advanceRead(FakeSource::Read &read, Instant now, const FakeSource &source)
    {
        if (source.isOut(now) && read.begunAt < source.outFrom)
            read.lost = true;
        const Duration taken = now - read.begunAt;
        const bool refused = read.lost && source.kind == Outage::Refusing;
        if (refused || (read.lost && taken >= read.read.hold + readTimeout)) {
            read.ended = true;
            this->countedFailures += this->poll.failed(now, this->self, read.read.number) ? 1 : 0;
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

// For a source that supports long polls.
HeadPollSettings longPollSettings()
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

    // Time from the return until the first, or the last, poller has read the new version.
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
    {"reads in flight are lost", Outage::Blink, Milliseconds(5), Milliseconds(10)},
};

constexpr std::uint64_t runsPerRow = 250;

// A change must be in force everywhere two seconds after it was confirmed. Gossip in the zone and pulls by
// the other nodes take half a second of that.
constexpr Duration maximumFirstRead = Milliseconds(1500);

// For a single poller, without gossip from the others.
constexpr Duration maximumLastRead = Milliseconds(3000);

} // namespace

// Guards against late detection of the source's return: a change is confirmed as the source returns, but
// every poller of the zone still waits for a read lost in the outage, and then for a backoff that grew
// meanwhile, so callers get 404 for the new route. In logs of an outage of 8.2 s, reads started up to 1.3 s
// before its end timed out after 4.0 s and were followed by backoffs of up to 1.5 s.
TABLE_TEST(headPoll, detectsReturnOfSourceInTime, outageRows)
{
    for (std::uint64_t seed = 1; seed <= runsPerRow; ++seed) {
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<std::int64_t> outageTime(row.shortest.count(), row.longest.count());
        std::uniform_int_distribution<int> startDelay(1000, 9000);
        FakeZone zone(longPollSettings(), seed);
        zone.source.kind = row.kind;
        zone.source.outFrom = zone.now + Milliseconds(startDelay(random));
        zone.source.outTo = zone.source.outFrom + Duration(outageTime(random));
        zone.runUntil(zone.source.outTo + seconds(8));
        const auto first = std::chrono::duration_cast<Milliseconds>(zone.firstAfterReturn()).count();
        const auto last = std::chrono::duration_cast<Milliseconds>(zone.lastAfterReturn()).count();
        cr_assert(zone.firstAfterReturn() <= maximumFirstRead, "%s, seed %lu: %ld ms", row.what, seed, first);
        cr_assert(zone.lastAfterReturn() <= maximumLastRead, "%s, seed %lu: %ld ms", row.what, seed, last);
    }
}

// During an outage the pollers of 25 zones must not exceed the 8% of the source's two thousand reads per
// second that head reads may use.
Test(headPoll, readRateIsBoundedDuringOutage)
{
    constexpr std::size_t zones = 25;
    constexpr double maximumReadsPerSecond = 160;
    std::size_t begun = 0;
    for (std::uint64_t seed = 1; seed <= zones; ++seed) {
        FakeZone zone(longPollSettings(), seed);
        zone.source.outFrom = zone.now;
        zone.source.outTo = zone.now + minutes(2);
        zone.runUntil(zone.source.outTo);
        for (const FakePoller &poller : zone.pollers)
            begun += poller.begun;
    }
    const double perSecond = static_cast<double>(begun) / 120;
    cr_assert(perSecond <= maximumReadsPerSecond, "%f reads a second", perSecond);
}

// When a fleet starts during an outage, every node ranks itself first in its zone. Isolated nodes must
// therefore retry less often than known fast pollers.
Test(headPoll, isolatedNodeReadsRarely)
{
    HeadPollSettings settings = longPollSettings();
    FakePoller node(settings, {0, false}, 7);
    FakeSource source;
    Instant now(std::chrono::hours(1));
    source.outFrom = now;
    source.outTo = now + minutes(1);
    node.poll.start(now, true);
    for (; now < source.outTo; now += tick)
        node.advance(now, source);
    const auto maximumReads = static_cast<std::size_t>(minutes(1) / settings.isolatedRetryInterval * 13 / 10);
    cr_assert(node.begun <= maximumReads, "%zu reads", node.begun);
}

// An overdue read that was superseded later fails or is answered. It must count as one failure, and must not
// change the time of the next read.
Test(headPoll, supersededReadCountsOnce)
{
    const HeadPollSettings settings = longPollSettings();
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

// All fast pollers of a zone fail at once, and no other zone gossips changes. The next node in rank has just
// read the head and would read again in a minute; changes would come into force that late unless its new rank
// wakes it.
Test(headPoll, newFastPollerReadsSoon)
{
    const HeadPollSettings settings = longPollSettings();
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
    cr_assert(poll.wakeAt() == wake, "a further rank change moved the next read");
}

namespace {

struct FirstReadRow
{
    const char *what;
    HeadPoller self;
    bool isIntroducer;
    Duration earliest; // Of the first read, after the start.
    Duration latest;
};

// With a second left to the peers, half to one and a half times that for a single node.
const FirstReadRow firstReadRows[] = {
    {"a watcher of a zone that it knows", {0, true, true, false}, false, {}, Milliseconds(100)},
    {"an introducer that knows nobody", {0, false, false, false}, true, {}, Milliseconds(100)},
    {"first of those that it knows, which have none", {0, true, false, false}, false, {}, Milliseconds(100)},
    {"no version heard of", {7, true, false, false}, false, Milliseconds(500), Milliseconds(1600)},
    {"alone in its zone", {0, true, false, true}, false, Milliseconds(500), Milliseconds(1600)},
    {"a version heard of", {7, true, true, true}, false, seconds(30), seconds(92)},
};

} // namespace

// Guards against a fleet whose nodes all read the source when they start, which 984 nodes did with 1,700
// reads within two seconds, and against nodes that wait for peers which never name a version.
TABLE_TEST(headPoll, firstReadIsLeftToPeers, firstReadRows)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        HeadPollSettings settings = longPollSettings();
        settings.peersFirst = Milliseconds(1000);
        HeadPoll poll(settings, seed);
        const Instant start(std::chrono::hours(1));
        poll.start(start, true);
        if (row.isIntroducer)
            poll.readFirst(start);
        Instant now = start;
        while (now - start < minutes(2) && !poll.next(now, row.self).begin)
            now = std::max(now + tick, poll.wakeAt());
        cr_assert(now - start >= row.earliest && now - start <= row.latest, "%s: after %ld ms", row.what,
                  static_cast<long>(std::chrono::duration_cast<Milliseconds>(now - start).count()));
    }
}
