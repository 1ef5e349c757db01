// Maps the steady clock of the platform's store to the clock of this node. Every answer of the store states
// its time, so a moment of the store means the same on every node, and no message needs a known travel time.
#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Sagecrank {

// Time since the host booted, including the time for which it was suspended (CLOCK_BOOTTIME). A steady clock
// stops while a host is suspended, so an age that it gives may be too low.
using BootTime = std::chrono::nanoseconds;

BootTime bootTimeNow();

// Time of the store's steady clock since an unknown start.
using StoreTime = std::chrono::nanoseconds;

class StoreClock
{
public:
    // Records an answer that states `time`; it was asked for at `sent` and arrived at `received`. Returns
    // false if the store's clock was set back since the last answer: earlier times of it mean nothing now.
    bool observe(BootTime sent, BootTime received, StoreTime time);

    // The earliest moment of this node's clock at which the store may have shown `time`. Nothing before the
    // first answer.
    std::optional<BootTime> earliest(StoreTime time) const;

private:
    // The store's clock plus an offset is this node's clock. Invariant: the offset lies between the two.
    std::optional<BootTime> lowestOffset;
    BootTime highestOffset{};
};

} // namespace Sagecrank
