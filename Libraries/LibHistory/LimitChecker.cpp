// Checks that an upstream that names a limit on its calls gets no more than it allows.
#include <LibHistory/Checkers.h>

#include <deque>
#include <map>

namespace Sagecrank {

namespace {

// The limit that one upstream process names, and the calls that it began under it.
struct LimitedUpstream
{
    const HistoryRecord *named = nullptr; // Null while it names none.
    std::uint64_t callsPerSecond = 0;
    std::deque<const HistoryRecord *> began; // In the span that ends with the latest.
};

void checkCall(CheckResult &result, LimitedUpstream &upstream, const HistoryRecord &record,
               const CheckLimits &limits)
{
    if (record.time < upstream.named->time + std::uint64_t(limits.limitSettle.count()))
        return;
    ++result.eventsChecked;
    const auto span = std::uint64_t(limits.limitSpan.count());
    upstream.began.push_back(&record);
    while (record.time - upstream.began.front()->time >= span)
        upstream.began.pop_front();
    const double seconds = std::chrono::duration<double>(limits.limitSpan).count();
    const double allowed =
        limits.limitFactor * static_cast<double>(upstream.callsPerSecond) * seconds + limits.limitExtra;
    if (static_cast<double>(upstream.began.size()) <= allowed)
        return;
    result.violations.push_back({record.process + " named a limit of "
                                     + std::to_string(upstream.callsPerSecond) + " a second and began "
                                     + std::to_string(upstream.began.size()) + " calls in one span",
                                 {upstream.named, upstream.began.front(), &record}});
    upstream.began.clear(); // Reports each span once.
}

} // namespace

CheckResult checkNamedLimitKept(const History &history, const CheckLimits &limits)
{
    CheckResult result{Invariant::NamedLimitKept, 0, {}, {}};
    std::map<std::size_t, LimitedUpstream> upstreams; // By lifetime of the process.
    for (const HistoryRecord &record : history.records) {
        if (const auto *limited = std::get_if<UpstreamLimited>(&record.event)) {
            const bool names = limited->callsPerSecond > 0;
            upstreams[record.lifetime] = {names ? &record : nullptr, limited->callsPerSecond, {}};
        } else if (std::holds_alternative<UpstreamBegan>(record.event)) {
            const auto found = upstreams.find(record.lifetime);
            if (found != upstreams.end() && found->second.named != nullptr)
                checkCall(result, found->second, record, limits);
        }
    }
    return result;
}

} // namespace Sagecrank
