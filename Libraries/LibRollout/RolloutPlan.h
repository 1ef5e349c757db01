// Decides when a roll-out goes on to its next stage.
//
// Two sets of upstreams stand while a roll-out runs, so it should end soon; but until its deadline a bad
// version may get only a share of all calls. The move of all calls therefore begins as late as the deadline
// allows: if the version turns bad in the middle of it, only the calls of the last seconds have met it.
#pragma once

#include <LibRollout/Rollout.h>
#include <LibRollout/RolloutJudge.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace Sagecrank {

// The upstreams of both versions, as the membership shows them.
struct RolloutUpstreams
{
    std::size_t targetAvailable = 0;
    std::size_t targetSlots = 0;
    std::size_t establishedAvailable = 0;
    std::size_t establishedSlots = 0;
    std::size_t establishedBusy = 0; // Available, or still finishing calls.
};

struct RolloutStep
{
    RolloutStage stage = RolloutStage::Probing;
    std::string_view reason;
};

// The next stage, or nothing while the present one goes on. Completed and RolledBack are only proposed: they
// hold once they are recorded.
std::optional<RolloutStep> nextStep(Instant now, const RolloutRecord &record,
                                    const RolloutAssessment &assessment, const RolloutUpstreams &upstreams);

} // namespace Sagecrank
