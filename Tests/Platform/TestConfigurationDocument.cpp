// Tests decoding of the operator's configuration document.
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

struct InvalidRow
{
    const char *what;
    std::string document;
};

const InvalidRow invalidRows[] = {
    {"cut short", goodDocument.substr(0, 300)},
    {"no version", replaced("\"version\":7,", "")},
    {"version of another type", replaced("\"version\":7", "\"version\":\"7\"")},
    {"services of another type", replaced("\"clusters\":[", "\"clusters\":[3,")},
    {"no limits", replaced("\"limits\"", "\"bounds\"")},
    {"a host of another type", replaced("\"listeners\":[", "\"listeners\":[3,")},
};

struct KindRow
{
    const char *kind;
    bool idempotent;
    std::size_t warnings;
};

const KindRow kindRows[] = {
    {"safe", true, 0},    {"download", true, 0}, {"unsafe", false, 0},
    {"upload", false, 0}, {"once", false, 1},    {"SAFE", false, 1},
};

const InvalidRow invalidRules[] = {
    {"no unit", replaced("\"800ms\"", "\"800\"")},
    {"unknown service", replaced("\"service\":\"booking\",\"timeout\"", "\"service\":\"other\",\"timeout\"")},
    {"no service", replaced("\"service\":\"booking\",\"timeout\"", "\"timeout\"")},
    {"kind of another type", replaced("\"unsafe\"", "4")},
    {"priority of another type", replaced("\"priority\":1", "\"priority\":\"high\"")},
    {"empty split", replaced("\"service\":\"booking\",\"timeout\"", "\"weightedSplit\":[],\"timeout\"")},
    {"split to an unknown service", replaced("\"service\":\"booking\",\"timeout\"",
                                             "\"weightedSplit\":[{\"service\":\"booking\",\"weight\":1},"
                                             "{\"service\":\"other\",\"weight\":1}],\"timeout\"")},
};

std::shared_ptr<const SiteConfiguration> decoded(const std::string &document)
{
    auto configuration = Platform::decodeConfiguration(document, "site");
    cr_assert(configuration.has_value());
    auto shared = std::make_shared<const SiteConfiguration>(std::move(configuration).assume_value());
    cr_assert(checkSite(*shared).has_value());
    return shared;
}

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

// The document is damaged or has another structure. Applying a part of it would remove hosts with all their
// routes, so it is rejected entirely and the previous version stays in force.
TABLE_TEST(configurationDocument, invalidDocumentIsRejectedEntirely, invalidRows)
{
    const auto decoded = Platform::decodeConfiguration(row.document, "site");
    cr_assert(!decoded.has_value(), "%s", row.what);
    cr_assert(decoded.error().kind == ErrorKind::InvalidInput);
}

// A rule has an unknown kind. Rejecting the document would leave the whole mesh without routes, and retrying
// the rule's requests could run one of them twice. The other rules are served, and its requests run at most
// once.
TABLE_TEST(configurationDocument, onlySafeKindIsIdempotent, kindRows)
{
    const auto configuration = decoded(replaced("\"unsafe\"", "\"" + std::string(row.kind) + "\""));
    cr_assert(configuration->doubts.size() == row.warnings, "%s", row.kind);
    const Snapshot snapshot(configuration);
    const Route &pay = *snapshot.match("ficu95.example", "POST", "/pay/7")->route;
    cr_assert(pay.idempotent == row.idempotent, "%s", row.kind);
    cr_assert(pay.maximumRetries == (row.idempotent ? 1U : 0U), "%s", row.kind);
    cr_assert(snapshot.match("ficu95.example", "POST", "/pay/7")->section->cluster == "booking");
    cr_assert(snapshot.match("ficu95.example", "GET", "/look/a") != nullptr);
}

// One rule is invalid. All other rules are served. Its own requests are rejected as not run; a shorter prefix
// must not match them, because they would run at the wrong service.
TABLE_TEST(configurationDocument, invalidRuleAffectsOnlyItself, invalidRules)
{
    std::string document = row.document;
    const std::string rules = "\"ruleSet\":[";
    document.insert(document.find(rules) + rules.size(),
                    R"({"name":"r-0","kind":"safe","targetLatency":"1s","priority":3,"match":{"prefix":"/"},
                        "action":{"service":"entry","timeout":"1s","maxAttempts":2}},)");
    const auto configuration = decoded(document);
    cr_assert(configuration->doubts.size() == 1, "%s", row.what);
    const Snapshot snapshot(configuration);
    const RouteEntry *pay = snapshot.match("ficu95.example", "POST", "/pay/7");
    cr_assert(pay != nullptr && pay->section->cluster == unservedCluster, "%s", row.what);
    cr_assert(!pay->route->idempotent && pay->route->maximumRetries == 0 && pay->route->split.empty());
    cr_assert(snapshot.match("ficu95.example", "GET", "/look/a")->route->split.size() == 2, "%s", row.what);
    cr_assert(snapshot.match("ficu95.example", "GET", "/else/a")->section->cluster == "entry", "%s",
              row.what);
}

// A rule that is not a JSON object has no match that could be kept; it is skipped and reported.
Test(configurationDocument, malformedRuleIsSkipped)
{
    const auto configuration = decoded(replaced("\"ruleSet\":[", "\"ruleSet\":[3,"));
    cr_assert(configuration->doubts.size() == 1);
    cr_assert(Snapshot(configuration).routeCount() == 2);
}

namespace {

std::string withAccounts(const std::string &accounts)
{
    return replaced("\"listeners\"", "\"tenants\":" + accounts + ",\"listeners\"");
}

struct AccountsRow
{
    const char *what;
    std::string accounts;
    std::vector<std::string> names;
    std::size_t warnings;
};

const AccountsRow accountsRows[] = {
    {"two accounts",
     R"([{"name":"b","apiKeys":["k1"],"priority":1,"ratePerS":385,"burst":10.5},{"name":"a","apiKeys":[]}])",
     {"a", "b"},
     0},
    {"none", "[]", {}, 0},
    {"one is no object", R"([7,{"name":"a","apiKeys":[]}])", {"a"}, 1},
    {"one has no name", R"([{"apiKeys":["k1"]},{"name":"a","apiKeys":[]}])", {"a"}, 1},
    {"one has no keys", R"([{"name":"b"},{"name":"a","apiKeys":[]}])", {"a"}, 1},
    {"a key of another type", R"([{"name":"b","apiKeys":[4]},{"name":"a","apiKeys":[]}])", {"a"}, 1},
    {"a negative rate", R"([{"name":"b","apiKeys":[],"ratePerS":-1},{"name":"a","apiKeys":[]}])", {"a"}, 1},
    {"a name that would end its header", R"([{"name":"b\r\nX: 1","apiKeys":[]}])", {}, 1},
    {"one name twice", R"([{"name":"a","apiKeys":["k1"]},{"name":"a","apiKeys":["k2"]}])", {"a"}, 1},
};

} // namespace

// An account that cannot be read costs only itself, and its site stays closed to callers without keys.
TABLE_TEST(configurationDocument, decodesAccounts, accountsRows)
{
    const auto configuration = decoded(withAccounts(row.accounts));
    cr_assert(configuration->manifest.keysRequired, "%s", row.what);
    cr_assert_eq(configuration->doubts.size(), row.warnings, "%s", row.what);
    std::vector<std::string> names;
    for (const Account &account : configuration->accounts)
        names.push_back(account.name);
    cr_assert(names == row.names, "%s", row.what);
}

// A key of two accounts would otherwise pass for one of them by chance.
Test(configurationDocument, aKeyOfTwoAccountsIsAcceptedForNeither)
{
    const auto configuration =
        decoded(withAccounts(R"([{"name":"a","apiKeys":["k1","k2"]},{"name":"b","apiKeys":["k1"]}])"));
    const Snapshot snapshot(configuration);
    cr_assert(snapshot.accountOf(digestOfKey("k1")) == nullptr);
    cr_assert(snapshot.accountOf(digestOfKey("k2")) != nullptr);
    cr_assert_eq(configuration->doubts.size(), 2u);
}
