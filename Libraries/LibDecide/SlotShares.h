// How the slots of one upstream are shared between classes of calls: what each class used lately and what it
// is owed.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Time.h>

#include <array>

namespace Sagecrank {

// The order in which classes go when none is owed anything.
inline constexpr std::array<CallClass, 3> classPriorityOrder{CallClass::Interactive, CallClass::NonIdempotent,
                                                             CallClass::Batch};

class SlotShares
{
public:
    // Commands.

    // Counts slot time for the class. It is charged at the start with what is expected, or a class could
    // start many calls before the first one counts; the difference, which may be negative, is charged at the
    // end.
    void charge(Instant now, CallClass callClass, Duration slotTime);

    // Queries.

    // Whether the class used less lately than it is owed.
    bool isBelowGuarantee(CallClass callClass) const;
    // The part of the slots that the class is owed at least.
    static double guaranteedShare(CallClass callClass);
    // The part of the slots that the classes ahead of this one have left it lately.
    double remainingShare(Instant now, CallClass callClass, double slots) const;

private:
    double fading(Instant now) const;

    std::array<double, 3>
        used{}; // Recent slot time by class in seconds, fading. Invariant: none is negative.
    Instant fadedAt;
};

} // namespace Sagecrank
