// Serves a store's ports on one thread until a signal arrives.
#include <PlatformEmulator/StoreProgram.h>

#include <LibCommandLine/CommandLine.h>
#include <LibObserve/EventLog.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <memory>

namespace Sagecrank {

namespace {

constexpr int exitFailure = 1;

} // namespace

int runStoreProgram(const std::string &process, std::uint64_t maximumBodyBytes,
                    const MakeStorePorts &makePorts)
{
    EventLog log(process, {});
    boost::asio::io_context context(1);
    HttpServerSettings settings;
    settings.limits.bodyBytes = maximumBodyBytes;
    std::vector<std::unique_ptr<HttpServer>> servers;
    const auto faultsSet = [&log](std::string_view json) {
        log.write(EventId::EmulatorFaultsSet, {{"faults", json}});
    };
    for (StorePort &port : makePorts(context, faultsSet)) {
        servers.push_back(std::make_unique<HttpServer>(context, settings, std::move(port.handler)));
        const Result<void> listening = servers.back()->listen(port.listen);
        if (!listening) {
            log.write(EventId::ListenFailed, {{"error", listening.error().describe()}});
            return listening.error().kind == ErrorKind::InvalidInput ? exitUsage : exitFailure;
        }
        log.write(EventId::ProcessReady, {{"listen", port.listen}});
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    log.write(EventId::ProcessStopped, {});
    return exitSuccess;
}

} // namespace Sagecrank
