// Reads the settings again when the process is told that they changed. The log level and the times of a drain
// hold from then on; addresses, names and what open connections were made with cannot change under them and
// hold from the next start. A file that does not check changes nothing.
#pragma once

#include <Node/NodeDrain.h>
#include <Node/NodeSettings.h>

#include <LibObserve/EventLog.h>

#include <functional>

namespace Sagecrank {

struct SettingsReloadHooks
{
    std::function<Result<NodeSettings>()> read;
    std::function<void(LogLevel)> setLogLevel;
    std::function<void(const NodeDrainSettings &)> setDrain;
};

class SettingsReload
{
public:
    SettingsReload(NodeSettings running, SettingsReloadHooks hooks, EventLog &log);

    void reload();

private:
    NodeSettings running; // As they hold now.
    const SettingsReloadHooks hooks;
    EventLog &log;
};

NodeDrainSettings drainSettings(const NodeSettings &settings);

} // namespace Sagecrank
