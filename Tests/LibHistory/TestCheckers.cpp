// Tests that every checker accepts valid histories, detects each kind of violation of its invariant, and
// fails when there is nothing to check. The violations are put into seeded valid histories at a seeded place.
#include "HistoryFixture.h"

#include <LibHistory/Checkers.h>
#include <LibHistory/HistoryRecorder.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <array>

using namespace Sagecrank;

namespace {

using Random = std::mt19937_64;
constexpr std::uint64_t seedCount = 25;

struct HistoryChange
{
    const char *name;
    Invariant invariant;
    void (*apply)(History &, Random &);
};

template <typename Event>
Event &eventOf(HistoryRecord *record)
{
    return std::get<Event>(record->event);
}

// Picks a swap that replaces a version in the same lifetime.
HistoryRecord *pickReplacingSwap(History &history, Random &random)
{
    auto swaps = findRecords<NodeSwapped>(history, [](const NodeSwapped &swap) { return swap.previous > 0; });
    return pickRandom(swaps, random);
}

// Picks a swap to the last version whose node runs until the convergence limit. The first such swap of b1 is
// excluded, because b1 is killed soon after it.
HistoryRecord *pickLastVersionSwap(History &history, Random &random)
{
    auto swaps = findRecords<NodeSwapped>(history, [](const NodeSwapped &swap) { return swap.version == 3; });
    std::erase_if(swaps, [](const HistoryRecord *record) {
        return record->process == "b1" && std::get<NodeSwapped>(record->event).previous != 0;
    });
    return pickRandom(swaps, random);
}

HistoryRecord *pickDoneResponse(History &history, Random &random, bool replayed)
{
    auto answers = findRecords<CallerAnswered>(history, [replayed](const CallerAnswered &answer) {
        return answer.outcome == "done" && answer.replayed == replayed;
    });
    return pickRandom(answers, random);
}

HistoryRecord *pickNonIdempotentStart(History &history, Random &random, bool keyed)
{
    auto began = findRecords<UpstreamBegan>(history, [&history, keyed](const UpstreamBegan &event) {
        const auto sent = findRecords<CallerSent>(history, [&event](const CallerSent &call) {
            return call.call == event.call && !call.idempotent;
        });
        return !sent.empty() && event.key.empty() != keyed;
    });
    return pickRandom(began, random);
}

void eraseRecord(History &history, const HistoryRecord *record)
{
    history.records.erase(history.records.begin() + (record - history.records.data()));
}

std::uint64_t millisecondsOf(const HistoryRecord *record)
{
    return record->time / millisecond;
}

// Makes the member of the last placement lose its upstream and change twice more, each change at the given
// time before the placement.
void changeMemberBeforeLastPlacement(History &history, std::array<std::uint64_t, 3> millisecondsBefore)
{
    const HistoryRecord record = *findRecords<NodePlaced>(history).back();
    const std::string member = std::get<NodePlaced>(record.event).member;
    const std::uint64_t at = millisecondsOf(&record);
    addEvent(history, at - millisecondsBefore[0], record.process, NodeMember{member, 2, "alive", "none", ""});
    addEvent(history, at - millisecondsBefore[1], record.process,
             NodeMember{member, 2, "suspect", "none", ""});
    addEvent(history, at - millisecondsBefore[2], record.process, NodeMember{member, 3, "alive", "none", ""});
}

// Adds another execution of the call on the upstream of b1.
void addExecution(History &history, const UpstreamBegan &began, const std::string &attempt, std::uint64_t at)
{
    UpstreamBegan again = began;
    again.attempt = attempt;
    addEvent(history, at, "u-b1", again);
}

// Makes the upstream of b1 begin so many calls, spread over the time.
void beginCalls(History &history, std::uint64_t calls, std::uint64_t from, std::uint64_t until)
{
    for (std::uint64_t number = 0; number < calls; ++number) {
        const std::string call = "burst" + std::to_string(number);
        addEvent(history, from + number * (until - from) / calls, "u-b1",
                 UpstreamBegan{call, call + ".1", "", ""});
    }
}

const HistoryChange violatingChanges[] = {
    {"more calls than the limit allows", Invariant::NamedLimitKept,
     [](History &history, Random &random) {
         const std::uint64_t from = limitTime + 3'000 + random() % 4'000;
         beginCalls(history, 126, from, from + 3'900);
     }},
    {"a burst of calls under the limit", Invariant::NamedLimitKept,
     [](History &history, Random &) { beginCalls(history, 126, 31'000, 31'100); }},
    {"calls of a limit that was lowered", Invariant::NamedLimitKept,
     [](History &history, Random &) {
         addEvent(history, 27'000, "u-b1", UpstreamLimited{2});
         beginCalls(history, 18, 31'000, 34'000);
     }},
    {"a swap to an older version", Invariant::VersionNeverBack,
     [](History &history, Random &random) {
         auto &swap = eventOf<NodeSwapped>(pickReplacingSwap(history, random));
         swap.version = swap.previous - 1;
     }},
    {"the same version taken twice", Invariant::VersionNeverBack,
     [](History &history, Random &random) {
         auto &swap = eventOf<NodeSwapped>(pickReplacingSwap(history, random));
         swap.version = swap.previous;
     }},
    {"an older version after a restart", Invariant::VersionNeverBack,
     [](History &history, Random &) {
         auto swaps = findRecords<NodeSwapped>(
             history, [](const NodeSwapped &swap) { return swap.previous == 0 && swap.version == 3; });
         eventOf<NodeSwapped>(swaps.front()).version = 2;
     }},
    {"a swap that was not recorded", Invariant::VersionNeverBack,
     [](History &history, Random &) {
         auto swaps =
             findRecords<NodeSwapped>(history, [](const NodeSwapped &swap) { return swap.version == 2; });
         eraseRecord(history, swaps.front());
     }},
    {"a cluster left out", Invariant::NoDanglingRoute,
     [](History &history, Random &random) {
         auto swaps = findRecords<NodeSwapped>(history);
         eventOf<NodeSwapped>(pickRandom(swaps, random)).clusters.pop_back();
     }},
    {"work for a member never seen", Invariant::NoDanglingRoute,
     [](History &history, Random &random) {
         auto placed = findRecords<NodePlaced>(history);
         eventOf<NodePlaced>(pickRandom(placed, random)).member = "z9";
     }},
    {"work for a cluster the version lacks", Invariant::NoDanglingRoute,
     [](History &history, Random &random) {
         auto placed = findRecords<NodePlaced>(history);
         eventOf<NodePlaced>(pickRandom(placed, random)).cluster = "billing";
     }},
    {"work for a member that is long dead", Invariant::NoDanglingRoute,
     [](History &history, Random &random) {
         auto placed = findRecords<NodePlaced>(history);
         const HistoryRecord record = *pickRandom(placed, random);
         addEvent(history, millisecondsOf(&record) - 500, record.process,
                  NodeMember{std::get<NodePlaced>(record.event).member, 1, "dead", "ready", "booking"});
     }},
    {"work for a member that changed several times, the first time too long ago", Invariant::NoDanglingRoute,
     [](History &history, Random &) {
         changeMemberBeforeLastPlacement(history, {130, 20, 20});
     }},
    {"routing by a version long replaced", Invariant::NoDanglingRoute,
     [](History &history, Random &) {
         auto placed =
             findRecords<NodePlaced>(history, [](const NodePlaced &event) { return event.version == 3; });
         eventOf<NodePlaced>(placed.back()).version = 2;
     }},
    {"a call routed by two versions", Invariant::NoDanglingRoute,
     [](History &history, Random &) {
         auto placed =
             findRecords<NodePlaced>(history, [](const NodePlaced &event) { return event.version == 3; });
         const HistoryRecord record = *placed.back();
         NodePlaced again = std::get<NodePlaced>(record.event);
         again.version = 2;
         addEvent(history, millisecondsOf(&record) + 20, record.process, again);
     }},
    {"a bad version applied", Invariant::WholeVersions,
     [](History &history, Random &random) {
         auto offers =
             findRecords<NodeOffered>(history, [](const NodeOffered &offer) { return offer.valid; });
         eventOf<NodeOffered>(pickRandom(offers, random)).valid = false;
     }},
    {"a version applied unchecked", Invariant::WholeVersions,
     [](History &history, Random &random) {
         auto offers =
             findRecords<NodeOffered>(history, [](const NodeOffered &offer) { return offer.valid; });
         eraseRecord(history, pickRandom(offers, random));
     }},
    {"a version applied in part", Invariant::WholeVersions,
     [](History &history, Random &random) {
         auto swaps = findRecords<NodeSwapped>(history);
         auto &swap = eventOf<NodeSwapped>(pickRandom(swaps, random));
         swap.clusters.pop_back();
         swap.routeClusters.pop_back();
     }},
    {"a version that nobody accepted", Invariant::WholeVersions,
     [](History &history, Random &random) {
         auto accepted = findRecords<PublishAccepted>(history);
         eraseRecord(history, pickRandom(accepted, random));
     }},
    {"an answer never given", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         eraseRecord(history, pickDoneResponse(history, random, false));
     }},
    {"an answer given twice", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         const HistoryRecord answer = *pickDoneResponse(history, random, false);
         addEvent(history, millisecondsOf(&answer) + 5, "load", answer.event);
     }},
    {"two answers exchanged", Invariant::OwnWholeAnswer,
     [](History &history, Random &) {
         auto answers = findRecords<CallerAnswered>(history, [](const CallerAnswered &answer) {
             return answer.outcome == "done" && !answer.replayed;
         });
         std::swap(eventOf<CallerAnswered>(answers.front()).body,
                   eventOf<CallerAnswered>(answers.back()).body);
     }},
    {"an answer cut short", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         eventOf<CallerAnswered>(pickDoneResponse(history, random, false)).body = historyDigest("answer");
     }},
    {"a replayed answer of another key", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         eventOf<CallerAnswered>(pickDoneResponse(history, random, true)).body = historyDigest("other");
     }},
    {"an answer without an outcome", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         eventOf<CallerAnswered>(pickDoneResponse(history, random, false)).outcome = "";
     }},
    {"a request changed on its way", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         auto began = findRecords<UpstreamBegan>(history);
         eventOf<UpstreamBegan>(pickRandom(began, random)).body = historyDigest("other");
     }},
    {"a call lost without a fault of its node", Invariant::OwnWholeAnswer,
     [](History &history, Random &) {
         auto faults = findRecords<FaultBegan>(history);
         eventOf<FaultBegan>(faults.front()).target = "c1";
     }},
    {"a call that a leaving node took and lost", Invariant::OwnWholeAnswer,
     [](History &history, Random &) {
         eventOf<FaultBegan>(findRecords<FaultBegan>(history).front()).fault = "leaving";
     }},
    {"a refused call that had run", Invariant::NotRunNeverRan,
     [](History &history, Random &random) {
         eventOf<CallerAnswered>(pickDoneResponse(history, random, false)).outcome = "not-run";
     }},
    {"a refused call that runs later", Invariant::NotRunNeverRan,
     [](History &history, Random &random) {
         auto refused = findRecords<CallerAnswered>(
             history, [](const CallerAnswered &answer) { return answer.outcome == "not-run"; });
         const HistoryRecord record = *pickRandom(refused, random);
         addEvent(history, millisecondsOf(&record) + 700, "u-b1",
                  UpstreamBegan{std::get<CallerAnswered>(record.event).call, "later", "", ""});
     }},
    {"a refused attempt that runs later", Invariant::NotRunNeverRan,
     [](History &history, Random &random) {
         auto refused = findRecords<GateRefused>(history);
         const HistoryRecord record = *pickRandom(refused, random);
         const auto &event = std::get<GateRefused>(record.event);
         addEvent(history, millisecondsOf(&record) + 700, "u-b1",
                  UpstreamBegan{event.call, event.attempt, "", ""});
     }},
    {"an attempt said not to have run", Invariant::NotRunNeverRan,
     [](History &history, Random &random) {
         auto finished = findRecords<GateFinished>(history);
         eventOf<GateFinished>(pickRandom(finished, random)).outcome = "not-run";
     }},
    {"a key that runs twice", Invariant::AtMostOnce,
     [](History &history, Random &random) {
         const HistoryRecord record = *pickNonIdempotentStart(history, random, true);
         addExecution(history, std::get<UpstreamBegan>(record.event), "x.2", millisecondsOf(&record) + 300);
     }},
    {"a key that runs twice for two calls", Invariant::AtMostOnce,
     [](History &history, Random &random) {
         const HistoryRecord record = *pickNonIdempotentStart(history, random, true);
         UpstreamBegan again = std::get<UpstreamBegan>(record.event);
         again.call += "again";
         addExecution(history, again, again.call + ".1", millisecondsOf(&record) + 300);
     }},
    {"a keyless call that runs twice", Invariant::AtMostOnce,
     [](History &history, Random &random) {
         const HistoryRecord record = *pickNonIdempotentStart(history, random, false);
         addExecution(history, std::get<UpstreamBegan>(record.event), "x.2", millisecondsOf(&record) + 300);
     }},
    {"an attempt that runs twice", Invariant::AtMostOnce,
     [](History &history, Random &random) {
         auto began = findRecords<UpstreamBegan>(history);
         const HistoryRecord record = *pickRandom(began, random);
         const auto &event = std::get<UpstreamBegan>(record.event);
         addExecution(history, event, event.attempt, millisecondsOf(&record) + 300);
     }},
    {"an upstream given work after it left", Invariant::LeavingGetsNoWork,
     [](History &history, Random &) {
         addEvent(history, 22'000 + 3'200, "u-c1", UpstreamBegan{"call1", "x.2", "", ""});
     }},
    {"a gate that starts work for an upstream that left", Invariant::LeavingGetsNoWork,
     [](History &history, Random &) {
         addEvent(history, 25'300, "c1", GateStarted{"call1", "x.2"});
     }},
    {"a drain with no load after it", Invariant::LeavingGetsNoWork,
     [](History &history, Random &) {
         auto late =
             findRecords<CallerSent>(history, [](const CallerSent &sent) { return sent.call == "late"; });
         late.front()->time = 24'000 * millisecond;
     }},
    {"a call that the leaving upstream cancels", Invariant::ShutdownCutsNothing,
     [](History &history, Random &) {
         auto ended = findRecords<UpstreamEnded>(
             history, [](const UpstreamEnded &event) { return event.call == "inflight"; });
         eventOf<UpstreamEnded>(ended.front()).cancelled = true;
         auto answer = findRecords<CallerAnswered>(
             history, [](const CallerAnswered &event) { return event.call == "inflight"; });
         eventOf<CallerAnswered>(answer.front()).outcome = "unknown";
     }},
    {"a call that the leaving upstream cancels before its deadline", Invariant::ShutdownCutsNothing,
     [](History &history, Random &) {
         auto sent = findRecords<CallerSent>(
             history, [](const CallerSent &event) { return event.call == "inflight"; });
         eventOf<CallerSent>(sent.front()).deadlineMilliseconds = 60;
         auto answer = findRecords<CallerAnswered>(
             history, [](const CallerAnswered &event) { return event.call == "inflight"; });
         eventOf<CallerAnswered>(answer.front()).outcome = "unknown";
     }},
    {"a call that the leaving upstream forgets", Invariant::ShutdownCutsNothing,
     [](History &history, Random &) {
         auto ended = findRecords<UpstreamEnded>(
             history, [](const UpstreamEnded &event) { return event.call == "inflight"; });
         eraseRecord(history, ended.front());
     }},
    {"an upstream that crashes while it leaves", Invariant::ShutdownCutsNothing,
     [](History &history, Random &) {
         auto exits = findRecords<ProcessExited>(
             history, [](const ProcessExited &event) { return event.target == "u-c1"; });
         eventOf<ProcessExited>(exits.front()).status = -11;
     }},
    {"a node that misses an accepted version", Invariant::AcceptedInForce,
     [](History &history, Random &random) { eraseRecord(history, pickLastVersionSwap(history, random)); }},
    {"a node that takes an accepted version late", Invariant::AcceptedInForce,
     [](History &history, Random &random) {
         pickLastVersionSwap(history, random)->time += 9'000 * millisecond;
     }},
    {"a node that reverts an accepted version", Invariant::AcceptedInForce,
     [](History &history, Random &) {
         addEvent(history, 30'000, "a1", NodeSwapped{2, 3, "sj", "d2", {"booking"}, {}});
     }},
    {"a version accepted for two operators", Invariant::AcceptedInForce,
     [](History &history, Random &) {
         addEvent(history, 8'010, "operator", PublishAccepted{2, "q2"});
     }},
    {"a publish both accepted and refused", Invariant::AcceptedInForce,
     [](History &history, Random &) {
         addEvent(history, 8'010, "operator", PublishRefused{2, "p2", "q2"});
     }},
};

const Invariant invariants[] = {
    Invariant::VersionNeverBack,  Invariant::NoDanglingRoute,     Invariant::WholeVersions,
    Invariant::OwnWholeAnswer,    Invariant::NotRunNeverRan,      Invariant::AtMostOnce,
    Invariant::LeavingGetsNoWork, Invariant::ShutdownCutsNothing, Invariant::NamedLimitKept,
    Invariant::AcceptedInForce,
};

// Changes that do not violate the invariant.
const HistoryChange allowedChanges[] = {
    {"as many calls as the limit allows", Invariant::NamedLimitKept,
     [](History &history, Random &) { beginCalls(history, 124, 31'000, 34'900); }},
    {"calls while a limit settles", Invariant::NamedLimitKept,
     [](History &history, Random &) { beginCalls(history, 500, limitTime, limitTime + 2'900); }},
    {"calls after the limit has ended", Invariant::NamedLimitKept,
     [](History &history, Random &) {
         addEvent(history, 31'000, "u-b1", UpstreamLimited{0});
         beginCalls(history, 500, 31'010, 33'000);
     }},
    {"a call that the platform's outage leaves unknown", Invariant::OwnWholeAnswer,
     [](History &history, Random &random) {
         eventOf<CallerAnswered>(pickDoneResponse(history, random, false)).outcome = "unknown";
     }},
    {"a connection that a leaving node refused", Invariant::OwnWholeAnswer,
     [](History &history, Random &) {
         eventOf<FaultBegan>(findRecords<FaultBegan>(history).front()).fault = "leaving";
         eventOf<CallerLost>(findRecords<CallerLost>(history).front()).sent = false;
     }},
    {"a second attempt by the version that its call was routed by", Invariant::NoDanglingRoute,
     [](History &history, Random &) {
         auto placed =
             findRecords<NodePlaced>(history, [](const NodePlaced &event) { return event.version == 1; });
         const HistoryRecord record = *placed.front();
         addEvent(history, 9'900, record.process, record.event);
     }},
    {"a member that died a moment ago", Invariant::NoDanglingRoute,
     [](History &history, Random &) {
         auto placed = findRecords<NodePlaced>(history);
         const HistoryRecord record = *placed.back();
         addEvent(history, millisecondsOf(&record) - 20, record.process,
                  NodeMember{std::get<NodePlaced>(record.event).member, 1, "dead", "ready", "booking"});
     }},
    // The member becomes alive without an upstream, suspect and alive again within 6 ms. A thread that read
    // the snapshot before the first change may use it as long as after a single change.
    {"a member that changed several times a moment ago", Invariant::NoDanglingRoute,
     [](History &history, Random &) {
         changeMemberBeforeLastPlacement(history, {26, 20, 20});
     }},
    {"a version held up by the platform's outage", Invariant::AcceptedInForce,
     [](History &history, Random &) {
         addEvent(history, 12'001, "driver", FaultBegan{"down", "platform"});
         addEvent(history, 20'000, "driver", FaultEnded{"down", "platform"});
         auto swaps = findRecords<NodeSwapped>(
             history, [](const NodeSwapped &swap) { return swap.version == 3 && swap.previous == 2; });
         swaps.front()->time += 9'000 * millisecond;
     }},
    {"a call in flight at the drain that its deadline ends", Invariant::ShutdownCutsNothing,
     [](History &history, Random &) {
         auto sent = findRecords<CallerSent>(
             history, [](const CallerSent &event) { return event.call == "inflight"; });
         eventOf<CallerSent>(sent.front()).deadlineMilliseconds = 30;
         auto answer = findRecords<CallerAnswered>(
             history, [](const CallerAnswered &event) { return event.call == "inflight"; });
         eventOf<CallerAnswered>(answer.front()).outcome = "unknown";
     }},
    {"an idempotent call that runs again", Invariant::AtMostOnce,
     [](History &history, Random &) {
         addEvent(history, 30'010, "u-b1", UpstreamBegan{"late", "late.2", "", ""});
     }},
};

CheckResult checkChangedHistory(const HistoryChange &change, std::uint64_t seed)
{
    History history = makeValidHistory(seed);
    Random random(seed);
    change.apply(history, random);
    sortHistory(history);
    return checkInvariant(change.invariant, history, CheckLimits{});
}

} // namespace

TABLE_TEST(checkers, validHistoriesPass, invariants)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const History history = makeValidHistory(seed);
        const CheckResult result = checkInvariant(row, history, CheckLimits{});
        cr_assert(result.holds(), "seed %zu: %zu judged, %s", std::size_t(seed), result.eventsChecked,
                  result.violations.empty() ? "" : result.violations.front().text.c_str());
    }
}

TABLE_TEST(checkers, violationsAreDetected, violatingChanges)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const CheckResult result = checkChangedHistory(row, seed);
        cr_assert(!result.holds(), "%s, seed %zu", row.name, std::size_t(seed));
        for (const Violation &violation : result.violations)
            cr_assert(!violation.evidence.empty(), "%s", row.name);
    }
}

TABLE_TEST(checkers, allowedChangesPass, allowedChanges)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const CheckResult result = checkChangedHistory(row, seed);
        cr_assert(result.holds(), "%s, seed %zu: %s", row.name, std::size_t(seed),
                  result.violations.empty() ? "vacuous" : result.violations.front().text.c_str());
    }
}

TABLE_TEST(checkers, emptyHistoriesFail, invariants)
{
    const CheckResult result = checkInvariant(row, History{}, CheckLimits{});
    cr_assert(result.vacuous());
    cr_assert(!result.holds());
}

Test(checkers, callsAreCounted)
{
    const CallTotals totals = countCalls(makeValidHistory(1));
    cr_assert(totals.sent == 53, "%zu", totals.sent);
    cr_assert(totals.keyed == 20, "%zu", totals.keyed);
    cr_assert(totals.done == 42, "%zu", totals.done);
    cr_assert(totals.replayed == 10, "%zu", totals.replayed);
    cr_assert(totals.notRun == 10, "%zu", totals.notRun);
    cr_assert(totals.lost == 1, "%zu", totals.lost);
    cr_assert(totals.drains == 1, "%zu", totals.drains);
    cr_assert(totals.inFlightAtDrain >= 1, "%zu", totals.inFlightAtDrain);
    cr_assert(totals.versionsAccepted == 3, "%zu", totals.versionsAccepted);
}
