// sagecrank-platform-emulator: emulates the platform's table service and object store for tests and local
// development. All data is kept in memory and lost when the process exits.
#include <PlatformEmulator/PlatformService.h>
#include <PlatformEmulator/StoreProgram.h>

#include <LibCommandLine/CommandLine.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include <memory>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr std::uint64_t maximumObjectBytes = 16'777'216; // Far above the size of a configuration section.

void runAfter(asio::io_context &context, Milliseconds delay, std::function<void()> step)
{
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, step = std::move(step)](const boost::system::error_code &error) {
        if (!error)
            step();
    });
}

std::vector<StorePort> makePorts(asio::io_context &context, const std::string &listen,
                                 const PlatformSettings &settings, FaultsSetHook faultsSet)
{
    const auto later = [&context](Milliseconds delay, std::function<void()> step) {
        runAfter(context, delay, std::move(step));
    };
    const auto service = std::make_shared<PlatformService>(
        settings, later, [] { return SteadyClock::now(); }, std::move(faultsSet));
    return {{listen, [service](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                 service->handle(request, exchange);
             }}};
}

} // namespace

int main(int count, char **arguments)
{
    std::string listen;
    PlatformSettings settings;
    options::options_description description(
        "sagecrank-platform-emulator: a table and an object store in memory");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:9000"), "address to serve, ip:port");
    add("write-rate", options::value(&settings.writeRate)->default_value(settings.writeRate),
        "items written a second, table and objects together");
    add("read-rate", options::value(&settings.readRate)->default_value(settings.readRate),
        "items read a second, table and objects together");
    options::variables_map values;
    if (const auto exitCode = readCommandLine(CommandLine{"", description, {}}, count, arguments, values))
        return *exitCode;
    return runStoreProgram("platform-emulator", maximumObjectBytes,
                           [&](asio::io_context &context, FaultsSetHook faultsSet) {
                               return makePorts(context, listen, settings, std::move(faultsSet));
                           });
}
