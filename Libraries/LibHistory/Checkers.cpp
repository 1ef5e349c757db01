// Selects the checker of an invariant and counts the calls of a history.
#include <LibHistory/Checkers.h>

#include <map>
#include <set>

namespace Sagecrank {

namespace {

struct CheckerRow
{
    Invariant invariant;
    CheckResult (*check)(const History &, const CheckLimits &);
};

constexpr CheckerRow checkerRows[] = {
    {Invariant::VersionNeverBack, checkVersionNeverBack},
    {Invariant::NoDanglingRoute, checkNoDanglingRoute},
    {Invariant::WholeVersions, checkWholeVersions},
    {Invariant::OwnWholeAnswer, checkOwnWholeAnswer},
    {Invariant::NotRunNeverRan, checkNotRunNeverRan},
    {Invariant::AtMostOnce, checkAtMostOnce},
    {Invariant::LeavingGetsNoWork, checkLeavingGetsNoWork},
    {Invariant::ShutdownCutsNothing, checkShutdownCutsNothing},
    {Invariant::NamedLimitKept, checkNamedLimitKept},
    {Invariant::AcceptedInForce, checkAcceptedInForce},
};

void countAnswer(CallTotals &totals, const CallerAnswered &answered)
{
    if (answered.outcome == "done") {
        ++totals.done;
        totals.replayed += answered.replayed ? 1 : 0;
    } else if (answered.outcome == "not-run") {
        ++totals.notRun;
    } else {
        ++totals.unknown;
    }
}

// The number of running attempts in each process lifetime.
using RunningByLifetime = std::map<std::size_t, std::size_t>;

} // namespace

CheckResult checkInvariant(Invariant invariant, const History &history, const CheckLimits &limits)
{
    for (const CheckerRow &row : checkerRows) {
        if (row.invariant == invariant)
            return row.check(history, limits);
    }
    return CheckResult{invariant, 0, {}, {}};
}

CallTotals countCalls(const History &history)
{
    CallTotals totals;
    RunningByLifetime running;
    std::set<std::uint64_t> versions;
    for (const HistoryRecord &record : history.records) {
        if (const auto *sent = std::get_if<CallerSent>(&record.event)) {
            ++totals.sent;
            totals.keyed += sent->key.empty() ? 0 : 1;
        } else if (const auto *answered = std::get_if<CallerAnswered>(&record.event)) {
            countAnswer(totals, *answered);
        } else if (std::holds_alternative<CallerLost>(record.event)) {
            ++totals.lost;
        } else if (std::holds_alternative<UpstreamBegan>(record.event)) {
            ++running[record.lifetime];
        } else if (std::holds_alternative<UpstreamEnded>(record.event)) {
            --running[record.lifetime];
        } else if (std::holds_alternative<UpstreamDraining>(record.event)) {
            ++totals.drains;
            totals.inFlightAtDrain += running[record.lifetime];
        } else if (const auto *accepted = std::get_if<PublishAccepted>(&record.event)) {
            versions.insert(accepted->version);
        }
    }
    totals.versionsAccepted = versions.size();
    return totals;
}

} // namespace Sagecrank
