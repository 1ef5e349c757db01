// sagecrank-rows-emulator: emulates the users' row store for tests and local development. All data is kept
// in memory and lost when the process exits.
#include <PlatformEmulator/StoreProgram.h>
#include <RowsEmulator/RowsService.h>

#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <memory>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr std::uint64_t maximumBodyBytes = 2'097'152; // Fits an encoded transaction of 1 MB.

// The first port is shared by all hosts. Further ports serve selected hosts and can have separate faults.
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
