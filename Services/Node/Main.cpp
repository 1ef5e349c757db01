// sagecrank-node: the proxy process beside each upstream.
#include "Node.h"

#include <LibCommandLine/CommandLine.h>

#include <platform/Adapter.h>

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;

constexpr int exitBadSettings = 3;
constexpr int exitCannotStart = 4;

// Blocks of this size or more are returned to the system when they are freed. Without a fixed threshold the
// allocator raises it to the largest block seen, and keeps the memory of a burst of large bodies.
constexpr int returnedBlockBytes = 512 * 1024;

constexpr const char *usage = R"(Usage: sagecrank-node --settings FILE [--check]

Accepts callers' requests, forwards them to upstreams, controls admission to the upstream beside it, and keeps
routes and membership up to date. SIGTERM drains the node and then ends it; a second SIGTERM ends it at once.
SIGHUP reloads the settings.

Exit codes: 0 ended normally, 2 wrong usage, 3 invalid settings, 4 cannot start (a port is in use).
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
    // Exits without running destructors: waiting for the threads of the log library and for every open
    // connection could last until the process is killed, which delays its restart. Nothing is lost, since all
    // persistent state is in the platform and every log line has been written.
    std::fflush(nullptr);
    std::_Exit(Sagecrank::exitSuccess);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
    Sagecrank::CommandLine line;
    line.usage = usage;
    auto add = line.options.add_options();
    add("settings,s", options::value<std::string>()->required(), "settings file (TOML)");
    add("check", "validate the settings and exit");
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
