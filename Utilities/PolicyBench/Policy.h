// The policies that are compared: ours, ours without one of its mechanisms, and plain baselines. The fake
// fleet sees them through hooks only.
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
    bool hedgesCalls = false; // Sends a second copy of an interactive call that is late.
};

// Round robin over all upstreams and no admission: an endless queue in order of arrival.
Policy roundRobinPolicy();
// The fewest own outstanding calls, and no admission.
Policy leastOutstandingPolicy();
Policy sagecrankPolicy();
// Ours with one mechanism taken out; named "no-...".
std::vector<Policy> ablationPolicies();

} // namespace Sagecrank
