// Large responses on a link that they nearly fill: what small messages and callers wait for.
#include <LibDecide/LinkBacklog.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t largeKind = 1;
constexpr std::uint64_t smallKind = 2;
constexpr double bytesPerSecond = 13e6 / 8;
const Instant start = Instant{} + 1000s;

LinkBacklog makeBacklog(double rate = bytesPerSecond)
{
    LinkBacklog backlog(rate);
    backlog.setLargeKinds({largeKind});
    return backlog;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Sizes around 90 KB; the largest is about six times that.
std::size_t drawSize(std::mt19937 &random)
{
    std::lognormal_distribution<> size(std::log(90000.0) - 0.18, 0.6);
    return static_cast<std::size_t>(std::min(540000.0, size(random)));
}

const std::uint32_t seeds[] = {1, 2, 3, 4, 5};

} // namespace

// Heartbeats behind a queue of large responses: peers took the host for dead.
TABLE_TEST(linkBacklog, smallMessagesWaitForOneLargeResponseAtMost, seeds)
{
    std::mt19937 random(row);
    std::exponential_distribution<> gap(17); // 94% of the link.
    LinkBacklog backlog = makeBacklog();
    Instant now = start;
    Instant linkFreeAt = start;
    Duration longestBehind{};
    for (int response = 0; response < 5000; ++response) {
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        const std::size_t bytes = drawSize(random);
        backlog.started(largeKind);
        const Instant sentAt = backlog.ready(now, largeKind, bytes);
        cr_assert(sentAt >= now);
        // What is still on the link when the next large response enters it.
        longestBehind = std::max(longestBehind, linkFreeAt - sentAt);
        linkFreeAt = std::max(linkFreeAt, sentAt)
                     + std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
    }
    cr_assert(longestBehind <= 1ms, "seed %u: %f s", row, seconds(longestBehind));
}

// Calls were admitted by slots alone, and their responses left after the deadlines of their callers.
Test(linkBacklog, countsTheResponsesOfRunningCalls)
{
    LinkBacklog backlog = makeBacklog();
    for (int call = 0; call < 50; ++call) { // So that the size is known.
        backlog.started(largeKind);
        backlog.ready(start, largeKind, 90000);
    }
    const Instant later = start + 60s;
    const double alone = seconds(backlog.expectedDelay(later, largeKind));
    for (int call = 0; call < 9; ++call)
        backlog.started(largeKind);
    const double behindNine = seconds(backlog.expectedDelay(later, largeKind));
    cr_assert(std::abs(behindNine - 10 * alone) < 0.001, "%f and %f", alone, behindNine);
    for (int call = 0; call < 9; ++call)
        backlog.ended(largeKind);
    cr_assert(std::abs(seconds(backlog.expectedDelay(later, largeKind)) - alone) < 0.001);
}

Test(linkBacklog, leavesOtherCallsAlone)
{
    LinkBacklog backlog = makeBacklog();
    backlog.started(largeKind);
    backlog.ready(start, largeKind, 10'000'000);
    backlog.started(smallKind);
    cr_assert(backlog.ready(start, smallKind, 10'000'000) == start);
    cr_assert(backlog.expectedDelay(start, smallKind) == Duration::zero());
}

// A host that states no link speed is served as before.
Test(linkBacklog, limitsNothingWithoutALinkSpeed)
{
    LinkBacklog backlog = makeBacklog(0);
    backlog.started(largeKind);
    cr_assert(backlog.ready(start, largeKind, 10'000'000) == start);
    cr_assert(backlog.expectedDelay(start, largeKind) == Duration::zero());
}
