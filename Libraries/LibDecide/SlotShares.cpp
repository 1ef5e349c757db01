// Exponentially decaying slot time of each call class.
#include <LibDecide/SlotShares.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace Sagecrank {

namespace {

// Guaranteed shares of the recent slot time, by class; a class below its share goes ahead of the precedence
// order while it has queued calls. Under sustained overload the class of highest precedence could otherwise
// take every slot, and a non-idempotent call (an invoice, a reservation) would wait until its deadline and be
// refused every time. About a third keeps these calls moving and costs interactive calls at most that much
// when both are in excess. The share of batch is too small to affect the others, but lets a nightly job
// finish.
constexpr std::array<double, 3> guaranteedShares{0.0, 0.35, 0.02};

// Lower bound of a class's share in wait estimates.
constexpr double minimumShare = 0.02;

// Time constant of the decay: long compared with one call. With a longer one, a class that had used idle
// slots would be held back for as long afterwards, and the calls in its queue would miss their deadlines.
constexpr double decaySeconds = 0.2;

std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

} // namespace

void SlotShares::charge(Instant now, CallClass callClass, Duration slotTime)
{
    const double factor = this->decayFactor(now);
    this->decayedAt = now;
    for (double &seconds : this->used)
        seconds *= factor;
    double &seconds = this->used[indexOf(callClass)];
    seconds = std::max(0.0, seconds + std::chrono::duration<double>(slotTime).count());
}

bool SlotShares::isBelowGuarantee(CallClass callClass) const
{
    double total = 0;
    for (const double seconds : this->used)
        total += seconds;
    return this->used[indexOf(callClass)] < guaranteedShares[indexOf(callClass)] * total;
}

double SlotShares::guaranteedShare(CallClass callClass)
{
    return std::max(minimumShare, guaranteedShares[indexOf(callClass)]);
}

double SlotShares::remainingShare(Instant now, CallClass callClass, double slots) const
{
    const double factor = this->decayFactor(now);
    double remaining = 1;
    for (const CallClass ahead : classPriorityOrder) {
        if (ahead >= callClass)
            break;
        remaining -= factor * this->used[indexOf(ahead)] / (slots * decaySeconds);
    }
    return std::max(minimumShare, remaining);
}

double SlotShares::slotsInUse(Instant now) const
{
    const double total = std::accumulate(this->used.begin(), this->used.end(), 0.0);
    return this->decayFactor(now) * total / decaySeconds;
}

double SlotShares::decayFactor(Instant now) const
{
    return std::exp(-std::chrono::duration<double>(now - this->decayedAt).count() / decaySeconds);
}

} // namespace Sagecrank
