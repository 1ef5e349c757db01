// Figures and conversions that TargetGate's parts share.
#pragma once

#include <LibCore/Time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Sagecrank::TargetGateFigures {

using namespace std::chrono_literals;

// A kind whose first call has not ended yet is taken to need this part of its target: most services set a
// target of three to four times the usual run.
inline constexpr double firstGuessOfTarget = 0.3;
inline constexpr Duration firstGuess = 50ms; // Where there is no target either.

// One observation moves the estimates by this share, so about the last forty calls count: enough to be calm,
// few enough to follow a server that turns slow within a second.
inline constexpr double leastWeight = 0.05;

// Load: a little more than the slots bear, so that the queue is as long as it may be. Harm of letting a call
// wait until its mean run alone fits before its target: the slots answer no more calls than with a shorter
// queue, and runs that are longer than the mean end late. So many mean deviations are added: 0.81 of the
// callers in time in place of 0.78 at 1.05 times the slots (played).
inline constexpr double likelyDeviations = 1.0;

// Offered and started calls of a kind count for about this long, in seconds.
inline constexpr double window = 2.0;

// Load: sustained overload by calls of a higher rank. Harm: the lowest kind gets nothing for as long as it
// lasts, and its users see an outage instead of a slow day. A kind of which less than this share starts goes
// first until it is back at it.
inline constexpr double starvedShare = 0.15;
inline constexpr double fewestOffered = 3; // Below it, a share says nothing.

// Load: calls of 240 ms beside others that must be answered within 60. Harm: when long ones hold every slot,
// the quick ones wait for one to end and are late, although they need little. Long ones hold the slots that
// the quick ones leave on average, less so many standard deviations of their number (which is its square
// root, for calls that come independently).
inline constexpr double spareDeviations = 0.5;
inline constexpr double longRuns = 4; // Times the other kind's run: closer ones share the slots without harm.

// Of two calls of one priority, the quick one goes first while the other has this many of its own runs more
// to spare. Without it, long calls near their target hold up many quick ones; with much more, they are always
// last.
inline constexpr int runsOfHeadStart = 1;

// The share of the slots that calls of a higher rank took lately makes everybody behind them wait longer.
// Above this the estimate would be without bound.
inline constexpr double mostShareAhead = 0.9;

// Once calls in time take this share of the slots, a late one that waits is overtaken for as long as that
// lasts.
inline constexpr double hopelessShare = 0.6;

inline constexpr double leastRemaining = 0.2; // Of the usual run, for one that has outlived it.

// A late call waits behind all that are in time, so its wait is the least certain: it needs room for twice as
// much as expected. In trials with less room such calls waited to their deadline in vain.
inline constexpr double lateMargin = 2.0;

inline constexpr std::size_t mostKinds = 512; // About 60 KB.

inline constexpr Duration absentRetryAfter =
    1s; // Until the callers' nodes have heard that the upstream leaves.
inline constexpr Duration longestRetryAfter = 5s;
inline constexpr Duration shortestRetryAfter = 5ms;

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Sagecrank::TargetGateFigures
