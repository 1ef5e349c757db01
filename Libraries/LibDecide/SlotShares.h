// Shares the slots of one upstream between call classes: tracks the recent slot time of each class and its
// guaranteed share.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Time.h>

#include <array>

namespace Sagecrank {

// Precedence of the classes when each has its guaranteed share.
inline constexpr std::array<CallClass, 3> classPriorityOrder{CallClass::Interactive, CallClass::NonIdempotent,
                                                             CallClass::Batch};

class SlotShares
{
public:
    // Commands.

    // Adds slot time to the class. The expected run time is charged at the start, since a class could
    // otherwise start many calls before the first one is counted. The difference to the actual time, which
    // may be negative, is charged at the end.
    void charge(Instant now, CallClass callClass, Duration slotTime);

    // Queries.

    // Whether the class recently used less than its guaranteed share.
    bool isBelowGuarantee(CallClass callClass) const;
    // The share of the slots that the class is guaranteed.
    static double guaranteedShare(CallClass callClass);
    // The share of the slots that classes of higher precedence have recently left to this one.
    double remainingShare(Instant now, CallClass callClass, double slots) const;
    // The mean number of slots that all classes have recently used.
    double slotsInUse(Instant now) const;

private:
    double decayFactor(Instant now) const;

    std::array<double, 3> used{}; // Decayed slot time by class in seconds. Invariant: none is negative.
    Instant decayedAt;
};

} // namespace Sagecrank
