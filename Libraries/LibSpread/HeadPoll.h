// Decides when a node reads the configuration head from its source, and how.
//
// With 6,500 nodes that need a new version within seconds, polling by every node each second would take more
// than three times the two thousand reads per second that the table offers to all its users. So the first two
// nodes of each zone poll each second (25 zones: 50 reads per second), and all others about once a minute
// (6,450 nodes: 108 reads per second): together 158 reads per second, 8% of the table's capacity. Other nodes
// learn of a version by gossip; the slow poll bounds the delay for a node whose membership view is wrong.
//
// When the source stops answering, reads in flight may never end. A poller that waited for such a read, and
// then for a backoff that grew during the outage, would read again only seconds after the source returned,
// and changes accepted meanwhile would reach every node late. An overdue read is therefore superseded by a
// new one, at a constant pace while nothing answers, so the next read starts within one retry interval of the
// return. This costs the source little, because few nodes poll.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Sagecrank {

struct HeadPollSettings
{
    std::uint32_t fastPollersPerZone = 2; // Two, so that the loss of one delays nothing.
    Duration fastInterval = Milliseconds(1000);
    Duration slowInterval = std::chrono::seconds(60);
    Duration hold{}; // Long poll time of a fast poller's read; zero: the source does not support long polls.
    // Time that a healthy source may take beyond the hold.
    Duration responseTimeout = Milliseconds(500);
    // Time between reads of a fast poller while the source does not answer.
    Duration retryInterval = Milliseconds(1000);
    // The same for a node that knows no peers and thus cannot tell whether it is a fast poller.
    Duration isolatedRetryInterval = std::chrono::seconds(8);
    // Time that a node that starts leaves to its peers to bring the newest version, before it reads the
    // source itself. Fast pollers read as soon as they know their zone, and introducers at once. Zero: every
    // node reads when it starts, and 984 nodes that start together make 1,700 reads.
    Duration peersFirst{};
    // Spread of the first reads of nodes that know no peers, so that a fleet that starts at once does not
    // read at once.
    Duration initialSpreadWithoutPeers = std::chrono::seconds(8);
    Duration initialSpread = Milliseconds(1000);
};

// The node's own position, as known when it decides.
struct HeadPoller
{
    std::uint32_t rank = 0; // Among the nodes of its zone that may poll; 0 is the first.
    bool knowsPeers = false;
    bool knowsZone = false;    // The rank counts all nodes of the zone.
    bool knowsVersion = false; // A version was announced by peers or read.
};

struct HeadRead
{
    std::uint64_t number = 0;
    bool longPoll = false; // The source may hold the read for `hold` until there is a new version.
    Duration hold{};
    // Earlier reads failed or are unanswered: a kept-alive connection may be dead.
    bool isRetry = false;
};

// A read that was not answered in time. Counts as one failure; it may still be answered.
struct OverdueRead
{
    Duration waited{};
    std::uint32_t failures = 0; // Consecutive failures, including this one.
};

struct HeadStep
{
    std::vector<OverdueRead> overdue;
    std::optional<HeadRead> begin;
};

// A state machine without a clock. Intervals are jittered, so that nodes that start together drift apart.
class HeadPoll
{
public:
    HeadPoll(HeadPollSettings settings, std::uint64_t seed);

    // Commands. Each read that next() begins must be followed by answered() or failed(), however late.
    void start(Instant now, bool hasView);
    HeadStep next(Instant now, const HeadPoller &self);
    // For a node that others contact when they start: it reads at once, so that they hear of the version from
    // it.
    void readFirst(Instant now);
    // Wakes a node that has become a fast poller. Call it often.
    void rankChanged(Instant now, const HeadPoller &self);
    // `hasNewVersion`: the answer carried a version that was not known.
    void answered(Instant now, const HeadPoller &self, std::uint64_t number, bool hasNewVersion);
    // Returns whether this counts as a failure: not for a read that was overdue or has been superseded.
    bool failed(Instant now, const HeadPoller &self, std::uint64_t number);

    // Queries.
    bool isFast(const HeadPoller &self) const { return self.rank < this->settings.fastPollersPerZone; }
    Instant wakeAt() const { return this->nextAt; } // Time of the next call to next().
    std::uint32_t consecutiveFailures() const { return this->failures; }

private:
    struct OpenRead
    {
        std::uint64_t number = 0;
        Instant begunAt{};
        Instant dueAt{};
        bool isOverdue = false;
    };

    bool leavesReadToPeers(Instant now, const HeadPoller &self);
    std::vector<OverdueRead> markOverdue(Instant now);
    HeadRead makeRead(const HeadPoller &self);
    Duration holdOf(const HeadPoller &self) const;
    Duration retryPause(const HeadPoller &self);
    Duration jittered(Duration interval, double spread);

    HeadPollSettings settings;
    std::mt19937_64 random;
    std::uint32_t failures = 0; // Consecutive.
    std::uint64_t lastNumber = 0;
    Instant lastBegun{};
    bool waitsForPeers = false; // Until `peersFirstUntil`, or until it knows to be a fast poller.
    bool readsFirst = false;    // Makes one read all the same.
    Instant peersFirstUntil{};
    Instant nextAt{};
    bool wasFast = true;      // At the last check. True at first, so that the first read keeps its time.
    bool staggerHolds = true; // The next long poll is held for a share of the hold, by rank.
    // Reads since the source last answered, oldest first. Bounded.
    std::vector<OpenRead> open;
};

} // namespace Sagecrank
