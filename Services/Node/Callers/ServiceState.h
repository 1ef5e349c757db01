// What a node has learnt about a service from its own calls. Shared by all request threads and kept across
// rebuilds of the upstream view.
#pragma once

#include <LibDecide/LoadBalancer.h>
#include <LibDecide/Retry.h>
#include <LibRollout/ExposureBudget.h>

#include <mutex>
#include <string>

namespace Sagecrank {

struct ServiceState
{
    // `retryReserve` is the number of retries in ten seconds allowed even to a service with hardly any calls.
    ServiceState(LoadBalancerSettings settings, double retryShare, double retryReserve,
                 std::function<std::uint64_t()> random)
        : loadBalancer(settings, std::move(random))
        , retries(retryShare, retryReserve)
    {
    }

    std::mutex mutex; // Held for one decision at a time.
    LoadBalancer loadBalancer;
    RetryBudget retries;
    HedgeDelay hedge;
    ExposureBudget trialBudget; // Of a version that is rolled out.
    double trialShare = 0;      // The part of the calls that it may get; 0 without one.
};

} // namespace Sagecrank
