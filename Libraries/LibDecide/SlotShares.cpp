// Slot time by class, fading exponentially.
#include <LibDecide/SlotShares.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace Sagecrank {

namespace {

// Load: sustained demand above what the slots bear, in which the class that goes first could take every slot.
// Harm: an invoice or reservation waits until its deadline, is refused, and so never lands. While calls of
// the class wait, the class is owed this share of recent slot time, ahead of the class order. About a third
// keeps invoices moving and costs interactive calls at most that when both are in excess. Batch is owed so
// little that the others do not feel it, yet a night job ends at last.
constexpr std::array<double, 3> owedShares{0.0, 0.35, 0.02};

// No class is reckoned to get less of the slots than this.
constexpr double leastPart = 0.02;

// Slot time counts for about this long, in seconds: long against one call. Were it longer, a class that used
// idle slots would be held back for as long afterwards, and its queue would run out of time.
constexpr double window = 0.2;

std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

} // namespace

void SlotShares::charge(Instant now, CallClass callClass, Duration slotTime)
{
    const double kept = this->fading(now);
    this->fadedAt = now;
    for (double &seconds : this->used)
        seconds *= kept;
    double &seconds = this->used[indexOf(callClass)];
    seconds = std::max(0.0, seconds + std::chrono::duration<double>(slotTime).count());
}

bool SlotShares::isBelowGuarantee(CallClass callClass) const
{
    double total = 0;
    for (const double seconds : this->used)
        total += seconds;
    return this->used[indexOf(callClass)] < owedShares[indexOf(callClass)] * total;
}

double SlotShares::guaranteedShare(CallClass callClass)
{
    return std::max(leastPart, owedShares[indexOf(callClass)]);
}

double SlotShares::remainingShare(Instant now, CallClass callClass, double slots) const
{
    const double kept = this->fading(now);
    double left = 1;
    for (const CallClass ahead : classPriorityOrder) {
        if (ahead >= callClass)
            break;
        left -= kept * this->used[indexOf(ahead)] / (slots * window);
    }
    return std::max(leastPart, left);
}

double SlotShares::fading(Instant now) const
{
    return std::exp(-std::chrono::duration<double>(now - this->fadedAt).count() / window);
}

} // namespace Sagecrank
