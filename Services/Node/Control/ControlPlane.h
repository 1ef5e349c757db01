// The control plane of one node: who is present, which configuration is newest, and how it gets here. It
// composes gossip, the follower of versions, the server of pulls and the introducers on one io_context that
// one thread runs, apart from the threads that carry requests.
#pragma once

#include "ControlFollower.h"
#include "ControlIntroducers.h"

#include <LibConfig/Model.h>
#include <LibCore/Error.h>
#include <LibMembership/Membership.h>

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

struct TablePort;
struct VersionSource;

struct ControlSettings
{
    std::string id;
    std::string region;
    std::string zone;
    std::string site;
    std::uint32_t linkMegabits = 0; // A second; 0: not told.
    std::string gossipAddress;      // Listens on it and tells others of it; so for the next two.
    std::string peerAddress;        // Only told.
    std::string controlAddress;
    std::vector<std::string> seeds; // Gossip addresses.
    MembershipSettings membership;  // Its seeds are ignored.
    FollowerSettings follower;
    IntroducerTiming introducers;
};

// All are called on the control thread. Hooks that are not set are not called.
struct ControlHooks
{
    // The full view with the node itself, after changes, at most every 50 ms and 20 us a member. Suspects are
    // in it and count as present: they may refute.
    std::function<void(const std::vector<Member> &)> membersChanged;
    // Each change of one member by itself, at once; for the history.
    std::function<void(const Member &)> memberChanged;
    std::function<Result<void>(SiteConfiguration)> configurationOffered;
    // Something failed that an operator may want to know; not called again and again for one outage.
    std::function<void(const Error &)> failed;
    std::function<void(const SourceFailure &)> sourceFailed;     // The source of versions did not answer.
    std::function<void(const SourceRecovery &)> sourceRecovered; // The source of versions answers again.
    // The notices that this node holds, after they changed.
    std::function<void(const std::vector<Notice> &)> noticesChanged;
    // A peer knows of this life of the platform's store; see StoreEra.
    std::function<void(std::uint64_t era)> storeEraReceived;
    // A row names an introducer at whose address no member is known, although others are.
    std::function<void(const std::string &gossipAddress)> introducerUnknown;
};

struct ControlStatus
{
    std::array<std::uint64_t, 4> membersByState{}; // By MemberState.
    std::uint64_t heldVersion = 0;
    std::uint64_t headVersion = 0; // The highest accepted one heard of.
    bool ready = false;
    std::uint32_t healthScore = 0; // See Membership.
    std::uint32_t headPollRank = 0;
    MembershipCounters gossip;
    std::uint64_t gossipSendFailures = 0;
    std::uint64_t headReads = 0;
    std::uint64_t headReadFailures = 0;
    Duration sourceAge{}; // Since the source of versions last answered this node.
    std::uint64_t objectReads = 0;
    std::uint64_t introducerReads = 0;
    std::uint64_t introducerWrites = 0;
    std::uint64_t peerPulls = 0;
    std::uint64_t platformPulls = 0;
    std::uint64_t pullFailures = 0;
    std::uint64_t pulledBytes = 0;
    std::uint64_t wholePulls = 0;
    std::uint64_t refusedVersions = 0;
    std::uint64_t pullsServed = 0;
    std::uint64_t pullsRefused = 0;
    std::uint64_t pullBytesServed = 0;
    std::uint64_t malformedRequests = 0;

    std::uint64_t platformReads() const
    {
        return this->headReads + this->objectReads + this->introducerReads;
    }
};

class ControlPlane
{
public:
    // The port and the source answer on the given context. They and the hooks live as long as this does.
    ControlPlane(boost::asio::io_context &context, ControlSettings settings, TablePort table,
                 VersionSource versions, ControlHooks hooks);
    ~ControlPlane();

    // Commands. start() fails when a port cannot be opened; it is called before the context runs or on its
    // thread. The others may be called from any thread.
    Result<void> start();
    void announceUpstream(const std::string &cluster, UpstreamState state, std::uint32_t slots);
    void announce(const Notice &notice); // To all nodes.
    // On the control thread. Tells peers which life of the store this node knows of.
    void noteStoreEra(std::uint64_t era);
    void storeRestored(); // The table has come back from an older copy.
    // Says goodbye to the mesh, then calls `done` on the control thread. Called last, after the drain.
    void leave(std::function<void()> done);
    void stop(); // Closes the ports; on the control thread.

    // Queries; from any thread.
    bool ready() const;           // Holds a configuration and has heard of its peers, if there are any.
    ControlStatus status() const; // At most a second old.

private:
    class Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace Sagecrank
