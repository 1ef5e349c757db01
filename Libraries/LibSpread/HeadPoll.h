// When a node reads the head of the source of versions, and how.
//
// Load: 6,500 nodes want to know of a new version within seconds, and the table gives about two thousand
// reads a second to everything. Harm: polling by every node each second is three times that. So the first two
// members of each zone poll each second (25 zones: 50 reads a second) and all others about once a minute
// (6,450 nodes: 108 reads a second); together 158 reads a second, 8% of what the platform gives. Everybody
// else hears of a version by gossip, and the slow poll bounds the time of one that a wrong view cut off.
//
// Failure: the source falls silent and takes the reads under way with it. Symptom: a node that waits for such
// a read to end, and then for a pause that grew with the outage, asks again up to seconds after the source is
// back, and what was confirmed meanwhile comes late everywhere. So a read that is overdue is overtaken by
// another, and these keep a steady pace for as long as nothing answers. That is enough: whatever became of
// the reads before, the next one begins within one retry interval of the return. It costs the source little,
// because few poll.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Sagecrank {

struct HeadPollSettings
{
    std::uint32_t fastPollersPerZone = 2; // Two, so that the death of one delays nothing.
    Duration fastInterval = Milliseconds(1000);
    Duration slowInterval = std::chrono::seconds(60);
    Duration hold{}; // How long a fast poller's read waits for news at the source; zero: it cannot wait.
    // What a source that lives may take beyond the hold.
    Duration responseTimeout = Milliseconds(500);
    // From read to read of a fast poller while the source does not answer.
    Duration retryInterval = Milliseconds(1000);
    // The same for a node that knows no peers, so that it cannot know whether it is one of few.
    Duration isolatedRetryInterval = std::chrono::seconds(8);
    // The first read of a node that has heard of no peers: a whole fleet that starts at once spreads over it.
    Duration initialSpreadWithoutPeers = std::chrono::seconds(8);
    Duration initialSpread = Milliseconds(1000);
};

// What a node knows of its own place when it decides.
struct HeadPoller
{
    std::uint32_t rank = 0; // Among those of its zone that may poll; 0 is the first.
    bool knowsPeers = false;
};

struct HeadRead
{
    std::uint64_t number = 0;
    bool longPoll = false; // For news, for as long as the hold.
    Duration hold{};
    // Made because the source is in doubt: a connection that was kept may be silent for good.
    bool isRetry = false;
};

// A read that nobody has answered in time. Counted as a failure once; it may still be answered.
struct OverdueRead
{
    Duration waited{};
    std::uint32_t failures = 0; // In a row, with this one.
};

struct HeadStep
{
    std::vector<OverdueRead> overdue;
    std::optional<HeadRead> begin;
};

// A state machine without a clock. Draws jitter, so that nodes that started together do not stay together.
class HeadPoll
{
public:
    HeadPoll(HeadPollSettings settings, std::uint64_t seed);

    // Commands. Each read that next() begins is followed by answered() or failed(), however late.
    void start(Instant now, bool hasView);
    HeadStep next(Instant now, const HeadPoller &self);
    // Looks whether the node has become one of those that poll fast; called often.
    void rankChanged(Instant now, const HeadPoller &self);
    // `news`: the answer brought a version that was not known.
    void answered(Instant now, const HeadPoller &self, std::uint64_t number, bool news);
    // Whether it counts: not for a read that was overdue, or that another answer has overtaken.
    bool failed(Instant now, const HeadPoller &self, std::uint64_t number);

    // Queries.
    bool isFast(const HeadPoller &self) const { return self.rank < this->settings.fastPollersPerZone; }
    Instant wakeAt() const { return this->nextAt; } // When next() has something to do.
    std::uint32_t consecutiveFailures() const { return this->failures; }

private:
    struct OpenRead
    {
        std::uint64_t number = 0;
        Instant begunAt{};
        Instant dueAt{};
        bool isOverdue = false;
    };

    std::vector<OverdueRead> markOverdue(Instant now);
    HeadRead makeRead(const HeadPoller &self);
    Duration holdOf(const HeadPoller &self) const;
    Duration retryPause(const HeadPoller &self);
    Duration jittered(Duration interval, double spread);

    HeadPollSettings settings;
    std::mt19937_64 random;
    std::uint32_t failures = 0; // In a row.
    std::uint64_t lastNumber = 0;
    Instant lastBegun{};
    Instant nextAt{};
    bool wasFast = true;  // When its rank was last looked at; its first read keeps its own time.
    bool staggers = true; // The next read that waits is held for a share of the hold only.
    // Begun since the source last answered, the oldest first. Bounded.
    std::vector<OpenRead> open;
};

} // namespace Sagecrank
