// The control plane of one node: membership, and the distribution of configuration versions. It combines
// gossip, the version follower, the pull server and the introducers on one io_context with a single thread,
// separate from the threads that carry requests.
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
    std::uint32_t linkMbps = 0; // 0 if unknown.
    std::string gossipAddress;  // Listened on and advertised, like `controlAddress`.
    std::string peerAddress;    // Only advertised.
    std::string controlAddress;
    std::vector<std::string> seeds; // Gossip addresses.
    MembershipSettings membership;  // Its seeds are replaced by those above.
    FollowerSettings follower;
    IntroducerTiming introducers;
};

// All are called on the control thread. Hooks that are not set are not called.
struct ControlHooks
{
    // The full member list, including this node, after changes; at most once every 50 ms plus 20 us for each
    // member. Suspects are included and count as present, since they may refute the suspicion.
    std::function<void(const std::vector<Member> &)> membersChanged;
    // Each change of a single member, without delay; for the history.
    std::function<void(const Member &)> memberChanged;
    std::function<Result<void>(SiteConfiguration)> configurationOffered;
    // A failure that an operator may want to know of; not repeated during one outage.
    std::function<void(const Error &)> failed;
    std::function<void(const SourceFailure &)> sourceFailed;     // The version source did not answer.
    std::function<void(const SourceRecovery &)> sourceRecovered; // The version source answers again.
    // All notices that this node holds, after a change.
    std::function<void(const std::vector<Notice> &)> noticesChanged;
    // A peer announced this era of the platform's store; see StoreEra.
    std::function<void(std::uint64_t era)> storeEraReceived;
    // See FollowerHooks.
    std::function<void(std::uint64_t version, std::chrono::nanoseconds sourceTime)> headProven;
    std::function<void(const HeadProof &)> headProofReceived; // From a peer.
    // A datagram about the allowance of an account.
    std::function<void(const std::string &from, std::string_view bytes)> allowanceReceived;
    std::function<void(const Bulletin &)> bulletinReceived;
    std::function<void(const std::string &sender, const std::string &report)> reportReceived;
    // An exchange of member tables with this peer ended: the records sent and received, or why it failed.
    std::function<void(const Member &partner, const Result<std::size_t> &records)> tableExchanged;
    // A row names an introducer whose address belongs to no known member, although other members are known.
    std::function<void(const std::string &gossipAddress)> introducerUnknown;
};

struct ControlStatus
{
    std::array<std::uint64_t, 4> membersByState{}; // By MemberState.
    std::uint64_t heldVersion = 0;
    std::uint64_t headVersion = 0; // The highest accepted version known to this node.
    bool ready = false;
    std::uint32_t healthScore = 0; // See Membership.
    std::uint32_t headPollRank = 0;
    MembershipCounters gossip;
    std::uint64_t gossipSendFailures = 0;
    std::uint64_t headReads = 0;
    std::uint64_t headReadFailures = 0;
    Duration sourceAge{}; // Since the version source last answered this node.
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
    std::uint64_t tableExchanges = 0; // Of member tables, begun by this node.
    std::uint64_t tableExchangeFailures = 0;
    std::uint64_t tablesServed = 0;
    std::uint64_t tablesRefused = 0;
    std::uint64_t tableBytesSent = 0; // While serving.

    std::uint64_t platformReads() const
    {
        return this->headReads + this->objectReads + this->introducerReads;
    }
};

class ControlPlane
{
public:
    // The table and the version source answer on the given context. They and the objects that the hooks use
    // must outlive the control plane.
    ControlPlane(boost::asio::io_context &context, ControlSettings settings, TablePort table,
                 VersionSource versions, ControlHooks hooks);
    ~ControlPlane();

    // Commands, callable from any thread unless noted.

    // Fails when a port cannot be opened. Called before the context runs, or on its thread.
    Result<void> start();
    void announceUpstream(const std::string &cluster, UpstreamState state, std::uint32_t slots,
                          const std::string &version = {});
    void announce(const Notice &notice); // Sent to all nodes.
    void announce(const Bulletin &bulletin);
    void sendReport(const std::string &memberId, const std::string &report); // To one node; may be lost.
    // On the control thread. Announces the highest store era that this node knows to its peers.
    void announceStoreEra(std::uint64_t era);
    void sendDatagram(const std::string &gossipAddress, const std::string &bytes); // On the control thread.
    void setHeadProof(const HeadProof &proof); // On the control thread. Sent to peers from now on.
    void storeRestored(); // On the control thread. The table was restored from an older copy.
    // Announces to the mesh that this node leaves, then calls `done` on the control thread. Called
    // during a drain.
    void leave(std::function<void()> done);
    void stop(); // On the control thread. Closes the ports.

    // Queries, callable from any thread.
    std::uint64_t knownHeadVersion() const; // The highest accepted version that this node has heard of.
    bool ready() const;                     // Holds a configuration and has a view of the members.
    ControlStatus status() const;           // At most one second old.

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace Sagecrank
