// The available upstreams of each service, prepared for the request path. A view is built on the control
// thread and immutable afterwards.
#pragma once

#include "ServiceState.h"

#include <LibMembership/Member.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// How calls may use an upstream.
enum class UpstreamTraffic : std::uint8_t {
    None,
    Trial, // Only the share of calls that a version on trial gets.
    Full,
};

struct Candidate
{
    std::string id;
    std::string peerAddress;
};

// Upstreams among which a call is placed.
struct UpstreamGroup
{
    std::vector<Candidate> candidates;
    std::vector<UpstreamCandidate> upstreams; // Parallel to `candidates`; their ids are views into it.
};

struct ServiceView
{
    std::shared_ptr<ServiceState> state;
    UpstreamGroup serving;
    UpstreamGroup onTrial; // Of a version that is rolled out; they get only a share of the calls.
};

// How calls may use the upstreams of a service, by their versions.
struct VersionTraffic
{
    std::function<UpstreamTraffic(const Member &)> trafficFor;
    std::function<double(const std::string &cluster)> trialShare;
};

class UpstreamView
{
public:
    const ServiceView *find(const std::string &cluster) const;

private:
    friend class UpstreamViewBuilder;
    std::unordered_map<std::string, std::unique_ptr<ServiceView>> services;
};

// Builds views and keeps the state of each service across them.
class UpstreamViewBuilder
{
public:
    // `makeState` is called once for each service.
    UpstreamViewBuilder(std::string ownId, std::string ownZone,
                        std::function<std::shared_ptr<ServiceState>()> makeState);

    // Without `traffic`, every available upstream serves.
    std::unique_ptr<const UpstreamView> build(const std::vector<Member> &members,
                                              const VersionTraffic &traffic = {});

    // Sets this node's part of the retry reserve that the nodes share, for each service.
    void setRetryReserve(double reserve);

    // Drops the statistics of upstreams that no call has used since `before`.
    void forgetUnused(Instant before);

private:
    ServiceView &obtainService(UpstreamView &view, const std::string &cluster);

    std::string ownId;
    std::string ownZone;
    std::function<std::shared_ptr<ServiceState>()> makeState;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> states;
};

} // namespace Sagecrank
