// Interface to the store that keeps the operator's orders and records how they ended. The functions are
// asynchronous and call back on the thread that called them.
#pragma once

#include <LibRollout/Rollout.h>

#include <functional>
#include <optional>

namespace Sagecrank {

struct RolloutOrderChange
{
    std::string cluster;
    std::optional<RolloutOrder> order; // Empty if the order was removed.
};

// An order that cannot be read is an error; the service stays with its established version.
using RolloutOrderListener = std::function<void(const Result<RolloutOrderChange> &)>;
using RolloutStageCallback = std::function<void(const Result<RolloutStage> &)>;

struct RolloutPort
{
    // The listener is called for each order that is read. Orders are repeated.
    std::function<void(RolloutOrderListener)> setOrderListener;
    // Records that the roll-out of this order runs (any stage that is no end) or how it ended. Returns the
    // stage that is recorded: the given one, or the end that was recorded before. Conflict: the order no
    // longer stands, or another node wrote at the same time. Nothing else is changed.
    std::function<void(const RolloutOrder &, RolloutStage, RolloutStageCallback)> record;
};

} // namespace Sagecrank
