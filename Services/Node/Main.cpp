// sagecrank-node: the one small process beside each upstream host.
#include "Node.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

enum ExitCode : int {
    Success = 0,
    BadUsage = 2,
    BadSettings = 3,
    CannotStart = 4,
};

constexpr const char *usage = R"(Usage: sagecrank-node --settings FILE [--check]

Takes callers' requests, places and forwards them, gates the upstream beside it, and keeps routes and members
current. Ends by itself after SIGTERM once it has drained; a second SIGTERM ends it at once.

Exit codes: 0 ended as asked, 2 wrong usage, 3 settings do not check, 4 cannot start (a port is taken).
)";

int runNode(const Sagecrank::NodeSettings &settings)
{
    Sagecrank::Node node(settings);
    const auto started = node.start();
    if (!started) {
        std::cerr << started.error().describe() << "\n";
        return CannotStart;
    }
    node.run();
    return Success;
}

int runCommandLine(const options::variables_map &values)
{
    const auto settings = Sagecrank::readNodeSettings(values["settings"].as<std::string>());
    if (!settings) {
        std::cerr << settings.error().describe() << "\n";
        return BadSettings;
    }
    if (values.count("check") > 0) {
        std::cout << "settings check\n";
        return Success;
    }
    return runNode(settings.value());
}

} // namespace

int main(int argumentCount, char **arguments)
{
    options::options_description description("Options");
    description.add_options()("help,h",
                              "show this text")("settings,s", options::value<std::string>()->required(),
                                                "settings file (TOML)")("check", "only check the settings");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
        if (values.count("help") > 0) {
            std::cout << usage << "\n" << description;
            return Success;
        }
        options::notify(values);
        return runCommandLine(values);
    } catch (const options::error &error) {
        std::cerr << "sagecrank-node: " << error.what() << "\n\n" << usage;
        return BadUsage;
    }
}
