// sagecrank-rows-emulator: stands in for the users' store of rows in tests and on a developer's machine.
// Keeps everything in memory and forgets it when it ends.
#include <PlatformEmulator/StoreProgram.h>
#include <RowsEmulator/RowsService.h>

#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <memory>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr std::uint64_t maximumBodyBytes = 2'097'152; // A transaction of a megabyte, with its encoding.

// The first port is everybody's; each further one is the door of single hosts, with faults of its own.
std::vector<StorePort> makePorts(asio::io_context &context, const std::vector<std::string> &listen,
                                 const RowsServiceSettings &settings, FaultsSetHook faultsSet)
{
    const auto service = std::make_shared<RowsService>(context, settings, std::move(faultsSet));
    std::vector<StorePort> ports;
    for (std::size_t listener = 0; listener < listen.size(); ++listener)
        ports.push_back(
            {listen[listener],
             [service, listener](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                 service->handle(request, exchange, listener);
             }});
    return ports;
}

} // namespace

int main(int count, char **arguments)
{
    std::vector<std::string> listen;
    RowsServiceSettings settings;
    options::options_description description("sagecrank-rows-emulator: a store of rows in memory");
    auto add = description.add_options();
    std::string address;
    add("listen", options::value(&address)->default_value("127.0.0.1:9000"), "address to serve, ip:port");
    add("door", options::value(&listen),
        "another address, for single hosts; faults that are set there hold for those who come by it");
    add("write-rate", options::value(&settings.writeRate)->default_value(settings.writeRate),
        "writing calls a second");
    add("read-rate", options::value(&settings.readRate)->default_value(settings.readRate),
        "reading calls a second");
    options::variables_map values;
    if (const auto exitCode = readCommandLine(CommandLine{"", description, {}}, count, arguments, values))
        return *exitCode;
    listen.insert(listen.begin(), address);
    return runStoreProgram("rows-emulator", maximumBodyBytes,
                           [&](asio::io_context &context, FaultsSetHook faultsSet) {
                               return makePorts(context, listen, settings, std::move(faultsSet));
                           });
}
