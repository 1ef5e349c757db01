// Writes the log events of roll-outs.
#pragma once

#include <LibObserve/EventLog.h>
#include <LibRollout/RolloutPlan.h>

#include <string>
#include <string_view>

namespace Sagecrank {

class RolloutLog
{
public:
    explicit RolloutLog(EventLog &log)
        : log(log)
    {
    }

    void ordered(const RolloutRecord &record);
    void orderRefused(const Error &error);
    void stageChanged(const RolloutRecord &record);
    // This node decided on a step, with the figures that it was based on.
    void decided(const RolloutRecord &record, const RolloutStep &step, const RolloutAssessment &assessment,
                 const RolloutUpstreams &upstreams);
    void recorded(const RolloutOrder &order, RolloutStage stage);
    void recordFailed(const RolloutOrder &order, RolloutStage stage, const Error &error);
    void messageRefused(const Error &error);

private:
    EventLog &log;
};

} // namespace Sagecrank
