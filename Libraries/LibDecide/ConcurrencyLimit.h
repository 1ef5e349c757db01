// Adaptive concurrency limit of one upstream. The announced slots are the upper bound; the actual limit is
// learned from the upstream's answers, since the announced number can be wrong.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Sagecrank {

class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(std::uint32_t slots);

    // Commands.

    void setSlots(std::uint32_t slots);
    // `atLimit` says that the limit was reached while the call ran. Otherwise the success does not show that
    // the upstream can take more calls.
    void recordSuccess(bool atLimit);
    // The upstream rejected a call as overloaded.
    void recordShed(Instant now, Duration runTime);

    // Queries.

    std::uint32_t value() const;
    std::uint32_t slots() const;

private:
    std::uint32_t announcedSlots;
    double currentLimit; // Invariant: 1 <= currentLimit <= max(1, announcedSlots).
    Instant lastDecreaseAt = Instant::min();
};

} // namespace Sagecrank
