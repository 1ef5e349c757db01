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

struct Candidate
{
    std::string id;
    std::string peerAddress;
};

struct ServiceView
{
    std::shared_ptr<ServiceState> state;
    std::vector<Candidate> candidates;
    std::vector<UpstreamCandidate> upstreams; // Parallel to `candidates`; their ids are views into it.
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

    std::unique_ptr<const UpstreamView> build(const std::vector<Member> &members);

    // Sets this node's part of the retry reserve that the nodes share, for each service.
    void setRetryReserve(double reserve);

    // Drops the statistics of upstreams that no call has used since `before`.
    void forgetUnused(Instant before);

private:
    std::string ownId;
    std::string ownZone;
    std::function<std::shared_ptr<ServiceState>()> makeState;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> states;
};

} // namespace Sagecrank
