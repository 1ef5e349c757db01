// sagecrank-config-bench: measures the configuration's bytes and times, and what publishes and claims cost
// the platform.
#include "Bench.h"

#include <LibCommandLine/CommandLine.h>

#include <iostream>

using namespace Sagecrank;
namespace options = boost::program_options;

namespace {

constexpr auto usage = R"(Usage: sagecrank-config-bench sizes|apply|publish|claims [options]

publish and claims need a platform to run against, such as sagecrank-platform-emulator.
Exit codes: 0 done, 2 wrong usage.
)";

} // namespace

int main(int count, char **values)
{
    BenchSettings settings;
    std::string what;
    CommandLine line;
    line.usage = usage;
    auto add = line.options.add_options();
    add("what", options::value(&what)->required(), "sizes, apply, publish or claims");
    add("services", options::value(&settings.services)->default_value(settings.services),
        "services of a site");
    add("routes", options::value(&settings.routes)->default_value(settings.routes), "routes of a service");
    add("sites", options::value(&settings.sites)->default_value(settings.sites), "sites");
    add("rounds", options::value(&settings.rounds)->default_value(settings.rounds), "repetitions");
    add("platform", options::value(&settings.platform)->default_value(settings.platform), "ip:port");
    add("rate", options::value(&settings.rate)->default_value(settings.rate), "keyed calls a second");
    add("seconds", options::value(&settings.seconds)->default_value(settings.seconds), "how long");
    add("group", options::value(&settings.group)->default_value(settings.group), "largest group of puts");
    add("alone", options::value(&settings.alone)->default_value(settings.alone),
        "requests under way up to which puts go alone");
    add("window", options::value(&settings.window)->default_value(settings.window), "ms a put waits");
    line.positional.add("what", 1);
    options::variables_map map;
    if (const auto exitCode = readCommandLine(line, count, values, map))
        return *exitCode;
    if (what == "sizes")
        measureSizes(settings);
    else if (what == "apply")
        measureApply(settings);
    else if (what == "publish")
        measurePublish(settings);
    else if (what == "claims")
        measureClaims(settings);
    else
        return std::cerr << usage, exitUsage;
    return exitSuccess;
}
