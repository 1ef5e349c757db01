// When a call may be sent again, and how often.
#include <LibDecide/Retry.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <vector>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

struct SendAgainRow
{
    CallPhase phase;
    bool idempotent;
    bool refusedNotRun;
    bool expected;
};

const SendAgainRow sendAgainRows[] = {
    {CallPhase::NotSent, false, false, true},    {CallPhase::NotSent, true, false, true},
    {CallPhase::MaybeSent, false, false, false}, {CallPhase::MaybeSent, true, false, true},
    {CallPhase::Answered, false, false, false},  {CallPhase::Answered, true, false, true},
    {CallPhase::Answered, false, true, true},    {CallPhase::Answered, true, true, true},
};

} // namespace

TABLE_TEST(retry, sendsAgainOnlyWhatCannotRunTwice, sendAgainRows)
{
    cr_assert_eq(isRetrySafe(row.phase, row.idempotent, row.refusedNotRun), row.expected);
}

// Callers see every call to a dead zone fail for a while. Each of the node's calls is tried again at once.
// The budget must keep what is added to the rest of the fleet within its share, since the rest would fail
// too.
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

// A quiet time saves up tokens; then every call fails for some seconds. Spending what was saved on top of
// what each window earns would double the retries of one window, and an allowance that many nodes share would
// break.
Test(retry, noWindowHasMoreThanItsShare)
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

Test(retry, hedgesOnlyTheSlowest)
{
    HedgeDelay hedge;
    cr_assert(!hedge.delay());
    for (int call = 0; call < 1000; ++call)
        hedge.observe(call % 25 == 0 ? 50ms : 2ms);
    cr_assert(hedge.delay() >= 2ms);
    cr_assert(hedge.delay() < 3ms);
}
