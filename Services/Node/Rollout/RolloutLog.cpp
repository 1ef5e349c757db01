// Implements the log events of roll-outs.
#include "RolloutLog.h"

#include <cmath>

namespace Sagecrank {

void RolloutLog::ordered(const RolloutRecord &record)
{
    this->log.write(EventId::RolloutOrdered, {{"cluster", record.order.cluster},
                                              {"target", record.order.target},
                                              {"established", record.established},
                                              {"order", record.order.sequence},
                                              {"duration_ms", wholeMilliseconds(record.order.duration)}});
}

void RolloutLog::orderRefused(const Error &error)
{
    this->log.write(EventId::RolloutOrderRefused, {{"error", error.describe()}});
}

void RolloutLog::stageChanged(const RolloutRecord &record)
{
    this->log.write(EventId::RolloutStageChanged, {{"cluster", record.order.cluster},
                                                   {"target", record.order.target},
                                                   {"order", record.order.sequence},
                                                   {"stage", rolloutStageNames.name(record.stage)}});
}

void RolloutLog::decided(const RolloutRecord &record, const RolloutStep &step,
                         const RolloutAssessment &assessment, const RolloutUpstreams &upstreams)
{
    this->log.write(EventId::RolloutDecided, {{"cluster", record.order.cluster},
                                              {"target", record.order.target},
                                              {"order", record.order.sequence},
                                              {"stage", rolloutStageNames.name(step.stage)},
                                              {"reason", step.reason},
                                              {"score_percent", std::llround(100 * assessment.score)},
                                              {"threshold_percent", std::llround(100 * assessment.threshold)},
                                              {"target_calls", assessment.targetCalls},
                                              {"target_failures", assessment.targetFailures},
                                              {"established_calls", assessment.establishedCalls},
                                              {"established_failures", assessment.establishedFailures},
                                              {"target_upstreams", upstreams.targetAvailable},
                                              {"established_busy", upstreams.establishedBusy}});
}

void RolloutLog::recorded(const RolloutOrder &order, RolloutStage stage)
{
    this->log.write(EventId::RolloutRecorded, {{"cluster", order.cluster},
                                               {"target", order.target},
                                               {"order", order.sequence},
                                               {"stage", rolloutStageNames.name(stage)}});
}

void RolloutLog::recordFailed(const RolloutOrder &order, RolloutStage stage, const Error &error)
{
    this->log.write(EventId::RolloutUnrecorded, {{"cluster", order.cluster},
                                                 {"order", order.sequence},
                                                 {"stage", rolloutStageNames.name(stage)},
                                                 {"error", error.describe()}});
}

void RolloutLog::messageRefused(const Error &error)
{
    this->log.write(EventId::RolloutMessageRefused, {{"error", error.describe()}});
}

} // namespace Sagecrank
