// Accounts as part of a site: what is refused, and that a change costs only what changed.
#include <LibConfig/Check.h>
#include <LibConfig/Delta.h>
#include <LibConfig/Snapshot.h>
#include <LibConfig/SourceFiles.h>

#include <LibConfig/Samples.h>
#include <Support/TableTest.h>

#include <functional>

using namespace Sagecrank;

namespace {

Account sampleAccount(std::uint32_t number)
{
    const std::string name = "account-" + std::to_string(number);
    return {name, {digestOfKey("first-" + name), digestOfKey("second-" + name)}, number % 3, 10.5, 20};
}

std::vector<Account> sampleAccounts(std::uint32_t count)
{
    std::vector<Account> accounts;
    for (std::uint32_t number = 0; number < count; ++number)
        accounts.push_back(sampleAccount(number));
    return accounts;
}

SiteConfiguration siteWith(std::uint64_t version, std::vector<Account> accounts)
{
    SiteConfiguration site = sampleSite(version, {sampleSection("booking")});
    setAccounts(site, std::move(accounts));
    return site;
}

struct InvalidRow
{
    const char *what;
    std::vector<Account> accounts;
};

const InvalidRow invalidRows[] = {
    {"no name", {{"", {}}}},
    {"a name that would end its header", {{"a\r\nX: 1", {}}}},
    {"a name too long for a header", {{std::string(201, 'a'), {}}}},
    {"one name twice", {{"a", {digestOfKey("k1")}}, {"a", {digestOfKey("k2")}}}},
    {"one key in two accounts", {{"a", {digestOfKey("k1")}}, {"b", {digestOfKey("k1")}}}},
    {"a negative rate", {{"a", {}, 1, -1, 0}}},
    {"a burst that is no number", {{"a", {}, 1, 1, std::numeric_limits<double>::quiet_NaN()}}},
};

struct ChangeRow
{
    const char *what;
    std::function<void(std::vector<Account> &)> change;
};

const ChangeRow smallChanges[] = {
    {"a key is revoked", [](auto &accounts) { accounts[500].keys.pop_back(); }},
    {"a rate is lowered", [](auto &accounts) { accounts[500].callsPerSecond = 1; }},
    {"an account more", [](auto &accounts) { accounts.push_back(sampleAccount(100000)); }},
    {"an account less", [](auto &accounts) { accounts.erase(accounts.begin() + 7); }},
};

const std::string base =
    "[mesh]\nname = \"m\"\n[cluster.booking]\n"
    "[[route]]\nname = \"open\"\nprefix = \"/open\"\ncluster = \"booking\"\npublic = true\n"
    "[[account]]\nname = \"tours\"\nkeys = [\"k1\", \"k2\"]\npriority = 0\n"
    "rate_per_second = 10.5\nburst = 20\n";

struct FaultRow
{
    const char *what;
    std::string overlay;
    const char *place; // Empty: no fault.
};

const FaultRow faultRows[] = {
    {"nothing changed", "", ""},
    {"a key replaced", "[[account]]\nname = \"tours\"\nkeys = [\"k3\"]\n", ""},
    {"an account more", "[[account]]\nname = \"schools\"\nkeys = [\"k3\"]\n", ""},
    {"the key of another account", "[[account]]\nname = \"schools\"\nkeys = [\"k1\"]\n",
     "o.toml:3: account.schools.keys: names a key of account tours"},
    {"one key twice", "[[account]]\nname = \"schools\"\nkeys = [\"k3\", \"k3\"]\n",
     "o.toml:3: account.schools.keys: names a value twice"},
    {"a negative rate", "[[account]]\nname = \"schools\"\nrate_per_second = -1\n",
     "o.toml:3: account.schools.rate_per_second: is outside the allowed range"},
    {"removing an unknown account", "[[account]]\nname = \"schools\"\nremove = true\n",
     "o.toml:2: account.schools: there is no such account to remove"},
    {"a name with a space", "[[account]]\nname = \"a b\"\n",
     "o.toml:2: account.a b: an account name is 1 to 200 visible ASCII characters"},
};

} // namespace

TABLE_TEST(accounts, invalidOnesAreRefused, invalidRows)
{
    cr_assert(!checkSite(siteWith(1, row.accounts)), "%s", row.what);
}

// Each revocation would otherwise send 10,000 accounts to every node.
TABLE_TEST(accounts, aSmallChangeIsASmallDelta, smallChanges)
{
    std::vector<Account> accounts = sampleAccounts(10000);
    const SiteConfiguration held = siteWith(1, accounts);
    row.change(accounts);
    const SiteConfiguration next = siteWith(2, accounts);
    const ObjectBytes bytes = encodeDelta(makeDelta(held, next));
    cr_assert_leq(bytes.size(), 400u, "%s: %zu bytes", row.what, bytes.size());
    const Result<SiteConfiguration> applied = applyDelta(held, decodeDelta(bytes).value());
    cr_assert(applied.has_value(), "%s", row.what);
    cr_assert(applied.value().manifest == next.manifest && applied.value().accounts == next.accounts, "%s",
              row.what);
}

// A node that lost the accounts on the way would let everyone in.
Test(accounts, reachANodeThatHoldsNothing)
{
    const SiteConfiguration next = siteWith(2, sampleAccounts(72));
    SiteConfiguration empty;
    empty.manifest.site = next.manifest.site;
    const auto applied = applyDelta(empty, decodeDelta(encodeDelta(makeDelta(empty, next))).value());
    cr_assert(applied.has_value());
    cr_assert(applied.value().accounts == next.accounts && applied.value().manifest.keysRequired);
    const auto assembled = assemble(next.manifest, sectionBytes(next));
    cr_assert(assembled.has_value() && assembled.value().accounts == next.accounts);
}

Test(accounts, leaveWithTheVersionThatRemovesThem)
{
    const SiteConfiguration held = siteWith(1, sampleAccounts(3));
    const SiteConfiguration next = sampleSite(2, {sampleSection("booking")});
    const auto applied = applyDelta(held, decodeDelta(encodeDelta(makeDelta(held, next))).value());
    cr_assert(applied.has_value() && applied.value().accounts.empty());
    cr_assert(!applied.value().manifest.keysRequired);
}

// Sites without accounts keep the bytes, and so the digests, that they had before there were any.
Test(accounts, costNothingWhereThereAreNone)
{
    SiteManifest manifest = sampleSite(1, {sampleSection("booking")}).manifest;
    const std::size_t without = encodeSite(manifest).size();
    manifest.keysRequired = true;
    cr_assert_gt(encodeSite(manifest).size(), without);
    cr_assert_eq(without, 1u + 2 + 2 + manifest.sections[0].cluster.size() + 16);
}

TABLE_TEST(accounts, filesAreCheckedAtTheirLines, faultRows)
{
    const RenderResult rendered = renderSites({"b.toml", base}, {{"o.toml", row.overlay}});
    const std::string first = rendered.errors.empty() ? "" : rendered.errors.front().describe();
    cr_assert(first == row.place, "%s: %s", row.what, first.c_str());
}

Test(accounts, areReadFromFilesAsDigests)
{
    const RenderResult rendered = renderSites({"b.toml", base}, {{"o.toml", ""}});
    cr_assert(rendered.errors.empty());
    const RenderedSite &site = rendered.sites.front();
    cr_assert(site.sections.front().routes.front().isPublic);
    cr_assert(site.accounts.size() == 1 && site.accounts.front().keys.front() == digestOfKey("k1"));
    cr_assert(site.accounts.front().priority == 0 && site.accounts.front().callsPerSecond == 10.5);
}
