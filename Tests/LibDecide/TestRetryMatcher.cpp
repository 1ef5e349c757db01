// Which calls are taken for a refused caller's next try.
#include <LibDecide/RetryMatcher.h>

#include <Support/TableTest.h>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kind = 7;
const Instant begin = Instant() + 1h;

struct NextRow
{
    const char *what;
    std::uint64_t kind;
    Duration cameAfter; // The first try.
    Duration givesUpAfter;
    bool recognised;
};

// The first try came at the beginning and gives up after 800 ms.
const NextRow nextRows[] = {
    {"the same deadline", kind, 200ms, 800ms, true},
    {"a slower way, and milliseconds cut off", kind, 200ms, 807ms, true},
    {"a new caller, who gives up later", kind, 30ms, 830ms, false},
    {"another route", 8, 200ms, 800ms, false},
    {"its deadline has passed", kind, 801ms, 801ms, false},
};

} // namespace

// A caller is refused, waits as it was told and comes again: the answer is late for it when it is late from
// its first try on. Somebody else's call must not be taken for it, or it would be held for late although it
// is new.
TABLE_TEST(returningCallers, isKnownByTheMomentItGivesUp, nextRows)
{
    RetryMatcher callers;
    callers.recordRefusal(begin, kind, begin + 800ms, begin - 5ms);
    const auto first = callers.matchRetry(begin + row.cameAfter, row.kind, begin + row.givesUpAfter);
    cr_assert(first.has_value() == row.recognised, "%s", row.what);
    cr_assert(!first || *first == begin - 5ms, "%s", row.what);
}

// Two callers are refused together and both come back; a third one with their deadline is somebody else.
Test(returningCallers, eachRefusalIsMatchedOnce)
{
    RetryMatcher callers;
    callers.recordRefusal(begin, kind, begin + 800ms, begin);
    callers.recordRefusal(begin, kind, begin + 801ms, begin);
    cr_assert(callers.matchRetry(begin + 100ms, kind, begin + 800ms));
    cr_assert(callers.matchRetry(begin + 100ms, kind, begin + 801ms));
    cr_assert(!callers.matchRetry(begin + 100ms, kind, begin + 800ms));
}
