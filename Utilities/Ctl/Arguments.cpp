// Implements Arguments.h with Boost.Program_options.
#include <Ctl/Arguments.h>
#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <charconv>
#include <iostream>

namespace Sagecrank {

namespace {

namespace options = boost::program_options;

constexpr const char *usageText = R"(Usage: sagecrankctl ACTION [options]

Queries, which change nothing:
  validate  --base FILE --overlays PATH...             check the files; every fault with file, line and key
  render    --base FILE --overlays PATH... [--site S]  show what each site would hold
  diff      --base FILE --overlays PATH...             local files against the version in force
  diff      --from V [--to V]                          two versions; without --to, against the one in force
  status    [--node ADMIN_ADDRESS...]                  version in force, and what each node holds
  history   [--limit N]                                accepted versions, newest first
  account list [--site S]                              accounts in force: number of keys, priority, limits
  rollout status                                       orders to roll out a version, and how they ended

Commands, which change what is in force:
  publish   --base FILE --overlays PATH... --expect VERSION|current --operator NAME
  rollback  --to VERSION --operator NAME [--expect VERSION|current]
            a new, higher version with the content of an older one
  drain     --node ADMIN_ADDRESS                       no new work to the upstream beside this node
  rollout start --service S --target VERSION --duration-ms N --operator NAME
            move a service's calls to upstreams of another version, and back if they turn out bad
  rollout abort --service S --operator NAME            go back to the established version

)";

// Option values that are converted or combined before they are stored in Arguments.
struct RawArguments
{
    std::string action;
    std::string verb; // The second word of actions that have one.
    std::string expect;
    std::string platform;
    std::string table;
    std::string objects;
    std::string from;
    std::string to;
    std::int64_t timeoutMs = 2000;
    std::int64_t durationMs = 0;
};

options::options_description makeOptions(Arguments &arguments, RawArguments &raw)
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("action", options::value(&raw.action)->required(), "one of the actions above; comes first");
    add("verb", options::value(&raw.verb), "second word of the action, if it has one");
    add("base", options::value(&arguments.base), "base file (TOML)");
    add("overlays", options::value(&arguments.overlays)->multitoken(),
        "overlay files, or folders whose *.toml files are overlays");
    add("site", options::value(&arguments.site), "only this site");
    add("expect", options::value(&raw.expect),
        "version that the files were made from; another in force is a conflict. \"current\" takes the one "
        "read at the start");
    add("operator", options::value(&arguments.operatorName), "who publishes; stands in the history");
    add("service", options::value(&arguments.service), "service of a roll-out");
    add("target", options::value(&arguments.target), "version of its software to roll out");
    add("duration-ms", options::value(&raw.durationMs), "time in which a roll-out must end");
    add("from", options::value(&raw.from), "older version");
    add("to", options::value(&raw.to), "newer version (diff), or the one to go back to (rollback)");
    add("limit", options::value(&arguments.limit)->default_value(arguments.limit), "rows of history");
    add("node", options::value(&arguments.nodes)->multitoken(), "a node's admin address, ip:port");
    add("platform", options::value(&raw.platform)->default_value("127.0.0.1:9000"),
        "table service and object store, ip:port");
    add("table", options::value(&raw.table), "table service, when it is elsewhere");
    add("objects", options::value(&raw.objects), "object store, when it is elsewhere");
    add("table-name", options::value(&arguments.platform.tableName)->default_value("sagecrank"), "table");
    add("bucket", options::value(&arguments.platform.bucket)->default_value("sagecrank"), "bucket");
    add("timeout-ms", options::value(&raw.timeoutMs)->default_value(raw.timeoutMs), "of each request");
    add("json", options::bool_switch(&arguments.json), "print JSON");
    add("events", options::bool_switch(&arguments.events), "history events on standard output");
    return description;
}

Result<std::optional<std::uint64_t>> parseVersion(const std::string &name, const std::string &text)
{
    if (text.empty())
        return std::optional<std::uint64_t>();
    std::uint64_t version = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), version);
    if (end.ec != std::errc() || end.ptr != text.data() + text.size())
        return makeError(ErrorKind::InvalidInput, "read arguments", "", "--" + name + " must be a version");
    return std::optional<std::uint64_t>(version);
}

Error missingArgument(const std::string &argument)
{
    return makeError(ErrorKind::InvalidInput, "read arguments", "", "missing: " + argument);
}

// Checks that the arguments the action requires are present. publish requires --expect, because without it
// one operator would silently overwrite the change of another.
Result<void> checkRequired(const Arguments &arguments, const RawArguments &raw)
{
    const bool hasFiles = !arguments.base.empty() && !arguments.overlays.empty();
    switch (arguments.action) {
    case Action::Validate:
    case Action::Render:
        if (!hasFiles)
            return missingArgument("--base and --overlays");
        break;
    case Action::Diff:
        if (!hasFiles && !arguments.from)
            return missingArgument("--base and --overlays, or --from");
        break;
    case Action::Publish:
        if (!hasFiles)
            return missingArgument("--base and --overlays");
        if (raw.expect.empty())
            return missingArgument("--expect VERSION, or --expect current");
        if (arguments.operatorName.empty())
            return missingArgument("--operator");
        break;
    case Action::Rollback:
        if (!arguments.to)
            return missingArgument("--to VERSION");
        if (arguments.operatorName.empty())
            return missingArgument("--operator");
        break;
    case Action::Drain:
        if (arguments.nodes.size() != 1)
            return missingArgument("one --node");
        break;
    case Action::RolloutStart:
        if (arguments.target.empty() || arguments.duration <= Milliseconds(0))
            return missingArgument("--target and --duration-ms");
        [[fallthrough]];
    case Action::RolloutAbort:
        if (arguments.service.empty())
            return missingArgument("--service");
        if (arguments.operatorName.empty())
            return missingArgument("--operator");
        break;
    case Action::Status:
    case Action::History:
    case Action::RolloutStatus:
    case Action::AccountList:
        break;
    }
    return success();
}

Result<void> convertAndCheck(Arguments &arguments, const RawArguments &raw)
{
    const std::string words = raw.verb.empty() ? raw.action : raw.action + " " + raw.verb;
    const auto action = actionNames.value(words);
    if (!action)
        return makeError(ErrorKind::InvalidInput, "read arguments", "", "no such action: " + words);
    arguments.action = *action;
    if (raw.expect != "current")
        arguments.expected = TRY(parseVersion("expect", raw.expect));
    arguments.from = TRY(parseVersion("from", raw.from));
    arguments.to = TRY(parseVersion("to", raw.to));
    if (raw.timeoutMs < 1 || raw.timeoutMs > 600000)
        return makeError(ErrorKind::InvalidInput, "read arguments", "",
                         "--timeout-ms is outside 1 to 600000");
    arguments.platform.table = raw.table.empty() ? raw.platform : raw.table;
    arguments.platform.objects = raw.objects.empty() ? raw.platform : raw.objects;
    arguments.duration = Milliseconds(raw.durationMs);
    arguments.platform.requestTimeout = Milliseconds(raw.timeoutMs);
    return checkRequired(arguments, raw);
}

} // namespace

std::variant<Arguments, ExitCode> readArguments(int count, char **values)
{
    Arguments arguments;
    RawArguments raw;
    CommandLine line;
    line.usage = usageText + exitCodeHelp();
    line.options.add(makeOptions(arguments, raw));
    line.positional.add("action", 1);
    line.positional.add("verb", 1);
    options::variables_map map;
    if (const auto exitCode = readCommandLine(line, count, values, map))
        return *exitCode == exitSuccess ? ExitCode::Success : ExitCode::Usage;
    const Result<void> converted = convertAndCheck(arguments, raw);
    if (!converted) {
        std::cerr << "sagecrankctl: " << converted.error().message << " (see --help)\n";
        return ExitCode::Usage;
    }
    return arguments;
}

} // namespace Sagecrank
