// Tests the arguments, the exit codes and the comparison of versions of sagecrankctl.
#include <Ctl/Arguments.h>
#include <Ctl/Content.h>
#include <Ctl/Files.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct ArgumentsRow
{
    const char *name;
    std::vector<const char *> words;
    std::optional<ExitCode> exitCode; // None if the arguments are valid.
};

const ArgumentsRow argumentsRows[] = {
    {"nothing", {}, ExitCode::Usage},
    {"help", {"--help"}, ExitCode::Success},
    {"no such action", {"deploy"}, ExitCode::Usage},
    {"no such option", {"status", "--fast"}, ExitCode::Usage},
    {"status", {"status"}, std::nullopt},
    {"status of nodes", {"status", "--node", "127.0.0.1:1", "127.0.0.1:2"}, std::nullopt},
    {"validate without files", {"validate", "--base", "b"}, ExitCode::Usage},
    {"validate", {"validate", "--base", "b", "--overlays", "o"}, std::nullopt},
    {"publish without an expectation",
     {"publish", "--base", "b", "--overlays", "o", "--operator", "anna"},
     ExitCode::Usage},
    {"publish without a name",
     {"publish", "--base", "b", "--overlays", "o", "--expect", "3"},
     ExitCode::Usage},
    {"publish over a word",
     {"publish", "--base", "b", "--overlays", "o", "--operator", "anna", "--expect", "newest"},
     ExitCode::Usage},
    {"rollback to a version with letters", {"rollback", "--operator", "anna", "--to", "3x"}, ExitCode::Usage},
    {"publish over the current version",
     {"publish", "--base", "b", "--overlays", "o", "--operator", "anna", "--expect", "current"},
     std::nullopt},
    {"rollback to nowhere", {"rollback", "--operator", "anna"}, ExitCode::Usage},
    {"rollback", {"rollback", "--operator", "anna", "--to", "3"}, std::nullopt},
    {"drain two at once", {"drain", "--node", "127.0.0.1:1", "127.0.0.1:2"}, ExitCode::Usage},
    {"drain", {"drain", "--node", "127.0.0.1:1"}, std::nullopt},
    {"rollout without a verb", {"rollout"}, ExitCode::Usage},
    {"rollout with an unknown verb", {"rollout", "pause"}, ExitCode::Usage},
    {"rollout status", {"rollout", "status"}, std::nullopt},
    {"rollout start without a duration",
     {"rollout", "start", "--service", "booking", "--target", "v2", "--operator", "anna"},
     ExitCode::Usage},
    {"rollout start",
     {"rollout", "start", "--service", "booking", "--target", "v2", "--duration-ms", "60000", "--operator",
      "anna"},
     std::nullopt},
    {"rollout abort without a name", {"rollout", "abort", "--service", "booking"}, ExitCode::Usage},
    {"rollout abort", {"rollout", "abort", "--service", "booking", "--operator", "anna"}, std::nullopt},
    {"account without a verb", {"account"}, ExitCode::Usage},
    {"account list", {"account", "list"}, std::nullopt},
    {"a verb where none belongs", {"status", "now"}, ExitCode::Usage},
    {"diff against nothing", {"diff"}, ExitCode::Usage},
    {"timeout of zero", {"status", "--timeout-ms", "0"}, ExitCode::Usage},
};

struct ExampleRow
{
    const char *mesh;
    std::size_t sites;
};

const ExampleRow exampleRows[] = {{"borgbillet", 3}, {"borra-limpio", 4}};

struct ResultRow
{
    PublishOutcome outcome;
    ErrorKind kind;
    ExitCode code;
};

const ResultRow resultRows[] = {
    {PublishOutcome::Accepted, ErrorKind::Timeout, ExitCode::Success},
    {PublishOutcome::Conflict, ErrorKind::Internal, ExitCode::Conflict},
    {PublishOutcome::Unknown, ErrorKind::Timeout, ExitCode::Unknown},
    {PublishOutcome::Failed, ErrorKind::Unavailable, ExitCode::Unavailable},
    {PublishOutcome::Failed, ErrorKind::InvalidInput, ExitCode::InvalidInput},
    {PublishOutcome::Failed, ErrorKind::NotFound, ExitCode::NotFound},
};

std::variant<Arguments, ExitCode> parse(std::vector<const char *> words)
{
    words.insert(words.begin(), "sagecrankctl");
    std::vector<char *> values;
    for (const char *word : words)
        values.push_back(const_cast<char *>(word));
    return readArguments(static_cast<int>(values.size()), values.data());
}

RenderedSite makeSite(const std::string &name, std::uint32_t queue, std::vector<std::string> routes)
{
    RenderedSite site{name, {{"booking", queue, {}}}};
    for (const std::string &route : routes) {
        site.sections[0].routes.push_back({});
        site.sections[0].routes.back().name = route;
        site.sections[0].routes.back().prefix = "/" + route;
    }
    return site;
}

} // namespace

TABLE_TEST(arguments, areChecked, argumentsRows)
{
    const auto result = parse(row.words);
    const auto *code = std::get_if<ExitCode>(&result);
    cr_assert((code != nullptr) == row.exitCode.has_value(), "%s", row.name);
    if (code != nullptr)
        cr_assert(*code == *row.exitCode, "%s", row.name);
}

Test(arguments, expectTakesAVersionOrCurrent)
{
    const std::vector<const char *> words = {"publish",    "--base", "b",        "--overlays", "o",
                                             "--operator", "anna",   "--expect", "17"};
    cr_assert(std::get<Arguments>(parse(words)).expected == 17);
    std::vector<const char *> current = words;
    current.back() = "current";
    cr_assert(!std::get<Arguments>(parse(current)).expected);
}

// Scripts tell a conflict from a failure without effect (retry) and from an unknown outcome (read the history
// first) by the exit code.
TABLE_TEST(exitCodes, distinguishPublishOutcomes, resultRows)
{
    PublishResult result;
    result.outcome = row.outcome;
    result.error.kind = row.kind;
    cr_assert(exitCodeOf(result) == row.code);
}

TABLE_TEST(examples, areValid, exampleRows)
{
    Arguments arguments;
    const std::string folder = std::string(EXAMPLES) + "/" + row.mesh;
    arguments.base = folder + "/base.toml";
    arguments.overlays = {folder + "/overlays"};
    const Result<LocalFiles> files = readLocalFiles(arguments);
    cr_assert(files.has_value());
    const RenderResult result = renderSites(files.value().base, files.value().overlays);
    cr_assert(result.errors.empty());
    cr_assert(result.mesh == row.mesh);
    cr_assert(result.sites.size() == row.sites);
}

Test(content, differencesNameSiteAndRoute)
{
    const std::vector<RenderedSite> before = {makeSite("a", 1, {"x", "y"}), makeSite("b", 1, {"x"})};
    const std::vector<RenderedSite> after = {makeSite("a", 2, {"x", "z"}), makeSite("c", 1, {"x"})};
    cr_assert(compareContent(before, before).empty());
    std::string text;
    for (const Change &change : compareContent(before, after))
        text += change.site + " " + change.item + " " + std::string(changeKindNames.name(change.kind)) + "\n";
    cr_assert(text
                  == "a cluster booking changed\na route y removed\na route z added\nb site removed\n"
                     "c site added\n",
              "%s", text.c_str());
}

// Operators review the diff before they publish, so a change of any value of a route or of the caller limits
// must appear in it.
Test(content, changesOfAnyValueAppear)
{
    const std::vector<RenderedSite> before = {makeSite("a", 1, {"x"})};
    const auto describeChange = [&before](const std::function<void(RenderedSite &)> &change) {
        std::vector<RenderedSite> after = before;
        change(after[0]);
        const std::vector<Change> changes = compareContent(before, after);
        return changes.size() == 1 ? changes[0].item + ": " + changes[0].after : std::string();
    };
    const auto routeChangeShows = [&describeChange](const char *value,
                                                    const std::function<void(Route &)> &change) {
        const std::string text =
            describeChange([&](RenderedSite &site) { change(site.sections[0].routes[0]); });
        return text.starts_with("route x: ") && text.find(value) != std::string::npos;
    };
    cr_assert(routeChangeShows("priority=0", [](Route &route) { route.priority = 0; }));
    cr_assert(routeChangeShows("host=h.example", [](Route &route) { route.host = "h.example"; }));
    cr_assert(routeChangeShows("target_latency_ms=90",
                               [](Route &route) { route.targetLatency = Milliseconds(90); }));
    cr_assert(routeChangeShows("split.entry=3", [](Route &route) { route.split = {{"entry", 3}}; }));
    cr_assert(describeChange([](RenderedSite &site) { site.limits.bodyBytes = 9; })
              == "callers: maximum_body_bytes=9");
}
