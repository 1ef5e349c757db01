// Commands: see Commands.h.
#include <Ctl/BlockingClient.h>
#include <Ctl/Commands.h>
#include <Ctl/Files.h>
#include <LibHistory/HistoryRecorder.h>
#include <LibObserve/EventLog.h>
#include <LibSource/Publisher.h>

#include <chrono>
#include <cstdio>
#include <random>

namespace Sagecrank {

namespace {

constexpr auto processName = "sagecrankctl";

// 128 random bits: no two publishes of all operators share one.
std::string makePublishId()
{
    std::random_device device;
    char text[33];
    std::snprintf(text, sizeof(text), "%08x%08x%08x%08x", device(), device(), device(), device());
    return text;
}

PublishRequest factsOf(const Arguments &arguments)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    return {arguments.expected, makePublishId(), arguments.operatorName, static_cast<std::uint64_t>(seconds)};
}

void recordReport(const Arguments &arguments, const PublishResult &report)
{
    HistoryRecorder recorder(processName, arguments.events);
    if (report.outcome == PublishOutcome::Accepted)
        recorder.record([&] { return PublishAccepted{report.version, report.publishId}; });
    else if (report.outcome != PublishOutcome::Unknown)
        recorder.record([&] {
            return PublishRefused{report.version, report.publishId, report.winner.publishId};
        });
}

void logReport(const Arguments &arguments, const PublishResult &report)
{
    EventLog log(processName, {});
    const LogField who("operator", arguments.operatorName);
    const LogField id("publish_id", report.publishId);
    if (report.outcome == PublishOutcome::Accepted)
        log.write(EventId::PublishAccepted, {who, id, {"version", report.version}});
    else if (report.outcome == PublishOutcome::Conflict)
        log.write(
            EventId::PublishRefused,
            {who, id, {"winner", report.winner.version}, {"winner_operator", report.winner.operatorName}});
    else if (report.outcome == PublishOutcome::Unknown)
        log.write(EventId::PublishUncertain, {who, id, {"version", report.version}});
}

ExitCode finish(const Arguments &arguments, const Printer &printer, const PublishResult &report)
{
    recordReport(arguments, report);
    logReport(arguments, report);
    printer.publishResult(report);
    return exitCodeOf(report);
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
    const auto report = client.wait<PublishResult>([&](const PublishCallback &callback) {
        publisher.publish(std::move(rendered.sites), factsOf(arguments), callback);
    });
    return finish(arguments, printer, report);
}

ExitCode rollback(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const Publisher publisher(client.table(), client.objects(), client.scheduler());
    const auto report = client.wait<PublishResult>([&](const PublishCallback &callback) {
        publisher.rollback(*arguments.to, factsOf(arguments), callback);
    });
    return finish(arguments, printer, report);
}

ExitCode drain(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const std::string &node = arguments.nodes.front();
    const Result<std::string> answer = client.sendNodeRequest(node, "POST", "/v1/drain");
    if (!answer) {
        printer.error(answer.error());
        return exitCodeOf(answer.error());
    }
    printer.drainStarted(node, answer.value());
    return ExitCode::Success;
}

} // namespace Sagecrank
