// Authentication of callers: which requests run for which account, and that keys end at the caller's node.
#include <LibConfig/Assemble.h>
#include <Node/Accounts/CallerAccounts.h>
#include <Support/TableTest.h>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

struct KeyRow
{
    const char *what;
    std::vector<Header> headers;
    std::optional<std::string> key;
};

const KeyRow keyRows[] = {
    {"no header", {{"Host", "a"}}, std::nullopt},
    {"a key", {{"Authorization", "Bearer k1"}}, "k1"},
    {"header and scheme in another case", {{"authorization", "bEARER k1"}}, "k1"},
    {"spaces around the key", {{"Authorization", "  Bearer   k1 \t"}}, "k1"},
    {"another scheme", {{"Authorization", "Basic k1"}}, std::nullopt},
    {"a scheme that only begins alike", {{"Authorization", "Bearerk1"}}, std::nullopt},
    {"no key behind the scheme", {{"Authorization", "Bearer "}}, std::nullopt},
    {"the scheme alone", {{"Authorization", "Bearer"}}, std::nullopt},
    {"two keys in one header", {{"Authorization", "Bearer k1 k2"}}, std::nullopt},
    {"a list", {{"Authorization", "Bearer k1,Bearer k2"}}, std::nullopt},
    {"two headers", {{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}}, std::nullopt},
    {"a key of 8 KiB", {{"Authorization", "Bearer " + std::string(8192, 'k')}}, std::string(8192, 'k')},
};

struct IdentifyRow
{
    const char *what;
    const char *key;
    bool isPublic;
    bool mayBeBehind;
    Milliseconds revocation;
    std::optional<Duration> proofAge;
    KeyVerdict expected;
};

constexpr Milliseconds unbounded{0};

const IdentifyRow identifyRows[] = {
    {"a known key", "k1", false, false, unbounded, {}, KeyVerdict::Accepted},
    {"a known key while a newer version is on its way",
     "k1",
     false,
     true,
     unbounded,
     {},
     KeyVerdict::Accepted},
    {"an unknown key", "k9", false, false, unbounded, {}, KeyVerdict::Unknown},
    {"an unknown key that a newer version may bring", "k9", false, true, unbounded, {}, KeyVerdict::InDoubt},
    {"no key", "", false, false, unbounded, {}, KeyVerdict::Missing},
    {"no key on a public route", "", true, false, unbounded, {}, KeyVerdict::NotRequired},
    {"a known key with a recent proof", "k1", false, false, 5000ms, 3900ms, KeyVerdict::Accepted},
    {"a known key that may be revoked", "k1", false, false, 5000ms, 4100ms, KeyVerdict::InDoubt},
    {"a known key without any proof", "k1", false, false, 5000ms, {}, KeyVerdict::InDoubt},
    {"an unknown key with a recent proof", "k9", false, false, 5000ms, 1000ms, KeyVerdict::Unknown},
    {"an unknown key that may be new", "k9", false, false, 5000ms, 1500ms, KeyVerdict::InDoubt},
    {"no key without any proof", "", false, false, 5000ms, {}, KeyVerdict::Missing},
    {"a public route without any proof", "", true, false, 5000ms, {}, KeyVerdict::NotRequired},
};

SiteConfiguration siteWithAccounts()
{
    SiteConfiguration site = makeSiteConfiguration(7, "site", {Section{"booking", 16, {}}});
    setAccounts(site, {{"tours", {digestOfKey("k1"), digestOfKey("k2")}, 0, 10, 20},
                       {"schools", {digestOfKey("k3")}, 2, 0, 0}});
    return site;
}

} // namespace

TABLE_TEST(callerAccounts, findsOneKeyOrNone, keyRows)
{
    const auto found = findKey(row.headers);
    cr_assert_eq(found.has_value(), row.key.has_value(), "%s", row.what);
    if (found)
        cr_assert(*found == *row.key, "%s", row.what);
}

TABLE_TEST(callerAccounts, identifies, identifyRows)
{
    const RcuThread reader;
    BootTime now = 105s;
    EventLog log("node", {});
    FreshnessGuard freshness(
        row.revocation, [&now] { return now; }, log);
    ConfigurationHolder configuration("site", {});
    cr_assert(configuration.offer(siteWithAccounts()).has_value());
    freshness.versionHeld(7, true);
    if (row.proofAge) {
        freshness.storeAnswered({now, now, 5s});
        freshness.headProven(7, 5s);
        now += *row.proofAge;
    }
    const CallerAccounts accounts({}, configuration, freshness, [&row] { return row.mayBeBehind; });
    std::vector<Header> headers;
    if (*row.key != '\0')
        headers.push_back({"Authorization", std::string("Bearer ") + row.key});
    const CallerIdentity caller = accounts.identify(headers, row.isPublic);
    cr_assert(caller.verdict == row.expected, "%s: %s", row.what,
              std::string(keyVerdictNames.name(caller.verdict)).c_str());
    cr_assert(caller.keysRequired);
    cr_assert_eq(caller.account.has_value(), row.expected == KeyVerdict::Accepted, "%s", row.what);
    if (caller.account)
        cr_assert(caller.account->name == "tours" && caller.account->priority == 0, "%s", row.what);
}

// Requests of deployments without accounts keep their Authorization header, which is their upstreams' own.
Test(callerAccounts, asksNothingWithoutAccounts)
{
    const RcuThread reader;
    EventLog log("node", {});
    const FreshnessGuard freshness(
        5000ms, [] { return BootTime(105s); }, log);
    ConfigurationHolder configuration("site", {});
    cr_assert(configuration.offer(makeSiteConfiguration(1, "site", {})).has_value());
    const CallerAccounts accounts({}, configuration, freshness, [] { return false; });
    const CallerIdentity caller = accounts.identify({{"Authorization", "Basic x"}}, false);
    cr_assert(caller.verdict == KeyVerdict::NotRequired && !caller.keysRequired);
}

// A site whose accounts are all unreadable must not become open to everyone.
Test(callerAccounts, staysClosedWithoutReadableAccounts)
{
    const RcuThread reader;
    EventLog log("node", {});
    const FreshnessGuard freshness(
        unbounded, [] { return BootTime(105s); }, log);
    ConfigurationHolder configuration("site", {});
    SiteConfiguration site = makeSiteConfiguration(1, "site", {});
    setAccounts(site, {});
    cr_assert(configuration.offer(site).has_value());
    const CallerAccounts accounts({}, configuration, freshness, [] { return false; });
    cr_assert(accounts.identify({{"Authorization", "Bearer k1"}}, false).verdict == KeyVerdict::Unknown);
}
