// Applies the settings that may change while the node runs.
#include "SettingsReload.h"

#include <algorithm>

namespace Sagecrank {

namespace {

// Time reserved between the maximum drain time and the kill of the process: a sixth of the time until the
// kill, but at least enough for the final responses and for the process to exit.
constexpr int shutdownDivisor = 6;
constexpr Duration minimumShutdownTime = finalResponseTime + Milliseconds(100);

} // namespace

NodeDrainSettings drainSettings(const NodeSettings &settings)
{
    NodeDrainSettings drain{settings.drain.linger, settings.drain.maximum};
    const Duration killAfter = settings.drain.killAfter;
    if (killAfter > Duration::zero())
        drain.maximum =
            std::min(drain.maximum, killAfter - std::max(killAfter / shutdownDivisor, minimumShutdownTime));
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
