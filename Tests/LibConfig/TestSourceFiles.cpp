// What operators write becomes sites, or a list of faults that name file, line and key.
#include <LibConfig/Assemble.h>
#include <LibConfig/Check.h>
#include <LibConfig/SourceFiles.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

// Line 1 is the [mesh] table of both.
const std::string goodBase = R"([mesh]
name = "borgbillet"

[cluster.booking]
maximum_queue = 32
timeout_ms = 800

[cluster.entry]

[[route]]
name = "slots"
prefix = "/slots"
methods = ["GET"]
cluster = "booking"

[[route]]
name = "reserve"
prefix = "/reserve"
cluster = "booking"
class = "non_idempotent"
timeout_ms = 3000

[[route]]
name = "schools"
prefix = "/schools"
cluster = "entry"
class = "batch"
requires = ["archive"]
)";

struct FaultRow
{
    const char *name;
    std::string base;
    std::string overlay;
    std::vector<std::string> places; // "file:line: key" of each fault, in order.
};

std::string withRoute(const std::string &lines)
{
    return "[mesh]\nname = \"m\"\n[cluster.booking]\n[[route]]\nname = \"r\"\n" + lines;
}

const std::string plain = "prefix = \"/r\"\ncluster = \"booking\"\n";

const FaultRow faultRows[] = {
    {"syntax error", "[mesh]\nname = \n", "", {"base.toml:2"}},
    {"no mesh", "[cluster.booking]\n", "", {"base.toml:1: mesh"}},
    {"mesh without a name", "\n[mesh]\n", "", {"base.toml:2: mesh.name"}},
    {"unknown key of the file", "[mesh]\nname = \"m\"\n[clusters.a]\n", "", {"base.toml:3: clusters"}},
    {"unknown key of the callers",
     "[mesh]\nname = \"m\"\n[callers]\nbody = 1\n",
     "",
     {"base.toml:4: callers.body"}},
    {"a body that no frame holds",
     "[mesh]\nname = \"m\"\n[callers]\nmaximum_body_bytes = 16777217\n",
     "",
     {"base.toml:4: callers.maximum_body_bytes"}},
    {"unknown key of a cluster",
     "[mesh]\nname = \"m\"\n[cluster.a]\nmax_queue = 3\n",
     "",
     {"base.toml:4: cluster.a.max_queue"}},
    {"unknown key of a route", withRoute(plain + "retries = 2\n"), "", {"base.toml:8: route.r.retries"}},
    {"remove in the base file", withRoute(plain + "remove = true\n"), "", {"base.toml:8: route.r.remove"}},
    {"text where a number belongs",
     "[mesh]\nname = \"m\"\n[cluster.a]\nmaximum_queue = \"3\"\n",
     "",
     {"base.toml:4: cluster.a.maximum_queue"}},
    {"number where text belongs",
     withRoute("prefix = 3\ncluster = \"booking\"\n"),
     "",
     {"base.toml:6: route.r.prefix"}},
    {"fraction", withRoute(plain + "timeout_ms = 2.0\n"), "", {"base.toml:8: route.r.timeout_ms"}},
    {"number where a flag belongs", withRoute(plain + "hedged = 1\n"), "", {"base.toml:8: route.r.hedged"}},
    {"text where a list belongs",
     withRoute(plain + "methods = \"GET\"\n"),
     "",
     {"base.toml:8: route.r.methods"}},
    {"number in a list of texts",
     withRoute(plain + "methods = [\"GET\", 1]\n"),
     "",
     {"base.toml:8: route.r.methods"}},
    {"method in small letters",
     withRoute(plain + "methods = [\"get\"]\n"),
     "",
     {"base.toml:8: route.r.methods"}},
    {"method named twice",
     withRoute(plain + "methods = [\"GET\", \"GET\"]\n"),
     "",
     {"base.toml:8: route.r.methods"}},
    {"queue of zero",
     "[mesh]\nname = \"m\"\n[cluster.a]\nmaximum_queue = 0\n",
     "",
     {"base.toml:4: cluster.a.maximum_queue"}},
    {"negative timeout", withRoute(plain + "timeout_ms = -5\n"), "", {"base.toml:8: route.r.timeout_ms"}},
    {"timeout of a day",
     withRoute(plain + "timeout_ms = 86400000\n"),
     "",
     {"base.toml:8: route.r.timeout_ms"}},
    {"eleven retries",
     withRoute(plain + "maximum_retries = 11\n"),
     "",
     {"base.toml:8: route.r.maximum_retries"}},
    {"class that is none", withRoute(plain + "class = \"urgent\"\n"), "", {"base.toml:8: route.r.class"}},
    {"prefix without a slash",
     withRoute("prefix = \"r\"\ncluster = \"booking\"\n"),
     "",
     {"base.toml:6: route.r.prefix"}},
    {"empty prefix",
     withRoute("prefix = \"\"\ncluster = \"booking\"\n"),
     "",
     {"base.toml:6: route.r.prefix"}},
    {"route without a name",
     "[mesh]\nname = \"m\"\n[[route]]\nprefix = \"/\"\n",
     "",
     {"base.toml:3: route.name"}},
    {"route without prefix and cluster",
     withRoute(""),
     "",
     {"base.toml:5: route.r.cluster", "base.toml:5: route.r.prefix"}},
    {"route written as a table",
     "[mesh]\nname = \"m\"\n[route.a]\nprefix = \"/\"\n",
     "",
     {"base.toml:3: route"}},
    {"cluster that is no table", "[mesh]\nname = \"m\"\n[cluster]\na = 3\n", "", {"base.toml:4: cluster.a"}},
    {"dangling route",
     withRoute("prefix = \"/r\"\ncluster = \"bookin\"\n"),
     "",
     {"base.toml:7: route.r.cluster"}},
    {"route whose cluster the overlay removes",
     withRoute(plain),
     "[cluster.booking]\nremove = true\n",
     {"base.toml:7: route.r.cluster"}},
    {"route of an overlay that dangles",
     withRoute(plain),
     "\n[[route]]\nname = \"extra\"\nprefix = \"/e\"\ncluster = \"nowhere\"\n",
     {"sj-1.toml:5: route.extra.cluster"}},
    {"two routes of one name",
     withRoute(plain + "[[route]]\nname = \"r\"\nprefix = \"/other\"\ncluster = \"booking\"\n"),
     "",
     {"base.toml:8: route.r.name"}},
    {"two routes for the same calls",
     withRoute(plain + "[[route]]\nname = \"s\"\nprefix = \"/r/\"\ncluster = \"booking\"\n"),
     "",
     {"base.toml:10: route.s.prefix"}},
    {"an overlay's route for the same calls",
     withRoute(plain + "methods = [\"GET\", \"PUT\"]\n"),
     "[[route]]\nname = \"s\"\nprefix = \"/r\"\ncluster = \"booking\"\nmethods = [\"PUT\"]\n",
     {"sj-1.toml:3: route.s.prefix"}},
    {"hedged though not idempotent",
     withRoute(plain + "class = \"non_idempotent\"\nhedged = true\n"),
     "",
     {"base.toml:9: route.r.hedged"}},
    {"retried though not idempotent",
     withRoute(plain + "idempotent = false\nmaximum_retries = 1\n"),
     "",
     {"base.toml:9: route.r.maximum_retries"}},
    {"an overlay hedges what is not idempotent",
     withRoute(plain + "class = \"non_idempotent\"\n"),
     "[[route]]\nname = \"r\"\nhedged = true\n",
     {"sj-1.toml:3: route.r.hedged"}},
    {"class and flag contradict",
     withRoute(plain + "class = \"non_idempotent\"\nidempotent = true\n"),
     "",
     {"base.toml:9: route.r.idempotent"}},
    {"requires a service that no file has",
     withRoute(plain + "requires = [\"bookng\"]\n"),
     "",
     {"base.toml:8: route.r.requires"}},
    {"removes a route that is not there",
     withRoute(plain),
     "[[route]]\nname = \"q\"\nremove = true\n",
     {"sj-1.toml:2: route.q"}},
    {"removes a cluster that is not there",
     withRoute(plain),
     "[cluster.other]\nremove = true\n",
     {"sj-1.toml:1: cluster.other"}},
    {"mesh in an overlay", withRoute(plain), "[mesh]\nname = \"x\"\n", {"sj-1.toml:1: mesh"}},
    {"several faults at once",
     "[mesh]\nname = \"m\"\n[cluster.a]\nmaximum_queue = 0\nspeed = 1\n[[route]]\nname = \"r\"\nprefix = "
     "\"r\"\n",
     "colour = 1\n",
     {"base.toml:4: cluster.a.maximum_queue", "base.toml:5: cluster.a.speed", "base.toml:8: route.r.prefix",
      "sj-1.toml:1: colour"}},
};

std::string placesOf(const RenderResult &result)
{
    std::string all;
    for (const SourceError &error : result.errors)
        all += error.describe() + "\n";
    return all;
}

const Route *findRoute(const RenderedSite &site, const std::string &name)
{
    for (const Section &section : site.sections) {
        for (const Route &route : section.routes) {
            if (route.name == name)
                return &route;
        }
    }
    return nullptr;
}

} // namespace

// An operator at two in the morning mistypes a key. The file must be refused before anything is accepted, and
// the message must lead to the line; a key that were ignored would leave a limit out everywhere.
TABLE_TEST(sourceFiles, faultsNameFileLineAndKey, faultRows)
{
    const RenderResult result = renderSites({"base.toml", row.base}, {{"overlays/sj-1.toml", row.overlay}});
    cr_assert(result.sites.empty(), "%s", row.name);
    cr_assert(result.errors.size() == row.places.size(), "%s:\n%s", row.name, placesOf(result).c_str());
    for (std::size_t i = 0; i < row.places.size(); ++i) {
        std::string wanted = row.places[i];
        if (wanted.starts_with("sj-1"))
            wanted.insert(0, "overlays/");
        const std::string given = result.errors[i].describe();
        cr_assert(given.starts_with(wanted + ": "), "%s: %s", row.name, given.c_str());
    }
}

Test(sourceFiles, defaultsFollowClassAndCluster)
{
    const RenderResult result =
        renderSites({"base.toml", goodBase}, {{"sj-1.toml", ""}, {"sj-2.toml", "[cluster.archive]"}});
    cr_assert(result.errors.empty(), "%s", placesOf(result).c_str());
    cr_assert(result.mesh == "borgbillet");
    cr_assert(result.sites.size() == 2);
    const RenderedSite &site = result.sites[0];
    cr_assert(site.site == "sj-1");
    cr_assert(site.sections.size() == 2);
    cr_assert(site.sections[0].maximumQueue == 32);
    const Route *slots = findRoute(site, "slots");
    cr_assert(slots->idempotent && slots->maximumRetries == 1 && slots->timeout == Milliseconds(800));
    const Route *reserve = findRoute(site, "reserve");
    cr_assert(!reserve->idempotent && reserve->maximumRetries == 0 && reserve->timeout == Milliseconds(3000));
    cr_assert(checkSite(makeSiteConfiguration(1, site.site, site.sections)).has_value());
}

// The base file states what callers may send; an overlay changes one of the values for its site.
Test(sourceFiles, limitsOfCallersFollowTheOverlay)
{
    const std::string callers = "[callers]\nmaximum_body_bytes = 3000000\nidle_timeout_ms = 15000\n";
    const RenderResult result = renderSites({"base.toml", goodBase + callers},
                                            {{"sj-1.toml", "[callers]\nmaximum_header_bytes = 2048\n"
                                                           "idle_timeout_ms = 9000\n"},
                                             {"sj-2.toml", "[cluster.archive]"}});
    cr_assert(result.errors.empty(), "%s", placesOf(result).c_str());
    const CallerLimits changed{2048, 3000000, Milliseconds(0), Milliseconds(9000)};
    const CallerLimits plain{0, 3000000, Milliseconds(0), Milliseconds(15000)};
    cr_assert(result.sites[0].limits == changed);
    cr_assert(result.sites[1].limits == plain);
}

// A route that depends on a service is there only where the service is, and follows it when it comes.
Test(sourceFiles, aRouteFollowsTheServicesItRequires)
{
    const RenderResult result =
        renderSites({"base.toml", goodBase},
                    {{"sj-1.toml", ""}, {"x/other.toml", "site = \"sj-2\"\n[cluster.archive]\n"}});
    cr_assert(result.errors.empty(), "%s", placesOf(result).c_str());
    cr_assert(findRoute(result.sites[0], "schools") == nullptr);
    cr_assert(result.sites[1].site == "sj-2");
    cr_assert(findRoute(result.sites[1], "schools") != nullptr);
}

Test(sourceFiles, overlaysChangeOnlyTheirSite)
{
    const std::string change =
        "[cluster.booking]\nmaximum_queue = 7\n[[route]]\nname = \"slots\"\nhedged = true\n"
        "[[route]]\nname = \"reserve\"\nremove = true\n[cluster.archive]\n";
    const RenderResult result =
        renderSites({"base.toml", goodBase}, {{"sj-2.toml", ""}, {"sj-1.toml", change}});
    cr_assert(result.errors.empty(), "%s", placesOf(result).c_str());
    cr_assert(result.sites[0].sections[1].maximumQueue == 7);
    cr_assert(findRoute(result.sites[0], "slots")->hedged);
    cr_assert(findRoute(result.sites[0], "slots")->prefix == "/slots");
    cr_assert(findRoute(result.sites[0], "reserve") == nullptr);
    cr_assert(result.sites[1].sections[0].maximumQueue == 32);
    cr_assert(!findRoute(result.sites[1], "slots")->hedged);
    cr_assert(findRoute(result.sites[1], "reserve") != nullptr);
}

Test(sourceFiles, oneSiteHasOneOverlay)
{
    const RenderResult twice = renderSites(
        {"base.toml", goodBase}, {{"sj-1.toml", "[cluster.archive]"}, {"b.toml", "site = \"sj-1\""}});
    cr_assert(twice.errors.size() == 1);
    cr_assert(twice.errors[0].describe().starts_with("b.toml:1: site: duplicate"));
    cr_assert(renderSites({"base.toml", goodBase}, {}).errors.size() == 1);
}

Test(sourceFiles, aFaultOfTheBaseFileIsReportedOnce)
{
    const SourceFile base{"base.toml", withRoute(plain + "idempotent = false\nhedged = true\n")};
    cr_assert(renderSites(base, {{"sj-1.toml", ""}, {"sj-2.toml", ""}, {"sj-3.toml", ""}}).errors.size()
              == 1);
}
