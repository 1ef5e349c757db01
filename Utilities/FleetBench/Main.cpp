// Measures what a mesh costs: the state machines alone at full size, and what real processes are compared
// with. The real processes are started and read by Meta/measure-fleet.py.
#include "Commands.h"

#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <functional>
#include <iostream>
#include <map>

using namespace Sagecrank;

int main(int count, char **arguments)
{
    namespace options = boost::program_options;
    BenchSettings settings;
    options::options_description description(
        "sagecrank-fleet-bench [table|mesh|publish|polling|push]: cost of a mesh for its nodes");
    auto add = description.add_options();
    add("command", options::value(&settings.command), "what to measure (default: table)");
    add("members", options::value(&settings.members), "members of the mesh (table, mesh)");
    add("zones", options::value(&settings.zones), "zones of the mesh (table, mesh)");
    add("services", options::value(&settings.services), "services of each site");
    add("routes", options::value(&settings.routes), "routes of each service");
    add("platform", options::value(&settings.platform), "address of table and objects, ip:port");
    add("site", options::value(&settings.site), "site of the nodes (polling, push)");
    add("version", options::value(&settings.version), "version to publish");
    add("changed", options::value(&settings.changed), "services that the version changes (publish)");
    add("sites", options::value(&settings.sites), "sites to publish: zone-0, zone-1 and so on");
    add("nodes", options::value(&settings.nodes), "nodes (polling, push)");
    options::positional_options_description positional;
    positional.add("command", 1);
    options::variables_map values;
    if (const auto exitCode =
            readCommandLine(CommandLine{"", description, positional}, count, arguments, values))
        return *exitCode;
    const std::map<std::string, std::function<int(const BenchSettings &)>> commands = {
        {"table", runTableBench},
        {"mesh", runMeshBench},
        {"publish", runPublish},
        {"polling", runPolling},
        {"push", runPush}};
    const auto command = commands.find(settings.command);
    if (command == commands.end()) {
        std::cerr << "no such measurement: " << settings.command << "\n" << description;
        return exitUsage;
    }
    return command->second(settings);
}
