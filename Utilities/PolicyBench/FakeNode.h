// A fake node: picks upstreams for calls, sends attempts, and retries or hedges them where that is safe.
#pragma once

#include <PolicyBench/Call.h>
#include <PolicyBench/FakeUpstream.h>
#include <PolicyBench/Policy.h>
#include <PolicyBench/Timeline.h>

#include <LibDecide/Retry.h>

#include <functional>
#include <memory>
#include <vector>

namespace Sagecrank {

class FakeNode
{
public:
    // The connection of this node to one upstream of a service.
    struct UpstreamLink
    {
        FakeUpstream *upstream;
        std::size_t index; // Over all hosts of the fleet.
        Duration latency;  // One way.
    };

    FakeNode(Timeline &timeline, const Policy &policy, std::uint64_t seed, std::size_t services);

    void addCandidate(std::uint32_t service, const UpstreamCandidate &candidate, const UpstreamLink &link);
    void setCondition(std::uint32_t service, std::size_t index, UpstreamCondition condition);
    void receive(const std::shared_ptr<Call> &call);

private:
    struct Service
    {
        LoadBalancerHooks loadBalancer;
        std::vector<UpstreamCandidate> candidates;
        std::vector<UpstreamLink> links; // In the order of the candidates.
    };

    void send(const std::shared_ptr<Call> &call);
    void onResponse(const std::shared_ptr<UpstreamAttempt> &attempt, std::size_t position,
                    const Response &response);
    bool shouldRetry(const Call &call, ResponseKind kind);
    void scheduleHedge(const std::shared_ptr<Call> &call);
    bool hasOutstandingAttempt(const std::shared_ptr<Call> &call) const;
    void cancelAttempts(const std::shared_ptr<Call> &call, AttemptOutcome end);
    void timeOut(const std::shared_ptr<Call> &call);
    void finish(const std::shared_ptr<Call> &call, const Response &response);

    Timeline &timeline;
    bool limitsRetries;
    bool hedgesCalls;
    RetryBudget budget;
    RetryBudget hedgeBudget;
    HedgeDelay hedgeDelay; // Observes interactive calls only.
    std::vector<Service> services;
    std::vector<std::pair<std::shared_ptr<UpstreamAttempt>, std::size_t>>
        attempts; // Outstanding, with candidate position.
};

} // namespace Sagecrank
