// Grants the allowances of the accounts for which this node ranks first, and a small reserve of those for
// which it ranks second. Uses no sockets or clocks.
//
// Load: accounts at up to eight times their allowance, evenly over all nodes. What all nodes together run in
// any window must stay below (rate x window + burst) x (1 + overage) + slack.
#pragma once

#include <LibAccount/AllowanceMessages.h>
#include <LibAccount/AllowancePlacement.h>
#include <LibConfig/Account.h>
#include <LibCore/Time.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// How far the calls of an account may exceed its allowance.
struct AllowanceBounds
{
    Duration window = std::chrono::seconds(5);
    double overage = 0.1;
    double slack = 20; // Calls in a window.
};

class AllowanceGranter
{
public:
    AllowanceGranter(AllowanceBounds bounds, const AllowancePlacement &placement);

    // Commands.

    // The accounts in force. A changed rate holds from the next grant on; what was granted stays granted.
    void setAccounts(const std::vector<Account> &accounts);
    AllowanceGrant grant(Instant now, const AllowanceRequest &request);

private:
    struct Limit
    {
        double callsPerSecond = 0;
        double burst = 0;
    };

    struct Bucket
    {
        double tokens = 0;
        Instant filledAt{};
        Instant nextReturnAt{}; // For the next caller that is refused.
    };

    Limit primaryLimit(const Limit &limit) const;
    Limit backupLimit(const Limit &limit) const;
    static void fill(Bucket &bucket, const Limit &limit, Instant now);
    static AllowanceGrant take(Bucket &bucket, const Limit &limit, Instant now,
                               const AllowanceRequest &request);

    const AllowanceBounds bounds;
    const AllowancePlacement &placement;
    std::unordered_map<AccountHash, Limit> limits;
    std::unordered_map<AccountHash, Bucket> primaryBuckets;
    std::unordered_map<AccountHash, Bucket> backupBuckets;
};

} // namespace Sagecrank
