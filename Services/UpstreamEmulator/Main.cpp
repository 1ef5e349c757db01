// sagecrank-upstream-emulator: emulates a service on a host for tests and measurements. Runs calls in slots,
// announces itself to the host's node, drains on SIGTERM and injects faults on command.
#include <UpstreamEmulator/Announcer.h>
#include <UpstreamEmulator/Answer.h>
#include <UpstreamEmulator/WorkService.h>

#include <LibCommandLine/CommandLine.h>
#include <LibObserve/EventLog.h>

#include <platform/EmulatedServer.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr int exitFailure = 1;

// The shell's exit code for a process that aborted.
constexpr int exitAborted = 134;

struct Settings
{
    std::string listen;
    std::string name;
    bool history = false;
    unsigned threads = 1;
    AnnouncerSettings announce;
    WorkSettings work;
    Milliseconds warming{0};
    bool announceGoneFirst =
        false; // Announces Gone instead of Draining on SIGTERM, and keeps serving as long.
    // The name of this process start. If set, the emulator speaks the users' platform's protocol.
    std::string instance;
};

// Owns the threads and connects the components.
class Program
{
public:
    explicit Program(Settings settings)
        : settings(std::move(settings))
        , history(this->settings.name, this->settings.history)
        , log(this->settings.name, {})
        , service(
              this->settings.work, this->history, [] { return SteadyClock::now(); },
              [this](std::string_view json) {
                  this->log.write(EventId::EmulatorFaultsSet, {{"faults", json}});
              })
        , signals(this->mainContext, SIGINT, SIGTERM)
        , announcer(
              this->mainContext, this->settings.announce, [this] { return this->announcedState(); },
              [this](std::optional<std::uint64_t> inFlight) { this->stopIfDrained(inFlight); })
        , started(SteadyClock::now())
    {
    }

    int run()
    {
        for (unsigned index = 0; index < this->settings.threads; ++index) {
            const Result<void> listening =
                this->listenOn(index == 0 ? this->mainContext : this->addContext());
            if (!listening) {
                this->log.write(EventId::ListenFailed, {{"error", listening.error().describe()}});
                return listening.error().kind == ErrorKind::InvalidInput ? exitUsage : exitFailure;
            }
        }
        this->awaitSignal();
        this->announcer.start();
        std::vector<std::thread> threads;
        for (const auto &context : this->contexts)
            threads.emplace_back([&context] { context->run(); });
        this->log.write(EventId::ProcessReady, {{"listen", this->settings.listen}});
        this->mainContext.run();
        for (const auto &context : this->contexts)
            context->stop();
        for (std::thread &thread : threads)
            thread.join();
        this->log.write(EventId::ProcessStopped, {{"running", this->service.report().running}});
        return 0;
    }

private:
    asio::io_context &addContext()
    {
        this->contexts.push_back(std::make_unique<asio::io_context>(1));
        return *this->contexts.back();
    }

    Result<void> listenOn(asio::io_context &context)
    {
        HttpServerSettings server;
        server.reusePort = this->settings.threads > 1;
        server.rewriteResponse = applyMarkedFault;
        server.respondBeforeBody = [this](const HttpRequest &header) {
            return this->service.respondBeforeBody(header);
        };
        HttpHandler handler = [this, &context](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
            this->service.handle(context, std::move(request), std::move(exchange));
        };
        if (!this->settings.instance.empty()) {
            handler = Platform::wrapPlatformHandler(this->settings.instance, std::move(handler));
            server.respondBeforeBody =
                Platform::wrapEarlyResponse(this->settings.instance, std::move(server.respondBeforeBody));
        }
        this->servers.push_back(std::make_unique<HttpServer>(context, server, std::move(handler)));
        return this->servers.back()->listen(this->settings.listen);
    }

    // The first signal starts a drain; a second one stops the process immediately.
    void awaitSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code &error, int) {
            if (error)
                return;
            if (this->drain.draining() || this->settings.announce.node.empty())
                return this->mainContext.stop();
            this->history.record([this] {
                return UpstreamDraining{this->settings.announce.cluster, this->settings.listen};
            });
            this->drain.begin(SteadyClock::now());
            this->log.write(EventId::ProcessDraining, {});
            this->service.beginDrain();
            if (!this->service.suppressesAnnouncements())
                this->announcer.announce(this->settings.announceGoneFirst ? UpstreamState::Gone
                                                                          : UpstreamState::Draining,
                                         [](std::optional<std::uint64_t>) {});
            this->awaitSignal();
        });
    }

    std::optional<UpstreamState> announcedState()
    {
        const bool announcedGone = this->settings.announceGoneFirst && this->drain.draining();
        if (announcedGone || this->service.suppressesAnnouncements())
            return std::nullopt;
        const UpstreamState state = this->service.externalReport().state;
        if (state == UpstreamState::Ready && SteadyClock::now() - this->started < this->settings.warming)
            return UpstreamState::Warming;
        return state;
    }

    void stopIfDrained(std::optional<std::uint64_t> nodeInFlight)
    {
        if (!this->drain.isComplete(SteadyClock::now(), this->service.report().running, nodeInFlight))
            return;
        if (this->settings.announceGoneFirst)
            return this->mainContext.stop();
        this->announcer.announce(UpstreamState::Gone,
                                 [this](std::optional<std::uint64_t>) { this->mainContext.stop(); });
    }

    Settings settings;
    HistoryRecorder history;
    EventLog log;
    asio::io_context mainContext{1};
    std::vector<std::unique_ptr<asio::io_context>> contexts; // One for each thread besides the main one.
    WorkService service;
    std::vector<std::unique_ptr<HttpServer>> servers;
    asio::signal_set signals;
    DrainPolicy drain;
    Announcer announcer;
    Instant started;
};

// Builds check-in requests of this process start, with increasing sequence numbers.
std::function<HttpRequest(UpstreamState)> makeCheckInRequests(const Settings &settings)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    UpstreamAnnouncement announcement;
    announcement.cluster = settings.announce.cluster;
    announcement.address = settings.announce.address;
    announcement.slots = settings.announce.slots;
    announcement.instance = settings.instance;
    announcement.version = settings.announce.version;
    announcement.startedAt =
        static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
    return [announcement](UpstreamState state) mutable {
        ++announcement.sequence;
        return Platform::encodeCheckIn(announcement, state);
    };
}

options::options_description describe(Settings &settings, std::vector<std::string> &paths,
                                      long &coldMilliseconds, long &warmingMilliseconds)
{
    options::options_description description(
        "sagecrank-upstream-emulator: a service with slots beside a node");
    auto add = description.add_options();
    add("listen", options::value(&settings.listen)->default_value("127.0.0.1:9101"),
        "address to serve, ip:port");
    add("name", options::value(&settings.name), "name in histories and answers; the address unless given");
    add("cluster", options::value(&settings.announce.cluster)->default_value("booking"),
        "the service's name");
    add("node-admin", options::value(&settings.announce.node),
        "admin address of the node beside it; none: no announcement");
    add("instance", options::value(&settings.instance),
        "name of this start; with it, node-admin is where the node takes check-ins of the users' platform");
    add("software-version", options::value(&settings.announce.version),
        "version that it announces; none unless given");
    add("slots", options::value(&settings.work.slots)->default_value(6), "calls that run at one time");
    add("queue", options::value(&settings.work.maximumWaiting)->default_value(64),
        "calls that wait inside; one more is shed");
    add("work", options::value(&paths), "PREFIX=MS[:fixed|exponential|lognormal], may be given often");
    add("cold-ms", options::value(&coldMilliseconds)->default_value(0),
        "time over which a cold start wears off");
    add("cold-factor", options::value(&settings.work.cold.factor)->default_value(10),
        "slowness at the very start");
    add("warming-ms", options::value(&warmingMilliseconds)->default_value(0),
        "time for which it announces that it warms up");
    add("goodbye-first", options::bool_switch(&settings.announceGoneFirst),
        "on SIGTERM, says that it is gone, serves on for as long as a drain takes, and ends");
    add("crash-prefix", options::value(&settings.work.crashPrefix),
        "a call whose target begins so ends this process when its work is done");
    add("threads", options::value(&settings.threads)->default_value(1), "threads that serve");
    add("seed", options::value(&settings.work.seed)->default_value(1), "seed of the service times");
    add("history", options::bool_switch(&settings.history), "write history events to standard output");
    return description;
}

} // namespace

int main(int count, char **arguments)
{
    Settings settings;
    std::vector<std::string> paths;
    long coldMilliseconds = 0;
    long warmingMilliseconds = 0;
    options::variables_map values;
    if (const auto exitCode = readCommandLine(
            CommandLine{"", describe(settings, paths, coldMilliseconds, warmingMilliseconds), {}}, count,
            arguments, values))
        return *exitCode;
    for (const std::string &text : paths) {
        const Result<PathServiceTime> path = parsePathServiceTime(text);
        if (!path) {
            std::cerr << path.error().describe() << "\n";
            return exitUsage;
        }
        settings.work.paths.push_back(path.value());
    }
    if (settings.name.empty())
        settings.name = settings.listen;
    settings.threads = std::max(1U, settings.threads);
    settings.work.name = settings.name;
    settings.work.crash = [] { std::_Exit(exitAborted); };
    settings.work.cold.length = Milliseconds(coldMilliseconds);
    settings.warming = Milliseconds(warmingMilliseconds);
    settings.announce.address = settings.listen;
    settings.announce.slots = static_cast<std::uint32_t>(settings.work.slots);
    if (!settings.instance.empty())
        settings.announce.makeRequest = makeCheckInRequests(settings);
    Program program(std::move(settings));
    return program.run();
}
