// The operator's configuration as the platform stores it, and what the project's model makes of it.
#include <LibConfig/Check.h>
#include <LibConfig/Snapshot.h>
#include <Support/TableTest.h>
#include <platform/ConfigurationDocument.h>

using namespace Sagecrank;

namespace {

const std::string goodDocument = R"({"version":7,
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15s"},
"listeners":[{"host":"Ficu95.example","ruleSet":[
 {"name":"r-1","kind":"unsafe","targetLatency":"250ms","priority":1,"match":{"prefix":"/pay/"},
  "action":{"service":"booking","timeout":"800ms","maxAttempts":2}},
 {"name":"r-2","kind":"safe","targetLatency":"200ms","priority":2,"match":{"prefix":"/look/"},
  "action":{"weightedSplit":[{"service":"booking","weight":90},{"service":"entry","weight":10}],
            "timeout":"1.2s","maxAttempts":2}}]}],
"clusters":[{"name":"booking","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},
            {"name":"entry","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]})";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = goodDocument;
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct BadRow
{
    const char *what;
    std::string document;
};

const BadRow badRows[] = {
    {"cut short", goodDocument.substr(0, 300)},
    {"no version", replaced("\"version\":7,", "")},
    {"version of another type", replaced("\"version\":7", "\"version\":\"7\"")},
    {"unknown kind", replaced("\"unsafe\"", "\"once\"")},
    {"no unit", replaced("\"800ms\"", "\"800\"")},
    {"unknown service", replaced("\"service\":\"booking\",\"timeout\"", "\"service\":\"other\",\"timeout\"")},
    {"empty split",
     replaced("{\"service\":\"booking\",\"weight\":90},{\"service\":\"entry\",\"weight\":10}", "")},
    {"a rule that is no object", replaced("\"ruleSet\":[", "\"ruleSet\":[3,")},
};

} // namespace

Test(configurationDocument, readsRoutesLimitsAndSplits)
{
    auto decoded = Platform::decodeConfiguration(goodDocument, "site");
    cr_assert(decoded.has_value());
    const auto configuration = std::make_shared<const SiteConfiguration>(std::move(decoded).assume_value());
    cr_assert(checkSite(*configuration).has_value());
    cr_assert(configuration->manifest.version == 7);
    cr_assert(configuration->manifest.limits.headerBytes == 16384);
    cr_assert(configuration->manifest.limits.idleTimeout == Milliseconds(15000));

    const Snapshot snapshot(configuration);
    const RouteEntry *pay = snapshot.match("ficu95.EXAMPLE:80", "POST", "/pay/7?x=1");
    cr_assert(pay != nullptr);
    cr_assert(!pay->route->idempotent && pay->route->maximumRetries == 0);
    cr_assert(pay->route->timeout == Milliseconds(800) && pay->route->priority == 1);
    const RouteEntry *look = snapshot.match("ficu95.example", "GET", "/look/a");
    cr_assert(look != nullptr);
    cr_assert(look->route->idempotent && look->route->maximumRetries == 1);
    cr_assert(look->route->split.size() == 2 && look->route->split[1].weight == 10);
    cr_assert(look->route->targetLatency == Milliseconds(200));
    cr_assert(snapshot.match("other.example", "GET", "/look/a") == nullptr);
    cr_assert(snapshot.match("ficu95.example", "GET", "/lo") == nullptr);
}

// An operator's document is damaged or of another shape. Taken in part, routes would vanish or point at
// services that are not there; so it is refused whole and the version before it stays in force.
TABLE_TEST(configurationDocument, aDamagedOneIsRefusedWhole, badRows)
{
    const auto decoded = Platform::decodeConfiguration(row.document, "site");
    cr_assert(!decoded.has_value(), "%s", row.what);
    cr_assert(decoded.error().kind == ErrorKind::InvalidInput);
}
