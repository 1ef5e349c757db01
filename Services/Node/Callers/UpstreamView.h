// Who is present, cut for the request path: the candidates of each service. A view is built on the control
// thread and never changed afterwards.
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
    std::vector<UpstreamCandidate> facts; // In the candidates' order; ids point into them.
};

class UpstreamView
{
public:
    const ServiceView *find(const std::string &cluster) const;

private:
    friend class UpstreamViewBuilder;
    std::unordered_map<std::string, std::unique_ptr<ServiceView>> services;
};

// Keeps the state of each service from view to view.
class UpstreamViewBuilder
{
public:
    // `makeState` is called once for each service.
    UpstreamViewBuilder(std::string ownId, std::string ownZone,
                        std::function<std::shared_ptr<ServiceState>()> makeState);

    std::unique_ptr<const UpstreamView> build(const std::vector<Member> &members);

    // The nodes that share an allowance of retries, and each service's part of it for this node.
    void setRetryReserve(double reserve);

    // Drops what was learnt of upstreams that no call has used since.
    void forgetUnused(Instant before);

private:
    std::string ownId;
    std::string ownZone;
    std::function<std::shared_ptr<ServiceState>()> makeState;
    std::unordered_map<std::string, std::shared_ptr<ServiceState>> states;
};

} // namespace Sagecrank
