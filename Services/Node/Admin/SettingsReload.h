// Reloads the settings file on request. The log level and the drain times apply at once. All other settings,
// such as addresses, names and connection limits, are in use and apply from the next start. An invalid file
// changes nothing.
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
    NodeSettings running; // The settings in effect, including those applied by a reload.
    const SettingsReloadHooks hooks;
    EventLog &log;
};

NodeDrainSettings drainSettings(const NodeSettings &settings);

} // namespace Sagecrank
