// Token buckets by account and role.
#include <LibAccount/AllowanceGranter.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// Part of the overage that the primary grants, since some granted tokens expire unused. The rest covers
// tokens that are spent up to their lifetime after the grant, and the backup.
constexpr double primaryShareOfOverage = 0.25;

// Part of the overage and slack that the backup grants. Nodes with different views may each take themselves
// for the backup.
constexpr double backupShare = 0.5;

constexpr Duration minimumRetryAfter = std::chrono::milliseconds(20);
constexpr Duration maximumRetryAfter = std::chrono::seconds(2);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

AllowanceGranter::AllowanceGranter(AllowanceBounds bounds, const AllowancePlacement &placement)
    : bounds(bounds)
    , placement(placement)
{
}

void AllowanceGranter::setAccounts(const std::vector<Account> &accounts)
{
    this->limits.clear();
    for (const Account &account : accounts) {
        if (account.isLimited())
            this->limits[hashAccount(account.name)] = {account.callsPerSecond, account.burst};
    }
    const auto isUnknown = [this](const auto &entry) { return !this->limits.contains(entry.first); };
    std::erase_if(this->primaryBuckets, isUnknown);
    std::erase_if(this->backupBuckets, isUnknown);
}

AllowanceGrant AllowanceGranter::grant(Instant now, const AllowanceRequest &request)
{
    const auto limit = this->limits.find(request.account);
    const GranterNode *primary = this->placement.granter(request.account, GranterRole::Primary);
    const bool isPrimary = primary != nullptr && primary->isSelf;
    const bool isResponsible = isPrimary || request.role == GranterRole::Backup;
    if (limit == this->limits.end() || !isResponsible || !this->placement.seesMajority(now))
        return {request.requestId, GrantResult::NotResponsible, 0, 0};
    if (!isPrimary)
        return take(this->backupBuckets[request.account], this->backupLimit(limit->second), now, request);
    Bucket &bucket = this->primaryBuckets[request.account];
    const Limit usable = this->primaryLimit(limit->second);
    // What an earlier primary granted is unknown, so nothing is assumed to be left of it.
    const Instant since = this->placement.primarySince(now, request.account);
    if (bucket.filledAt < since)
        bucket = {0, since, {}};
    return take(bucket, usable, now, request);
}

AllowanceGranter::Limit AllowanceGranter::primaryLimit(const Limit &limit) const
{
    const double factor = 1 + primaryShareOfOverage * this->bounds.overage;
    return {limit.callsPerSecond * factor, std::max(limit.burst, 1.0)};
}

AllowanceGranter::Limit AllowanceGranter::backupLimit(const Limit &limit) const
{
    const double window = seconds(this->bounds.window);
    const double allowance = limit.callsPerSecond * window + limit.burst;
    const double reserve = backupShare * (allowance * this->bounds.overage + this->bounds.slack);
    // In a window a bucket grants its burst and what flows in meanwhile.
    return {reserve / 2 / window, std::max(1.0, reserve / 2)};
}

void AllowanceGranter::fill(Bucket &bucket, const Limit &limit, Instant now)
{
    const double passed = std::max(0.0, seconds(now - bucket.filledAt));
    bucket.tokens = std::min(limit.burst, bucket.tokens + passed * limit.callsPerSecond);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

AllowanceGrant AllowanceGranter::take(Bucket &bucket, const Limit &limit, Instant now,
                                      const AllowanceRequest &request)
{
    fill(bucket, limit, now);
    const double granted = std::min<double>(request.wanted, std::floor(bucket.tokens));
    bucket.tokens -= granted;
    AllowanceGrant grant{request.requestId, GrantResult::Granted, static_cast<std::uint16_t>(granted), 0};
    const double refused = request.wanted - granted;
    if (refused <= 0)
        return grant;
    grant.result = GrantResult::Exhausted;
    // Callers that return at the same moment are refused again, so each gets the time of a token of its own.
    const auto interval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(refused / limit.callsPerSecond));
    bucket.nextReturnAt = std::min(std::max(bucket.nextReturnAt, now) + interval, now + maximumRetryAfter);
    const Duration retryAfter = std::max(minimumRetryAfter, bucket.nextReturnAt - now);
    grant.retryAfterMilliseconds =
        static_cast<std::uint32_t>(std::chrono::ceil<Milliseconds>(retryAfter).count());
    return grant;
}

} // namespace Sagecrank
