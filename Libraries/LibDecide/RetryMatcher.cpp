// Matching calls to refusals by the moment at which their callers give up.
#include <LibDecide/RetryMatcher.h>

#include <algorithm>
#include <cstddef>

namespace Sagecrank {

namespace {

using namespace std::chrono_literals;

// The way from a caller differs by some milliseconds from try to try, a new connection takes a round trip,
// and deadlines are stated in whole milliseconds.
constexpr Duration tolerance = 15ms;

// Of one kind; 100 calls a second that are refused at one node and may come back for seconds.
constexpr std::size_t mostOfKind = 512;
constexpr std::size_t mostKinds = 512;

} // namespace

void RetryMatcher::recordRefusal(Instant now, std::uint64_t kind, Instant givesUp, Instant firstCame)
{
    if (this->byKind.size() >= mostKinds && !this->byKind.contains(kind))
        this->byKind.clear();
    std::deque<Refused> &known = this->byKind[kind];
    std::erase_if(known, [now](const Refused &call) { return call.givesUp <= now; });
    if (known.size() >= mostOfKind)
        known.pop_front();
    known.push_back({givesUp, firstCame});
}

std::optional<Instant> RetryMatcher::matchRetry(Instant now, std::uint64_t kind, Instant givesUp)
{
    const auto known = this->byKind.find(kind);
    if (known == this->byKind.end())
        return std::nullopt;
    std::deque<Refused> &calls = known->second;
    const auto found = std::ranges::find_if(calls, [&](const Refused &call) {
        const Duration apart = call.givesUp > givesUp ? call.givesUp - givesUp : givesUp - call.givesUp;
        return call.givesUp > now && apart <= tolerance;
    });
    if (found == calls.end())
        return std::nullopt;
    const Instant firstCame = found->firstCame;
    calls.erase(found);
    return firstCame;
}

} // namespace Sagecrank
