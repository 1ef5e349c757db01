// Where a node gets the content of the version that it wants, and when it asks.
//
// Load: a change reaches 260 nodes of a zone within a second of each other, and a zone that lost power comes
// back as one. Harm: all of them at the platform (822 reads for a whole site of 820 services) or at the first
// peer that has it. So content comes from a zone peer that said that it holds it; whoever holds it serves a
// bounded number at once and sends the others away for a moment, by when there are more holders. Other zones
// come second. The platform is for the zone's first pollers, and for the rest only when nothing else helped
// for seconds, one rank of each zone after the other (25 zones: 25 nodes a second): otherwise a version that
// no poller could take, so that nobody holds it, would send the whole fleet to the platform.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>
#include <LibMembership/Datagram.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

enum class PullSource : std::uint8_t { None, ZonePeer, OtherPeer, Platform };

inline constexpr EnumNames<PullSource, 4> pullSourceNames{{
    {PullSource::None, "none"},
    {PullSource::ZonePeer, "zone_peer"},
    {PullSource::OtherPeer, "other_peer"},
    {PullSource::Platform, "platform"},
}};

enum class PullFailure : std::uint8_t {
    Busy,        // The peer serves others; come back in a moment.
    Missing,     // The peer does not hold it after all.
    Unreachable, // No connection, no answer in time, or a broken one.
    Invalid,     // The content does not check; the held version stays.
};

inline constexpr EnumNames<PullFailure, 4> pullFailureNames{{
    {PullFailure::Busy, "busy"},
    {PullFailure::Missing, "missing"},
    {PullFailure::Unreachable, "unreachable"},
    {PullFailure::Invalid, "invalid"},
}};

// A peer that told that it holds at least the wanted version.
struct Holder
{
    std::string id;
    std::string controlAddress;
    bool sameZone = false;
};

struct PullStep
{
    PullSource source = PullSource::None; // None: not now.
    Holder holder;                        // For the peers.
    std::uint64_t number = 0;
};

// A pull that nobody has answered in time; it may still be answered.
struct OverduePull
{
    PullStep step;
    Duration waited{};
};

struct PullSettings
{
    Duration pollerDelayPerRank = Milliseconds(1000); // A zone's second poller leaves the first this much.
    Duration otherZonesDelay = Milliseconds(1500);
    Duration platformDelay = Milliseconds(5000);
    Duration platformDelayPerRank = Milliseconds(1000); // Added once for each node that ranks before.
    Duration initialBackoff = Milliseconds(50);
    Duration maximumBackoff = Milliseconds(5000);
    Duration peerAvoidance = Milliseconds(5000);
    // After which a pull is overtaken by another. A change is some kilobytes.
    Duration responseTimeout = Milliseconds(500);
    // The same for a node that holds nothing. A whole site takes a second on a link of 5 Mbit/s.
    Duration fullResponseTimeout = Milliseconds(2000);
    // What the source itself told of is taken from it before peers are asked: it has the content already.
    bool platformFirst = false;
    // What only peers told of is asked of the platform by those who may after this; until then a peer that
    // holds it may turn up.
    Duration peersOnlyDuration{};
    std::uint32_t platformPullers = 2; // Ranks that may ask the platform at once; equals the fast pollers.
};

class PullPlan
{
public:
    PullPlan(PullSettings settings, std::uint64_t seed);

    // Commands.
    void setTarget(const ConfigurationVersion &mark, Instant now); // Heard of from peers.
    void sourceReported(const ConfigurationVersion &mark, Instant now);
    // Only for a node that holds nothing: takes an older version first, and wants the newer one after it.
    void setInterimTarget(const ConfigurationVersion &mark, Instant now);
    // Begins an attempt when it names a source; succeeded() or failed() with its number must follow.
    PullStep next(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                  const std::vector<Holder> &holders);
    // Ends all attempts. False when another has done so before: its content is not needed any more.
    bool succeeded(std::uint64_t number);
    // False when the attempt had ended already.
    bool failed(Instant now, std::uint64_t number, PullFailure failure, Duration retryAfter);
    // Attempts that are overdue now and have not been named before; their peers are avoided for a while.
    std::vector<OverduePull> takeOverdue(Instant now);

    // Queries.
    const ConfigurationVersion &targetVersion() const { return this->target; }
    bool hasOpenPulls() const { return !this->open.empty(); }
    bool isOpen(std::uint64_t number) const;
    bool isRejected(const ConfigurationVersion &mark) const;

private:
    void noteBehind(Instant now);
    bool isPlatformAsked() const;
    bool isAsked(const std::string &id) const;
    bool isAvoided(const std::string &id, Instant now) const;
    struct Attempt
    {
        PullStep step;
        Instant begunAt{};
        Instant dueAt{};
        bool isOverdue = false;
    };

    bool mayBegin(Instant now) const;
    PullStep choose(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                    const std::vector<Holder> &holders);
    PullStep choosePeer(Instant now, const std::vector<Holder> &holders, bool sameZone);
    void platformFailed(Instant now, PullFailure failure);
    void peerFailed(Instant now, const std::string &id, PullFailure failure);
    void avoid(const std::string &id, Instant now);
    Duration backoff();

    PullSettings settings;
    std::mt19937_64 random;
    ConfigurationVersion target;
    std::uint64_t reportedBySource = 0; // The newest version that the source itself reported.
    ConfigurationVersion deferred;      // Wanted once the target is held; newer than it, or no version.
    // When the node fell behind, or last came nearer to the target; from it the turns of other zones and of
    // the platform are counted.
    Instant behindSince{};
    bool behind = false;
    std::vector<Attempt> open; // Bounded; more than one only while all but the last are overdue.
    std::uint64_t lastNumber = 0;
    Instant notBefore{};
    Instant platformNotBefore{};
    std::uint32_t failures = 0;             // In a row.
    std::uint32_t platformFailures = 0;     // In a row.
    std::map<std::string, Instant> avoided; // Peers, until when.
    // Versions whose content from the platform itself did not check; never asked for again. Bounded.
    std::vector<ConfigurationVersion> refused;
    bool peerContentInvalid = false; // A peer's copy of the target did not check: only the platform can tell.
};

// What a node without a configuration takes while the platform is out: the highest version that at least two
// peers hold, or the only peer's. Zero when there is none. One peer alone could hold a version that was never
// accepted by anyone else; two independent ones make that a fault of the head row, not of a node.
std::uint64_t corroboratedVersion(std::vector<std::uint64_t> heldVersions);

} // namespace Sagecrank
