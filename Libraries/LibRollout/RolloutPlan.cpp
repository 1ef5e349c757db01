// The conditions under which a roll-out goes on.
#include <LibRollout/RolloutPlan.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// Calls that the target must have answered before it gets the load of a whole upstream. A version that fails
// every second call shows by then.
constexpr std::uint32_t callsBeforeLoading = 40;

// A service with few calls goes on to the higher share after this part of the duration.
constexpr int probingParts = 6;

// How long the target is loaded: until it has answered this many calls, and for at least a part of the
// duration.
constexpr std::uint32_t callsAtLoad = 300;
constexpr int loadingParts = 6;

// Calls that the target must have answered before it takes all.
constexpr std::uint32_t callsBeforeMove = 40;

// A score above this share of the threshold holds a roll-out at its stage.
constexpr double doubtfulShare = 0.3;

// Time for a stage to reach all nodes by gossip, on the way to and from the end of the move.
constexpr Duration spreadTime = Milliseconds(1000);

// The longest time that the upstreams of the established version get to finish their calls.
constexpr Duration longestFinish = Milliseconds(6000);

// The target must offer nearly the slots of the established version before it takes all calls.
constexpr double requiredCapacity = 0.8;

// The move needs time to reach all nodes, for the longest call to end, and for the end of the calls to reach
// the judge.
Duration moveTime(const RolloutRecord &record, const RolloutAssessment &assessment)
{
    const Duration needed = 3 * spreadTime + assessment.longestRun;
    return std::min(needed, record.order.duration / 2);
}

bool hasCapacity(const RolloutUpstreams &upstreams)
{
    return upstreams.targetAvailable > 0
           && static_cast<double>(upstreams.targetSlots)
                  >= requiredCapacity * static_cast<double>(upstreams.establishedSlots);
}

std::optional<RolloutStep> afterMove(Instant now, const RolloutRecord &record,
                                     const RolloutUpstreams &upstreams)
{
    if (upstreams.targetAvailable == 0 && upstreams.establishedBusy > 0)
        return RolloutStep{RolloutStage::RollingBack, "target_lost"};
    const Duration elapsed = now - record.stageSince;
    if (upstreams.establishedBusy == 0 && elapsed >= spreadTime)
        return RolloutStep{RolloutStage::Completed, "moved"};
    if (elapsed >= longestFinish)
        return RolloutStep{RolloutStage::Completed, "finish_timed_out"};
    return std::nullopt;
}

} // namespace

std::optional<RolloutStep> nextStep(Instant now, const RolloutRecord &record,
                                    const RolloutAssessment &assessment, const RolloutUpstreams &upstreams)
{
    if (isRecordedEnd(record.stage))
        return std::nullopt;
    if (record.stage == RolloutStage::RollingBack)
        return RolloutStep{RolloutStage::RolledBack, "target_unused"};
    if (assessment.isBad())
        return RolloutStep{RolloutStage::RollingBack, "target_bad"};
    if (record.stage == RolloutStage::Moving)
        return afterMove(now, record, upstreams);
    if (now >= record.deadline)
        return RolloutStep{RolloutStage::RollingBack, "not_judged_in_time"};
    if (assessment.score >= doubtfulShare * assessment.threshold && assessment.threshold > 0)
        return std::nullopt;
    const bool probedForLong =
        assessment.targetSources > 0 && now - record.stageSince >= record.order.duration / probingParts;
    const bool probed = probedForLong || assessment.targetCalls >= callsBeforeLoading;
    if (record.stage == RolloutStage::Probing && probed)
        return RolloutStep{RolloutStage::Loading, "probes_answered"};
    const bool loaded = assessment.targetCalls >= callsAtLoad
                        && now - record.stageSince >= record.order.duration / loadingParts;
    if (record.stage == RolloutStage::Loading && loaded)
        return RolloutStep{RolloutStage::Watching, "load_borne"};
    if (record.stage != RolloutStage::Probing && assessment.targetCalls >= callsBeforeMove
        && now >= record.deadline - moveTime(record, assessment) && hasCapacity(upstreams))
        return RolloutStep{RolloutStage::Moving, "target_good"};
    return std::nullopt;
}

} // namespace Sagecrank
