// One checker for each promise that must always hold. A checker is a pure function over a merged history; it
// gives the violations it found with the events that show each, and how many events it judged. One that
// judged none proves nothing and counts as failed.
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
    VersionNeverBack,    // No node moves back to an older version than one it has held.
    NoDanglingRoute,     // No route points at a cluster or upstream that the node does not have.
    WholeVersions,       // A node holds all of a version or none of it; a bad one is never applied.
    OwnWholeAnswer,      // Each caller gets the whole answer to its own request.
    NotRunNeverRan,      // What was refused as "not run" did not run and does not run later.
    AtMostOnce,          // Non-idempotent work runs at most once.
    LeavingGetsNoWork,   // A leaving upstream receives no new work after a few seconds.
    ShutdownCutsNothing, // A graceful shutdown cuts no request in flight.
    AcceptedInForce,     // An accepted version is in force on every node in time and never reverts.
};

inline constexpr EnumNames<Invariant, 9> invariantNames{{
    {Invariant::VersionNeverBack, "version-never-back"},
    {Invariant::NoDanglingRoute, "no-dangling-route"},
    {Invariant::WholeVersions, "whole-versions"},
    {Invariant::OwnWholeAnswer, "own-whole-answer"},
    {Invariant::NotRunNeverRan, "not-run-never-ran"},
    {Invariant::AtMostOnce, "at-most-once"},
    {Invariant::LeavingGetsNoWork, "leaving-gets-no-work"},
    {Invariant::ShutdownCutsNothing, "shutdown-cuts-nothing"},
    {Invariant::AcceptedInForce, "accepted-in-force"},
}};

struct CheckLimits
{
    // After it has said that it leaves, an upstream may still be given work for this long: the news has to
    // travel, and the promise says "a few seconds".
    std::chrono::nanoseconds drain = std::chrono::seconds(3);
    // From acceptance until a version must be in force on every node that is up and reachable.
    std::chrono::nanoseconds convergence = std::chrono::seconds(7);
    // A request thread may still act on the picture that another thread has just replaced.
    std::chrono::nanoseconds staleRead = std::chrono::milliseconds(100);
};

struct Violation
{
    std::string text;
    std::vector<const HistoryRecord *> evidence; // Into the checked history, in order of time.
};

struct CheckResult
{
    Invariant invariant = Invariant::VersionNeverBack;
    std::size_t eventsChecked = 0;
    std::vector<Violation> violations;
    std::string note; // Figures to show beside the verdict; may be empty.

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
CheckResult checkAcceptedInForce(const History &history, const CheckLimits &limits);

// Runs the checker of one invariant.
CheckResult checkInvariant(Invariant invariant, const History &history, const CheckLimits &limits);

// What the callers saw; goes beside the verdicts, since a run in which nothing was done proves little.
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
    std::size_t inFlightAtDrain = 0; // Calls that ran on an upstream when it began to leave.
    std::size_t versionsAccepted = 0;
};

CallTotals countCalls(const History &history);

} // namespace Sagecrank
