// Queries: see Queries.h.
#include <Ctl/BlockingClient.h>
#include <Ctl/Content.h>
#include <Ctl/Files.h>
#include <Ctl/Queries.h>

#include <algorithm>

namespace Sagecrank {

namespace {

ExitCode fail(const Printer &printer, const Error &error)
{
    printer.error(error);
    return exitCodeOf(error);
}

// Renders the local files, or prints what is wrong with them.
std::optional<RenderResult> renderLocal(const Arguments &arguments, const Printer &printer, ExitCode &code)
{
    const Result<LocalFiles> files = readLocalFiles(arguments);
    if (!files) {
        code = fail(printer, files.error());
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

Result<std::vector<RenderedSite>> readVersion(BlockingClient &client, std::optional<std::uint64_t> version)
{
    const Head head = version ? TRY(readHeadOfVersion(client, *version)) : TRY(readHead(client));
    return readVersionContent(client, head);
}

void keepOnly(const std::string &site, std::vector<RenderedSite> &sites)
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
    keepOnly(arguments.site, result->sites);
    if (result->sites.empty())
        return fail(printer, makeError(ErrorKind::NotFound, "render", arguments.site, "no such site"));
    printer.sites(result->sites);
    return code;
}

ExitCode diff(const Arguments &arguments, const Printer &printer)
{
    ExitCode code = ExitCode::Success;
    BlockingClient client(arguments.platform);
    Result<std::vector<RenderedSite>> before = readVersion(client, arguments.from);
    if (!before)
        return fail(printer, before.error());
    std::vector<RenderedSite> after;
    if (!arguments.base.empty()) {
        auto local = renderLocal(arguments, printer, code);
        if (!local)
            return code;
        after = std::move(local->sites);
    } else {
        Result<std::vector<RenderedSite>> newer = readVersion(client, arguments.to);
        if (!newer)
            return fail(printer, newer.error());
        after = std::move(newer.value());
    }
    keepOnly(arguments.site, before.value());
    keepOnly(arguments.site, after);
    const std::vector<Change> changes = compareContent(before.value(), after);
    printer.changes(changes);
    return changes.empty() ? ExitCode::Success : ExitCode::Differs;
}

ExitCode status(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const Result<Head> head = readHead(client);
    if (!head)
        return fail(printer, head.error());
    std::vector<NodeStatus> nodes;
    for (const std::string &address : arguments.nodes)
        nodes.push_back({address, client.sendNodeRequest(address, "GET", "/status")});
    printer.status(head.value(), nodes);
    const bool allAnswered = std::all_of(nodes.begin(), nodes.end(),
                                         [](const NodeStatus &node) { return node.status.has_value(); });
    return allAnswered ? ExitCode::Success : ExitCode::Unavailable;
}

ExitCode history(const Arguments &arguments, const Printer &printer)
{
    BlockingClient client(arguments.platform);
    const HeadReader reader(client.table());
    const auto entries = client.readWithRetries<std::vector<HistoryEntry>>(
        [&](auto callback) { reader.history(arguments.limit, std::move(callback)); });
    if (!entries)
        return fail(printer, entries.error());
    printer.history(entries.value());
    return ExitCode::Success;
}

} // namespace Sagecrank
