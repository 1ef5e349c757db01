// Which calls are recognised as retries of refused callers.
#include <LibDecide/RetryMatcher.h>

#include <Support/TableTest.h>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kind = 7;
const Instant begin = Instant() + 1h;

struct RetryRow
{
    const char *what;
    std::uint64_t kind;
    Duration arrivesAfter; // Relative to the first attempt.
    Duration deadlineAfter;
    bool matched;
};

// The first attempt arrives at `begin` with a deadline 800 ms later.
const RetryRow retryRows[] = {
    {"the same deadline", kind, 200ms, 800ms, true},
    {"a slower network and a truncated deadline", kind, 200ms, 807ms, true},
    {"a new caller with a later deadline", kind, 30ms, 830ms, false},
    {"another route", 8, 200ms, 800ms, false},
    {"its deadline has passed", kind, 801ms, 801ms, false},
};

} // namespace

// A refused caller retries as it was told, and its latency counts from the first attempt. A call of another
// caller must not be taken for the retry, since it would then be treated as late although it is new.
TABLE_TEST(retryMatcher, matchesRetryByDeadline, retryRows)
{
    RetryMatcher matcher;
    matcher.recordRefusal(begin, kind, begin + 800ms, begin - 5ms);
    const auto first = matcher.matchRetry(begin + row.arrivesAfter, row.kind, begin + row.deadlineAfter);
    cr_assert(first.has_value() == row.matched, "%s", row.what);
    cr_assert(!first || *first == begin - 5ms, "%s", row.what);
}

// Two callers are refused together and both retry; a third call with the same deadline belongs to somebody
// else.
Test(retryMatcher, eachRefusalIsMatchedOnce)
{
    RetryMatcher matcher;
    matcher.recordRefusal(begin, kind, begin + 800ms, begin);
    matcher.recordRefusal(begin, kind, begin + 801ms, begin);
    cr_assert(matcher.matchRetry(begin + 100ms, kind, begin + 800ms));
    cr_assert(matcher.matchRetry(begin + 100ms, kind, begin + 801ms));
    cr_assert(!matcher.matchRetry(begin + 100ms, kind, begin + 800ms));
}
