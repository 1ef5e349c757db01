// How many calls an upstream is given at once. Its announced slots are the upper bound; how many it bears is
// found from its answers, since the announcement can mislead.
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
    // `busy` says that the limit was reached while the call ran; otherwise it proves nothing about more
    // calls.
    void recordSuccess(bool busy);
    // The upstream said that it is overloaded.
    void recordShed(Instant now, Duration runTime);

    // Queries.

    std::uint32_t value() const;
    std::uint32_t slots() const;

private:
    std::uint32_t announced;
    double current; // Invariant: 1 <= current <= max(1, announced).
    Instant loweredAt = Instant::min();
};

} // namespace Sagecrank
