// Decides where and when a node pulls the content of a configuration version.
//
// A change reaches the 260 nodes of a zone within a second, and a zone that lost power restarts as a whole.
// If all of them pulled from the platform (822 reads for a full site of 820 services) or from the first peer
// that holds the version, they would overload it. A node therefore pulls from a peer in its zone that
// reported the version; a peer serves a limited number of pulls at once and rejects the rest for a short
// time, after which there are more holders. Other zones come second. The platform is for the zone's first
// pollers. Other nodes ask it only after seconds without success, one rank of each zone at a time (25 zones:
// 25 nodes per second); otherwise a version that no poller could read, and hence nobody holds, would send the
// whole fleet there.
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
    Busy,        // The peer is at its limit; retry shortly.
    Missing,     // The peer does not hold the version.
    Unreachable, // No connection, no answer in time, or an incomplete one.
    Invalid,     // The content failed validation; the held version stays in force.
};

inline constexpr EnumNames<PullFailure, 4> pullFailureNames{{
    {PullFailure::Busy, "busy"},
    {PullFailure::Missing, "missing"},
    {PullFailure::Unreachable, "unreachable"},
    {PullFailure::Invalid, "invalid"},
}};

// A peer that reported to hold at least the target version.
struct Holder
{
    std::string id;
    std::string controlAddress;
    bool sameZone = false;
};

struct PullStep
{
    PullSource source = PullSource::None; // None: nothing to do now.
    Holder holder;                        // Set for peer sources.
    std::uint64_t number = 0;
};

// A pull that was not answered in time; it may still be answered.
struct OverduePull
{
    PullStep step;
    Duration waited{};
};

struct PullSettings
{
    Duration pollerDelayPerRank =
        Milliseconds(1000); // Platform pulls of pollers after the first are delayed.
    Duration otherZonesDelay = Milliseconds(1500);
    Duration platformDelay = Milliseconds(5000);
    Duration platformDelayPerRank = Milliseconds(1000); // Added for each node with a lower rank.
    Duration initialBackoff = Milliseconds(50);
    Duration maximumBackoff = Milliseconds(5000);
    Duration peerAvoidance = Milliseconds(5000);
    // After this a pull is overdue and another may start. A delta is some kilobytes.
    Duration responseTimeout = Milliseconds(500);
    // The same for a node that holds no version. A full site takes a second at 5 Mbit/s.
    Duration fullResponseTimeout = Milliseconds(2000);
    // A version that the source itself reported is pulled from it before peers: its content came along.
    bool platformFirst = false;
    // Delay of platform pulls of a version that only peers reported, since a peer that holds it may yet turn
    // up.
    Duration peersOnlyDuration{};
    std::uint32_t platformPullers = 2; // Ranks that may ask the platform early; equals the fast pollers.
};

class PullPlan
{
public:
    PullPlan(PullSettings settings, std::uint64_t seed);

    // Commands.
    void setTarget(const ConfigurationVersion &version, Instant now); // Reported by peers.
    void sourceReported(const ConfigurationVersion &version, Instant now);
    // For a node that holds no version: pulls an older version first, and the newer target after it.
    void setInterimTarget(const ConfigurationVersion &version, Instant now);
    // Starts a pull if the step names a source; succeeded() or failed() with its number must follow.
    PullStep next(Instant now, std::uint64_t heldVersion, std::uint32_t rank,
                  const std::vector<Holder> &holders);
    // Ends all open pulls. False if the pull had ended already: its content is no longer needed.
    bool succeeded(std::uint64_t number);
    // False if the pull had ended already.
    bool failed(Instant now, std::uint64_t number, PullFailure failure, Duration retryAfter);
    // Returns each overdue pull once. Its peer is avoided for a while.
    std::vector<OverduePull> takeOverdue(Instant now);

    // Queries.
    const ConfigurationVersion &targetVersion() const { return this->target; }
    bool hasOpenPulls() const { return !this->open.empty(); }
    bool isOpen(std::uint64_t number) const;
    bool isRejected(const ConfigurationVersion &version) const;

private:
    void markBehind(Instant now);
    bool isPullingFromPlatform() const;
    bool isPullingFrom(const std::string &id) const;
    bool isAvoided(const std::string &id, Instant now) const;
    struct OpenPull
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
    std::uint64_t reportedBySource = 0; // Newest version that the source itself reported.
    ConfigurationVersion deferred;      // Next target once the current one is held; newer, or no version.
    // When the node fell behind, or last came closer to the target. The delays for other zones and the
    // platform count from here.
    Instant behindSince{};
    bool behind = false;
    std::vector<OpenPull> open; // Bounded; more than one only if all but the last are overdue.
    std::uint64_t lastNumber = 0;
    Instant notBefore{};
    Instant platformNotBefore{};
    std::uint32_t failures = 0;             // Consecutive.
    std::uint32_t platformFailures = 0;     // Consecutive.
    std::map<std::string, Instant> avoided; // End of the avoidance, by peer id.
    // Versions whose content from the platform failed validation; never pulled again. Bounded.
    std::vector<ConfigurationVersion> rejected;
    bool peerContentInvalid = false; // A peer's copy failed validation; only the platform's copy decides.
};

// The version that a node without a configuration pulls while the platform is unavailable: the highest that
// at least two peers hold, or the only peer's; zero: none. A version that a single peer holds may never have
// been accepted by any other node; if two independent peers hold it, a fault would lie in the head row
// instead.
std::uint64_t corroboratedVersion(std::vector<std::uint64_t> heldVersions);

} // namespace Sagecrank
