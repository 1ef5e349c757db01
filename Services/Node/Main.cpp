// sagecrank-node: the one small process beside each upstream host.
#include "Node.h"

#include <LibCommandLine/CommandLine.h>

#include <platform/Adapter.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;

constexpr int exitBadSettings = 3;
constexpr int exitCannotStart = 4;

constexpr const char *usage = R"(Usage: sagecrank-node --settings FILE [--check]

Takes callers' requests, places and forwards them, gates the upstream beside it, and keeps routes and members
current. Ends by itself after SIGTERM once it has drained; a second SIGTERM ends it at once. SIGHUP reads the
settings again.

Exit codes: 0 ended as asked, 2 wrong usage, 3 settings do not check, 4 cannot start (a port is taken).
)";

int runNode(const Sagecrank::NodeSettings &settings, const std::string &file)
{
    const bool rows = settings.platform.kind == Sagecrank::PlatformKind::Rows;
    Sagecrank::Node node(settings, rows ? Sagecrank::Platform::makeRowsAdapter : Sagecrank::makeTableAdapter,
                         [file] { return Sagecrank::readNodeSettings(file); });
    const auto started = node.start();
    if (!started) {
        std::cerr << started.error().describe() << "\n";
        Sagecrank::EventLog("sagecrank-node", {})
            .write(Sagecrank::EventId::ListenFailed, {{"peer", started.error().peer}});
        return exitCannotStart;
    }
    node.run();
    // Failure: an end that waits on the log library's threads and on every open connection. Symptom: the
    // process is killed at the end of its grace time, and its host starts the next one that much later.
    // Nothing is left to be saved here: what lasts lives in the platform, and every line was written when it
    // arose.
    std::fflush(nullptr);
    std::_Exit(Sagecrank::exitSuccess);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    Sagecrank::CommandLine line;
    line.usage = usage;
    auto add = line.options.add_options();
    add("settings,s", options::value<std::string>()->required(), "settings file (TOML)");
    add("check", "only check the settings");
    options::variables_map values;
    if (const auto exitCode = Sagecrank::readCommandLine(line, argumentCount, arguments, values))
        return *exitCode;

    const auto file = values["settings"].as<std::string>();
    const auto settings = Sagecrank::readNodeSettings(file);
    if (!settings) {
        std::cerr << settings.error().describe() << "\n";
        Sagecrank::EventLog("sagecrank-node", {})
            .write(Sagecrank::EventId::SettingsInvalid, {{"file", settings.error().peer}});
        return exitBadSettings;
    }
    if (values.count("check") > 0) {
        std::cout << "settings check\n";
        return Sagecrank::exitSuccess;
    }
    return runNode(settings.value(), file);
}
