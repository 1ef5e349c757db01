// Checkers for the invariants of the mesh. A checker is a pure function over a merged history. It returns the
// violations with the events that show each of them, and the number of events it checked. A check of no
// events proves nothing and counts as failed.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibHistory/History.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

enum class Invariant : std::uint8_t {
    VersionNeverBack,    // No node returns to an older version than one it has held.
    NoDanglingRoute,     // No route refers to a cluster or upstream that the node lacks.
    WholeVersions,       // A version is applied completely or not at all; an invalid one never is.
    OwnWholeAnswer,      // Each caller gets the complete response to its own request.
    NotRunNeverRan,      // Work that was refused as "not run" has not run and never will.
    AtMostOnce,          // Non-idempotent work runs at most once.
    LeavingGetsNoWork,   // A draining upstream receives no new work after a few seconds.
    ShutdownCutsNothing, // A graceful shutdown aborts no request in flight.
    NamedLimitKept,      // An upstream that names a limit on its calls gets no more than it allows.
    AcceptedInForce,     // An accepted version is in force on every node in time and never reverts.
};

inline constexpr EnumNames<Invariant, 10> invariantNames{{
    {Invariant::VersionNeverBack, "version-never-back"},
    {Invariant::NoDanglingRoute, "no-dangling-route"},
    {Invariant::WholeVersions, "whole-versions"},
    {Invariant::OwnWholeAnswer, "own-whole-answer"},
    {Invariant::NotRunNeverRan, "not-run-never-ran"},
    {Invariant::AtMostOnce, "at-most-once"},
    {Invariant::LeavingGetsNoWork, "leaving-gets-no-work"},
    {Invariant::ShutdownCutsNothing, "shutdown-cuts-nothing"},
    {Invariant::NamedLimitKept, "named-limit-kept"},
    {Invariant::AcceptedInForce, "accepted-in-force"},
}};

struct CheckLimits
{
    // How long an upstream may still receive work after it announced that it drains. The announcement takes
    // time to propagate; the invariant allows "a few seconds".
    std::chrono::nanoseconds drain = std::chrono::seconds(3);
    // Time from the naming of a limit until it must be kept, and the length of each span in which it is.
    std::chrono::nanoseconds limitSettle = std::chrono::seconds(3);
    std::chrono::nanoseconds limitSpan = std::chrono::seconds(4);
    // What an upstream may get in such a span: a multiple of what its limit allows, and some calls more.
    double limitFactor = 1.5;
    double limitExtra = 5;
    // Time from acceptance until a version must be in force on every node that is up and reachable.
    std::chrono::nanoseconds convergence = std::chrono::seconds(7);
    // How long a request thread may still use a snapshot that another thread has just replaced.
    std::chrono::nanoseconds staleRead = std::chrono::milliseconds(100);
};

struct Violation
{
    std::string text;
    std::vector<const HistoryRecord *> evidence; // Points into the checked history; ordered by time.
};

struct CheckResult
{
    Invariant invariant = Invariant::VersionNeverBack;
    std::size_t eventsChecked = 0;
    std::vector<Violation> violations;
    std::string note; // Statistics to show with the result; may be empty.

    bool vacuous() const { return this->eventsChecked == 0; }
    bool holds() const { return !this->vacuous() && this->violations.empty(); }
};

CheckResult checkVersionNeverBack(const History &history, const CheckLimits &limits);
CheckResult checkNoDanglingRoute(const History &history, const CheckLimits &limits);
CheckResult checkWholeVersions(const History &history, const CheckLimits &limits);
CheckResult checkOwnWholeAnswer(const History &history, const CheckLimits &limits);
CheckResult checkNotRunNeverRan(const History &history, const CheckLimits &limits);
CheckResult checkAtMostOnce(const History &history, const CheckLimits &limits);
CheckResult checkLeavingGetsNoWork(const History &history, const CheckLimits &limits);
CheckResult checkShutdownCutsNothing(const History &history, const CheckLimits &limits);
CheckResult checkNamedLimitKept(const History &history, const CheckLimits &limits);
CheckResult checkAcceptedInForce(const History &history, const CheckLimits &limits);

// Runs the checker of one invariant.
CheckResult checkInvariant(Invariant invariant, const History &history, const CheckLimits &limits);

// Totals of what the callers saw. They are reported with the results, since a run without completed calls
// proves little.
struct CallTotals
{
    std::size_t sent = 0;
    std::size_t keyed = 0; // Sent with an idempotency key.
    std::size_t done = 0;
    std::size_t replayed = 0; // Part of done.
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t lost = 0;
    std::size_t drains = 0;
    std::size_t inFlightAtDrain = 0; // Calls that were running on an upstream when it began to drain.
    std::size_t versionsAccepted = 0;
};

CallTotals countCalls(const History &history);

} // namespace Sagecrank
