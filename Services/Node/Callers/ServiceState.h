// What a node has learnt about one service from its own calls, shared by all request threads and kept while
// the views of who is present come and go.
#pragma once

#include <LibDecide/LoadBalancer.h>
#include <LibDecide/Retry.h>

#include <mutex>
#include <string>

namespace Sagecrank {

struct ServiceState
{
    // `retryReserve`: a service that is hardly called may still retry this often in ten seconds.
    ServiceState(LoadBalancerSettings placing, double retryShare, double retryReserve,
                 std::function<std::uint64_t()> random)
        : placer(placing, std::move(random))
        , retries(retryShare, retryReserve)
    {
    }

    std::mutex mutex; // Held for one decision at a time.
    LoadBalancer placer;
    RetryBudget retries;
    HedgeDelay hedge;
};

} // namespace Sagecrank
