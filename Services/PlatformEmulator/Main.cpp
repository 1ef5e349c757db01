// sagecrank-platform-emulator: stands in for the platform's table service and object store in tests and on
// a developer's machine. Keeps everything in memory and forgets it when it ends.
#include <PlatformEmulator/PlatformService.h>

#include <LibCommandLine/CommandLine.h>
#include <LibObserve/EventLog.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr int exitFailure = 1;
constexpr std::uint64_t maximumObjectBytes = 16'777'216; // A section of configuration is far smaller.

void runAfter(asio::io_context &context, Milliseconds delay, std::function<void()> step)
{
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, step = std::move(step)](const boost::system::error_code &error) {
        if (!error)
            step();
    });
}

int run(const std::string &listen, PlatformSettings settings)
{
    EventLog log("platform-emulator", {});
    asio::io_context context(1);
    PlatformService service(
        settings,
        [&context](Milliseconds delay, std::function<void()> step) {
            runAfter(context, delay, std::move(step));
        },
        [] { return SteadyClock::now(); },
        [&log](std::string_view json) {
            log.write(EventId::EmulatorFaultsSet, {{"faults", json}});
        });
    HttpServerSettings serverSettings;
    serverSettings.limits.bodyBytes = maximumObjectBytes;
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
    return 0;
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
    return run(listen, settings);
}
