// Implements Commands.h.
#include <Ctl/BlockingClient.h>
#include <Ctl/Commands.h>
#include <Ctl/Files.h>
#include <LibHistory/HistoryRecorder.h>
#include <LibObserve/EventLog.h>
#include <LibSource/Publisher.h>
#include <LibSource/TableRollouts.h>

#include <chrono>
#include <cstdio>
#include <random>

namespace Sagecrank {

namespace {

constexpr auto processName = "sagecrankctl";

// 128 random bits, unique over all operators and publishes.
std::string makePublishId()
{
    std::random_device device;
    char text[33];
    std::snprintf(text, sizeof(text), "%08x%08x%08x%08x", device(), device(), device(), device());
    return text;
}

PublishRequest makePublishRequest(const Arguments &arguments)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    return {arguments.expected, makePublishId(), arguments.operatorName, static_cast<std::uint64_t>(seconds)};
}

void recordResult(const Arguments &arguments, const PublishResult &result)
{
    HistoryRecorder recorder(processName, arguments.events);
    if (result.outcome == PublishOutcome::Accepted)
        recorder.record([&] { return PublishAccepted{result.version, result.publishId}; });
    else if (result.outcome != PublishOutcome::Unknown)
        recorder.record([&] {
            return PublishRefused{result.version, result.publishId, result.winner.publishId};
        });
}

void logResult(const Arguments &arguments, const PublishResult &result)
{
    EventLog log(processName, {});
    const LogField operatorField("operator", arguments.operatorName);
    const LogField idField("publish_id", result.publishId);
    if (result.outcome == PublishOutcome::Accepted)
        log.write(EventId::PublishAccepted, {operatorField, idField, {"version", result.version}});
    else if (result.outcome == PublishOutcome::Conflict)
        log.write(EventId::PublishRefused, {operatorField,
                                            idField,
                                            {"winner", result.winner.version},
                                            {"winner_operator", result.winner.operatorName}});
    else if (result.outcome == PublishOutcome::Unknown)
        log.write(EventId::PublishUncertain, {operatorField, idField, {"version", result.version}});
}

ExitCode reportResult(const Arguments &arguments, const Printer &printer, const PublishResult &result)
{
    recordResult(arguments, result);
    logResult(arguments, result);
    printer.publishResult(result);
    return exitCodeOf(result);
}

} // namespace

ExitCode publish(const Arguments &arguments, const Printer &printer)
{
    const Result<LocalFiles> files = readLocalFiles(arguments);
    if (!files) {
        printer.error(files.error());
        return exitCodeOf(files.error());
    }
    RenderResult rendered = renderSites(files.value().base, files.value().overlays);
    if (!rendered.errors.empty()) {
        EventLog(processName, {}).write(EventId::ConfigurationInvalid, {{"faults", rendered.errors.size()}});
        printer.faults(rendered.errors);
        return ExitCode::InvalidInput;
    }
    BlockingClient client(arguments.platform);
    const Publisher publisher(client.table(), client.objects(), client.scheduler());
    const auto result = client.wait<PublishResult>([&](const PublishCallback &callback) {
        publisher.publish(std::move(rendered.sites), makePublishRequest(arguments), callback);
    });
    return reportResult(arguments, printer, result);
}

ExitCode rollback(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const Publisher publisher(client.table(), client.objects(), client.scheduler());
    const auto result = client.wait<PublishResult>([&](const PublishCallback &callback) {
        publisher.rollback(*arguments.to, makePublishRequest(arguments), callback);
    });
    return reportResult(arguments, printer, result);
}

namespace {

ExitCode reportRollout(const Printer &printer, const Result<RolloutRow> &written)
{
    if (!written) {
        printer.error(written.error());
        return exitCodeOf(written.error());
    }
    printer.rollouts({written.value()});
    return ExitCode::Success;
}

} // namespace

ExitCode startRollout(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const RolloutOrders orders(client.table());
    const RolloutOrder order{arguments.service, arguments.target, arguments.duration, 0};
    return reportRollout(printer, client.wait<Result<RolloutRow>>([&](const RolloutRowCallback &callback) {
        orders.start(order, arguments.operatorName, callback);
    }));
}

ExitCode abortRollout(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const RolloutOrders orders(client.table());
    return reportRollout(printer, client.wait<Result<RolloutRow>>([&](const RolloutRowCallback &callback) {
        orders.abort(arguments.service, arguments.operatorName, callback);
    }));
}

ExitCode drain(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const std::string &node = arguments.nodes.front();
    const Result<std::string> response = client.sendNodeRequest(node, "POST", "/v1/drain");
    if (!response) {
        printer.error(response.error());
        return exitCodeOf(response.error());
    }
    printer.drainStarted(node, response.value());
    return ExitCode::Success;
}

} // namespace Sagecrank
