// sagecrank-rows-emulator: stands in for the users' store of rows in tests and on a developer's machine.
// Keeps everything in memory and forgets it when it ends.
#include <RowsEmulator/RowsService.h>

#include <LibCommandLine/CommandLine.h>
#include <LibObserve/EventLog.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr int exitFailure = 1;
constexpr std::uint64_t maximumBodyBytes = 2'097'152; // A transaction of a megabyte, with its encoding.

int run(const std::string &listen, const RowsServiceSettings &settings)
{
    EventLog log("rows-emulator", {});
    asio::io_context context(1);
    RowsService service(context, settings, [&log](std::string_view json) {
        log.write(EventId::EmulatorFaultsSet, {{"faults", json}});
    });
    HttpServerSettings serverSettings;
    serverSettings.limits.bodyBytes = maximumBodyBytes;
    HttpServer server(context, serverSettings,
                      [&service](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                          service.handle(request, exchange);
                      });
    const Result<void> listening = server.listen(listen);
    if (!listening) {
        log.write(EventId::ListenFailed, {{"error", listening.error().describe()}});
        return listening.error().kind == ErrorKind::InvalidInput ? exitUsage : exitFailure;
    }
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    log.write(EventId::ProcessReady, {{"listen", listen}});
    context.run();
    log.write(EventId::ProcessStopped, {});
    return exitSuccess;
}

} // namespace

int main(int count, char **arguments)
{
    std::string listen;
    RowsServiceSettings settings;
    options::options_description description("sagecrank-rows-emulator: a store of rows in memory");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:9000"), "address to serve, ip:port");
    add("write-rate", options::value(&settings.writeRate)->default_value(settings.writeRate),
        "writing calls a second");
    add("read-rate", options::value(&settings.readRate)->default_value(settings.readRate),
        "reading calls a second");
    options::variables_map values;
    if (const auto exitCode = readCommandLine(CommandLine{"", description, {}}, count, arguments, values))
        return *exitCode;
    return run(listen, settings);
}
