// Matches calls to earlier refusals by their deadlines.
#include <LibDecide/RetryMatcher.h>

#include <algorithm>
#include <cstddef>

namespace Sagecrank {

namespace {

using namespace std::chrono_literals;

// Network latency differs by some milliseconds between attempts, a new connection adds a round trip, and
// deadlines are sent in whole milliseconds.
constexpr Duration deadlineTolerance = 15ms;

// Enough for 100 calls of one kind a second that are refused at one node and may be retried for several
// seconds.
constexpr std::size_t maximumCallsPerKind = 512;
constexpr std::size_t maximumKinds = 512;

} // namespace

void RetryMatcher::recordRefusal(Instant now, std::uint64_t kind, Instant deadline, Instant firstArrivedAt)
{
    if (this->byKind.size() >= maximumKinds && !this->byKind.contains(kind))
        this->byKind.clear();
    std::deque<RefusedCall> &refusedCalls = this->byKind[kind];
    std::erase_if(refusedCalls, [now](const RefusedCall &call) { return call.deadline <= now; });
    if (refusedCalls.size() >= maximumCallsPerKind)
        refusedCalls.pop_front();
    refusedCalls.push_back({deadline, firstArrivedAt});
}

std::optional<Instant> RetryMatcher::matchRetry(Instant now, std::uint64_t kind, Instant deadline)
{
    const auto entry = this->byKind.find(kind);
    if (entry == this->byKind.end())
        return std::nullopt;
    std::deque<RefusedCall> &refusedCalls = entry->second;
    const auto found = std::ranges::find_if(refusedCalls, [&](const RefusedCall &call) {
        const Duration difference =
            call.deadline > deadline ? call.deadline - deadline : deadline - call.deadline;
        return call.deadline > now && difference <= deadlineTolerance;
    });
    if (found == refusedCalls.end())
        return std::nullopt;
    const Instant firstArrivedAt = found->firstArrivedAt;
    refusedCalls.erase(found);
    return firstArrivedAt;
}

} // namespace Sagecrank
