// Takes over what may change while the node runs.
#include "SettingsReload.h"

#include <algorithm>

namespace Sagecrank {

namespace {

// Kept of the time before the process is killed: a sixth, and at least the last answers and the process's
// end.
constexpr int partsOfTime = 6;
constexpr Duration shortestEnd = finalResponseTime + Milliseconds(100);

} // namespace

NodeDrainSettings drainSettings(const NodeSettings &settings)
{
    NodeDrainSettings drain{settings.drain.linger, settings.drain.maximum};
    const Duration killAfter = settings.drain.killAfter;
    if (killAfter > Duration::zero())
        drain.maximum = std::min(drain.maximum, killAfter - std::max(killAfter / partsOfTime, shortestEnd));
    return drain;
}

SettingsReload::SettingsReload(NodeSettings running, SettingsReloadHooks hooks, EventLog &log)
    : running(std::move(running))
    , hooks(std::move(hooks))
    , log(log)
{
}

void SettingsReload::reload()
{
    const Result<NodeSettings> read = this->hooks.read();
    if (!read)
        return this->log.write(EventId::SettingsRejected,
                               {{"file", read.error().peer}, {"problem", read.error().message}});
    const NodeSettings &next = read.assume_value();
    std::string applied;
    if (this->running.logLevel != next.logLevel) {
        this->running.logLevel = next.logLevel;
        this->hooks.setLogLevel(logLevelNames.value(next.logLevel).value_or(LogLevel::Info));
        applied += "log ";
    }
    if (this->running.drain != next.drain) {
        this->running.drain = next.drain;
        this->hooks.setDrain(drainSettings(next));
        applied += "drain ";
    }
    if (!applied.empty())
        applied.pop_back();
    this->log.write(EventId::SettingsReloaded,
                    {{"applied", applied}, {"rest_at_next_start", this->running == next ? "false" : "true"}});
}

} // namespace Sagecrank
