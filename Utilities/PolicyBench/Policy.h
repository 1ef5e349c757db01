// The policies under comparison: that of sagecrank, ablations of it, and simple baselines. The fake fleet
// accesses them through hooks only.
#pragma once

#include <LibDecide/Gate.h>
#include <LibDecide/LoadBalancer.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

using GateHooks = AdmissionHooks;

struct LoadBalancerHooks
{
    std::function<std::optional<std::size_t>(Instant, std::span<const UpstreamCandidate>, CallClass,
                                             std::span<const std::size_t>)>
        pick;
    std::function<void(std::string_view, Instant)> recordStart;
    std::function<void(std::string_view, Instant, CallClass, Duration, AttemptOutcome)> recordEnd;
    std::function<void(std::string_view, Instant, std::uint32_t, std::uint32_t, bool)> recordReportedLoad;
};

struct Policy
{
    std::string name;
    std::function<GateHooks(std::uint64_t seed)> makeGate;
    std::function<LoadBalancerHooks(std::uint64_t seed)> makeLoadBalancer;
    bool limitsRetries = true;
    bool hedgesCalls = false; // Sends a second attempt of a late interactive call.
};

// Round robin over all upstreams without admission control: an unlimited queue in order of arrival.
Policy roundRobinPolicy();
// Fewest outstanding calls of the node itself, without admission control.
Policy leastOutstandingPolicy();
Policy sagecrankPolicy();
// The policy of sagecrank with one mechanism disabled or one setting changed, such as "no-ejection".
std::vector<Policy> ablationPolicies();

} // namespace Sagecrank
