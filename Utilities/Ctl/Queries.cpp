// Implements Queries.h.
#include <Ctl/BlockingClient.h>
#include <Ctl/Content.h>
#include <Ctl/Files.h>
#include <Ctl/Queries.h>

#include <algorithm>

namespace Sagecrank {

namespace {

ExitCode printError(const Printer &printer, const Error &error)
{
    printer.error(error);
    return exitCodeOf(error);
}

// Renders the local files. On failure, prints the errors and sets `code`.
std::optional<RenderResult> renderLocal(const Arguments &arguments, const Printer &printer, ExitCode &code)
{
    const Result<LocalFiles> files = readLocalFiles(arguments);
    if (!files) {
        code = printError(printer, files.error());
        return std::nullopt;
    }
    RenderResult result = renderSites(files.value().base, files.value().overlays);
    if (result.errors.empty())
        return result;
    printer.faults(result.errors);
    code = ExitCode::InvalidInput;
    return std::nullopt;
}

Result<Head> readHead(BlockingClient &client)
{
    const HeadReader reader(client.table());
    return client.readWithRetries<Head>([&](auto callback) { reader.read(std::move(callback)); });
}

Result<std::vector<RenderedSite>> readVersionOrCurrent(BlockingClient &client,
                                                       std::optional<std::uint64_t> version)
{
    const Head head = version ? TRY(readHeadOfVersion(client, *version)) : TRY(readHead(client));
    return readVersionContent(client, head);
}

void filterSites(const std::string &site, std::vector<RenderedSite> &sites)
{
    if (!site.empty())
        std::erase_if(sites, [&](const RenderedSite &each) { return each.site != site; });
}

} // namespace

ExitCode validate(const Arguments &arguments, const Printer &printer)
{
    ExitCode code = ExitCode::Success;
    const auto result = renderLocal(arguments, printer, code);
    if (result)
        printer.validated(*result);
    return code;
}

ExitCode render(const Arguments &arguments, const Printer &printer)
{
    ExitCode code = ExitCode::Success;
    auto result = renderLocal(arguments, printer, code);
    if (!result)
        return code;
    filterSites(arguments.site, result->sites);
    if (result->sites.empty())
        return printError(printer, makeError(ErrorKind::NotFound, "render", arguments.site, "no such site"));
    printer.sites(result->sites);
    return code;
}

ExitCode diff(const Arguments &arguments, const Printer &printer)
{
    ExitCode code = ExitCode::Success;
    BlockingClient client(arguments.platform);
    Result<std::vector<RenderedSite>> before = readVersionOrCurrent(client, arguments.from);
    if (!before)
        return printError(printer, before.error());
    std::vector<RenderedSite> after;
    if (!arguments.base.empty()) {
        auto local = renderLocal(arguments, printer, code);
        if (!local)
            return code;
        after = std::move(local->sites);
    } else {
        Result<std::vector<RenderedSite>> newer = readVersionOrCurrent(client, arguments.to);
        if (!newer)
            return printError(printer, newer.error());
        after = std::move(newer.value());
    }
    filterSites(arguments.site, before.value());
    filterSites(arguments.site, after);
    const std::vector<Change> changes = compareContent(before.value(), after);
    printer.changes(changes);
    return changes.empty() ? ExitCode::Success : ExitCode::Differs;
}

ExitCode status(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const Result<Head> head = readHead(client);
    if (!head)
        return printError(printer, head.error());
    std::vector<NodeStatus> nodes;
    for (const std::string &address : arguments.nodes)
        nodes.push_back({address, client.sendNodeRequest(address, "GET", "/status")});
    printer.status(head.value(), nodes);
    const bool allResponded = std::all_of(nodes.begin(), nodes.end(),
                                          [](const NodeStatus &node) { return node.status.has_value(); });
    return allResponded ? ExitCode::Success : ExitCode::Unavailable;
}

ExitCode rolloutStatus(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const RolloutOrders orders(client.table());
    const auto rollouts = client.readWithRetries<std::vector<RolloutRow>>(
        [&](auto callback) { orders.list(std::move(callback)); });
    if (!rollouts)
        return printError(printer, rollouts.error());
    printer.rollouts(rollouts.value());
    return ExitCode::Success;
}

ExitCode listAccounts(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    Result<std::vector<RenderedSite>> sites = readVersionOrCurrent(client, std::nullopt);
    if (!sites)
        return printError(printer, sites.error());
    filterSites(arguments.site, sites.value());
    printer.accounts(sites.value());
    return ExitCode::Success;
}

ExitCode history(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const HeadReader reader(client.table());
    const auto entries = client.readWithRetries<std::vector<HistoryEntry>>(
        [&](auto callback) { reader.history(arguments.limit, std::move(callback)); });
    if (!entries)
        return printError(printer, entries.error());
    printer.history(entries.value());
    return ExitCode::Success;
}

} // namespace Sagecrank
