// Keeps the node at the newest accepted version: reads the head when it is this node's turn, pulls content
// from the source that the plan names, offers it whole, and serves what it holds to peers. Lives on the
// control thread.
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
    std::uint64_t peerPulls = 0; // Begun.
    std::uint64_t platformPulls = 0;
    std::uint64_t pullFailures = 0;
    std::uint64_t pulledBytes = 0; // From peers.
    std::uint64_t refusedVersions = 0;
    std::uint64_t wholePulls = 0; // Answers of peers that were not deltas.
};

// A read of the head that brought nothing.
struct SourceFailure
{
    Error error;
    Duration waited{};          // From its start until it failed.
    std::uint32_t failures = 0; // In a row, with this one; 1: the source answered before it.
    Duration retryIn{};
};

// The first answer after failures.
struct SourceRecovery
{
    Duration outage{}; // Since the answer before the failures, or since the start.
    std::uint32_t failures = 0;
    std::uint64_t version = 0;
};

struct FollowerHooks
{
    std::function<Result<void>(SiteConfiguration)> offer;
    std::function<void(const ConfigurationVersion &)> headRead; // Read from the platform.
    std::function<void(std::uint64_t version)> versionApplied;  // A version was taken in.
    std::function<std::vector<Holder>(std::uint64_t version)> holders;
    std::function<std::vector<std::uint64_t>()> zoneVersions; // What the zone's peers hold.
    std::function<std::uint32_t()> rank;                      // For polling the head.
    std::function<void(const SourceFailure &)> sourceFailed;
    std::function<void(const SourceRecovery &)> sourceRecovered;
    std::function<bool()> hasView;
    std::function<bool()> knowsPeers;          // Of any other node that is present.
    std::function<void(const Error &)> failed; // A version or a source failed; for the log.
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
    void versionAnnounced(const ConfigurationVersion &mark); // By gossip.
    void pullIfNeeded(); // Tries what is due; also called when a holder appeared.

    // Queries.
    PullResponse serve(const PullRequest &request); // Computes and keeps deltas, and changes nothing else.
    std::uint64_t heldVersion() const;
    const FollowerCounters &counters() const { return this->counts; }
    VersionSourceCounters sourceCounters() const { return this->source.counters(); }
    const ConfigurationVersion &wanted() const { return this->plan.targetVersion(); }
    Duration sourceAge() const; // Since the source last answered, or since the start.

private:
    void advance();
    void considerRank(Instant now);
    HeadPoller poller() const;
    void pollHead();
    void pollLater();
    void readHead(const HeadRead &read);
    // `known`: the newest version when the read began.
    void headRead(const HeadRead &read, std::uint64_t known, const Head &found);
    void headReadFailed(const HeadRead &read, const Error &error, Duration waited);
    void tellSourceFailed(const Error &error, Duration waited, std::uint32_t failures);
    void wantAgreedVersion(Instant now);
    void pullFromPeer(const PullStep &step);
    Result<void> takePeerAnswer(const PullResponse &response);
    void pullFromPlatform(const PullStep &step);
    void tellOverdue(const OverduePull &pull);
    Result<void> takePlatformAnswer(Result<SiteConfiguration> configuration);
    Result<void> take(SiteConfiguration configuration);
    void fail(std::uint64_t number, const Error &error, PullFailure failure);

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
    Instant started{};
    Instant sourceAnswered{}; // When the head was last read; the start before the first time.
    bool stopped = false;

    // Newest last; the base of deltas for peers that are a few versions behind. Bounded.
    std::deque<std::shared_ptr<const SiteConfiguration>> recent;
    std::map<std::uint64_t, std::string> deltas; // Encoded, from a base version to the newest.
};

} // namespace Sagecrank
