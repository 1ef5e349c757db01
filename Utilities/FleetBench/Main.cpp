// Measures what a mesh costs: the state machines alone at full size, and what real processes are compared
// with. The real processes are started and read by Meta/measure-fleet.py.
#include "Commands.h"

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
    add("help", "show this text");
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
    try {
        options::store(
            options::command_line_parser(count, arguments).options(description).positional(positional).run(),
            values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    const std::map<std::string, std::function<int(const BenchSettings &)>> commands = {
        {"table", runTableBench},
        {"mesh", runMeshBench},
        {"publish", runPublish},
        {"polling", runPolling},
        {"push", runPush}};
    const auto command = commands.find(settings.command);
    if (values.contains("help") || command == commands.end()) {
        std::cout << description;
        return values.contains("help") ? 0 : 2;
    }
    return command->second(settings);
}
