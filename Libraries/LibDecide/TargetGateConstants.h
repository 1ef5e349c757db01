// Constants and conversions shared by the parts of TargetGate.
#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Sagecrank::TargetGateConstants {

using namespace std::chrono_literals;

// Share of the target assumed as the run time until the first call of a kind has ended: most services set a
// target of three to four times the mean run time.
inline constexpr double initialRunTimeShareOfTarget = 0.3;
inline constexpr Duration initialRunTime = 50ms; // Assumed if there is no target.

// Weight of one observation, so that about the last 40 calls count: enough for a stable estimate, and few
// enough to follow a server that turns slow within a second.
inline constexpr double minimumWeight = 0.05;

// Mean deviations added to the mean run time of a call that would wait. At 1.05 times the capacity of the
// slots, 81% of the callers were answered in time with one deviation and 78% with the mean alone: a longer
// queue answers no more calls, and runs above the mean end late.
inline constexpr double conservativeDeviations = 1.0;

// Time constant with which offered and started calls are forgotten.
inline constexpr double countWindowSeconds = 2.0;

// A kind of which less than this share of the calls start goes first until it is back at the share. Otherwise
// sustained overload by calls of higher rank would cut the lowest kind off completely, which its users see as
// an outage instead of slow service.
inline constexpr double starvedShare = 0.15;
inline constexpr double minimumOffered = 3; // With fewer calls, the share is not meaningful.

// Slots kept free of long calls beyond those that quick calls use on average, in standard deviations of their
// number (its square root, for independent arrivals). If calls of 240 ms held every slot, calls that must be
// answered within 60 ms would wait for one of them to end and be late, although they need little slot time.
inline constexpr double reserveDeviations = 0.5;
// A call is long if its run time is this many times that of another kind; kinds closer than that can share
// the slots.
inline constexpr double longRunFactor = 4;

// Run times of its own by which a call's required start is moved back, so that quick calls go before long
// ones of the same priority that have time to spare. Without it, long calls near their target hold up many
// quick ones; with much more, long calls are always last.
inline constexpr int headStartRuns = 1;

// Upper bound of the share of the slots that calls of higher rank are assumed to use; the estimated wait
// would grow without bound otherwise.
inline constexpr double maximumShareAhead = 0.9;

// If calls that can meet their targets use this share of the slots, a late call that waits would be overtaken
// for as long as that lasts, so it is refused.
inline constexpr double noRoomForLateShare = 0.6;

// Share of the mean run time assumed to remain for a call that has exceeded it.
inline constexpr double minimumRemainingShare = 0.2;

// A late call is admitted only if this many times its expected wait fits before its deadline: it waits behind
// all calls that can meet their targets, so its wait is the least certain. With less room such calls waited
// until their deadline in vain.
inline constexpr double lateWaitFactor = 2.0;

inline constexpr std::size_t maximumKinds = 512; // About 60 KB.

inline constexpr Duration unavailableRetryAfter =
    1s; // By then the callers' nodes know that the upstream is leaving.
inline constexpr Duration maximumRetryAfter = 5s;
inline constexpr Duration minimumRetryAfter = 5ms;

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Sagecrank::TargetGateConstants
