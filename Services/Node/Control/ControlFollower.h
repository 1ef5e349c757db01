// Keeps the node at the newest accepted configuration version: polls the head when this node is a poller,
// pulls content from the source that the plan selects, offers each version as a whole, and serves the version
// that it holds to peers. Used on the control thread only.
#pragma once

#include <LibConfig/Model.h>
#include <LibSource/VersionSource.h>
#include <LibSpread/HeadPoll.h>
#include <LibSpread/PullMessages.h>
#include <LibSpread/PullPlan.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Sagecrank {

struct FollowerCounters
{
    std::uint64_t headReadFailures = 0;
    std::uint64_t peerPulls = 0; // Started.
    std::uint64_t platformPulls = 0;
    std::uint64_t pullFailures = 0;
    std::uint64_t pulledBytes = 0; // From peers.
    std::uint64_t refusedVersions = 0;
    std::uint64_t wholePulls = 0; // Responses of peers that were not deltas.
};

// A failed read of the head.
struct SourceFailure
{
    Error error;
    Duration waited{};          // From the start of the read until it failed.
    std::uint32_t failures = 0; // Consecutive, including this one; 1 if the read before it succeeded.
    Duration retryIn{};
};

// The first successful read after failures.
struct SourceRecovery
{
    Duration outage{}; // Since the last successful read, or since the start.
    std::uint32_t failures = 0;
    std::uint64_t version = 0;
};

struct FollowerHooks
{
    std::function<Result<void>(SiteConfiguration)> offer;
    std::function<void(const ConfigurationVersion &)> headRead; // Read from the version source.
    // The version was the newest one at this time of the source's steady clock.
    std::function<void(std::uint64_t version, std::chrono::nanoseconds sourceTime)> headProven;
    std::function<void(std::uint64_t version)> versionApplied; // A version was accepted.
    std::function<std::vector<Holder>(std::uint64_t version)> holders;
    std::function<std::vector<std::uint64_t>()> zoneVersions; // Versions held by peers in the zone.
    std::function<std::uint32_t()> rank;                      // Among the pollers of the head.
    std::function<void(const SourceFailure &)> sourceFailed;
    std::function<void(const SourceRecovery &)> sourceRecovered;
    std::function<bool()> hasView;
    std::function<bool()> knowsPeers;          // Whether any other node is present.
    std::function<bool()> knowsZone;           // Whether the rank counts all nodes of the zone.
    std::function<void(const Error &)> failed; // A version or a pull failed; for the log.
};

struct FollowerSettings
{
    HeadPollSettings poll;
    PullSettings pull;
};

class ControlFollower
{
public:
    ControlFollower(boost::asio::io_context &context, std::string nodeId, std::string site,
                    VersionSource source, FollowerSettings settings, FollowerHooks hooks, std::uint64_t seed);

    // Commands.
    void start();
    void stop();
    void readHeadFirst(); // Without leaving that to peers; see HeadPoll.
    void versionAnnounced(const ConfigurationVersion &version); // A peer announced it by gossip.
    void pullIfNeeded(); // Also called when a peer announces that it holds a newer version.

    // Queries.
    PullResponse serve(const PullRequest &request); // Caches the deltas that it computes.
    std::uint64_t heldVersion() const;
    const FollowerCounters &counters() const { return this->counts; }
    VersionSourceCounters sourceCounters() const { return this->source.counters(); }
    const ConfigurationVersion &targetVersion() const { return this->plan.targetVersion(); }
    Duration sourceAge() const; // Since the last successful read of the head, or since the start.

private:
    void advance();
    void updatePollRank(Instant now);
    HeadPoller poller() const;
    void pollHead();
    void schedulePoll();
    void readHead(const HeadRead &read);
    // `known`: the newest version known when the read began.
    void headRead(const HeadRead &read, std::uint64_t known, const Head &found);
    void headReadFailed(const HeadRead &read, const Error &error, Duration waited);
    void reportSourceFailure(const Error &error, Duration waited, std::uint32_t failures);
    void fallBackToAgreedVersion(Instant now);
    void pullFromPeer(const PullStep &step);
    Result<void> applyPeerResponse(const PullResponse &response);
    void pullFromPlatform(const PullStep &step);
    void reportOverduePull(const OverduePull &pull);
    Result<void> applyPlatformResponse(Result<SiteConfiguration> configuration);
    Result<void> apply(SiteConfiguration configuration);
    void pullFailed(std::uint64_t number, const Error &error, PullFailure failure);

    boost::asio::io_context &context;
    boost::asio::steady_timer pollTimer;
    boost::asio::steady_timer advanceTimer;
    std::string nodeId;
    std::string site;
    VersionSource source;
    FollowerHooks hooks;
    HeadPoll poll;
    PullPlan plan;
    FollowerCounters counts;
    Instant startedAt{};
    Instant sourceAnsweredAt{}; // Last successful read of the head; the start time before the first one.
    bool stopped = false;

    // Newest last, at most `maximumRecentVersions`; bases of deltas for peers that are a few versions behind.
    std::deque<std::shared_ptr<const SiteConfiguration>> recent;
    std::map<std::uint64_t, std::string> deltas; // Encoded deltas to the newest version, by base version.
};

} // namespace Sagecrank
