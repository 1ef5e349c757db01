// Which calls may be retried, and how often.
#include <LibDecide/Retry.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <vector>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

struct RetrySafetyRow
{
    CallPhase phase;
    bool idempotent;
    bool refusedNotRun;
    bool expected;
};

const RetrySafetyRow retrySafetyRows[] = {
    {CallPhase::NotSent, false, false, true},    {CallPhase::NotSent, true, false, true},
    {CallPhase::MaybeSent, false, false, false}, {CallPhase::MaybeSent, true, false, true},
    {CallPhase::Answered, false, false, false},  {CallPhase::Answered, true, false, true},
    {CallPhase::Answered, false, true, true},    {CallPhase::Answered, true, true, true},
};

} // namespace

TABLE_TEST(retry, onlySafeCallsAreRetried, retrySafetyRows)
{
    cr_assert_eq(isRetrySafe(row.phase, row.idempotent, row.refusedNotRun), row.expected);
}

// Every call to a failed zone is retried at once. The budget must keep the added load on the rest of the
// fleet within its share, since the rest would fail too.
Test(retry, budgetKeepsRetriesWithinItsShare)
{
    RetryBudget budget(0.1, 5);
    Instant now{};
    int retries = 0;
    for (int call = 0; call < 10'000; ++call) {
        now += 1ms;
        budget.recordFirstAttempt(now);
        retries += budget.tryAcquireRetry(now) ? 1 : 0;
    }
    cr_assert_leq(retries, 10'000 / 10 + 2 * 5);
    cr_assert_geq(retries, 10'000 / 10 - 1);
}

// Tokens are saved up in a quiet period; then every call fails for some seconds. If the saved tokens were
// spent on top of what each window earns, the retries of one window would double, and a budget that many
// nodes share would be exceeded.
Test(retry, noWindowExceedsItsShare)
{
    RetryBudget budget(0.1, 5);
    Instant now{};
    std::vector<Instant> retries;
    for (int call = 0; call < 40'000; ++call) {
        now += 1ms;
        budget.recordFirstAttempt(now);
        const bool failing = call % 15'000 > 9'000;
        if (failing && budget.tryAcquireRetry(now))
            retries.push_back(now);
    }
    for (std::size_t first = 0; first < retries.size(); ++first) {
        const auto end = std::upper_bound(retries.begin(), retries.end(), retries[first] + 10s);
        cr_assert_leq(end - retries.begin() - static_cast<std::ptrdiff_t>(first), 10'500 / 10 + 5);
    }
}

// A kind of call that fails while all others succeed must not take their retries: each of its retries repeats
// the calls that it makes at other services.
Test(retry, oneKindKeepsToItsOwnShare)
{
    constexpr std::uint64_t failingKind = 1;
    RetryBudget budget(0.1, 5);
    Instant now{};
    int retries = 0;
    for (int call = 0; call < 10'000; ++call) {
        now += 1ms;
        const std::uint64_t kind = call % 2 == 0 ? failingKind : 2;
        budget.recordFirstAttempt(now, kind);
        retries += kind == failingKind && budget.tryAcquireRetry(now, kind) ? 1 : 0;
    }
    cr_assert_leq(retries, 5'000 / 10 + 5);
    cr_assert_geq(retries, 5'000 / 10 - 5);
}

// A caller that sends many kinds must not exhaust a node's memory, nor escape the service's share.
Test(retry, manyKindsShareTheBudget)
{
    RetryBudget budget(0.1, 5);
    Instant now{};
    int retries = 0;
    for (std::uint64_t call = 0; call < 10'000; ++call) {
        now += 1ms;
        budget.recordFirstAttempt(now, call);
        retries += budget.tryAcquireRetry(now, call) ? 1 : 0;
    }
    cr_assert_leq(retries, 10'000 / 10 + 5);
}

Test(retry, hedgesOnlySlowCalls)
{
    HedgeDelay hedge;
    cr_assert(!hedge.delay());
    for (int call = 0; call < 1000; ++call)
        hedge.observe(call % 25 == 0 ? 50ms : 2ms);
    cr_assert(hedge.delay() >= 2ms);
    cr_assert(hedge.delay() < 3ms);
}
