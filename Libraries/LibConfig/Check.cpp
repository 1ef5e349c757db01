// Checks of a site: see Check.h.
#include <LibConfig/Check.h>
#include <LibConfig/Encoding.h>

#include <algorithm>
#include <map>
#include <set>

namespace Sagecrank {

namespace {

constexpr auto step = "check site";

Error invalid(const std::string &where, const std::string &message)
{
    return makeError(ErrorKind::InvalidInput, step, where, message);
}

Result<void> checkReferences(const SiteConfiguration &configuration)
{
    const auto &references = configuration.manifest.sections;
    if (references.size() != configuration.sections.size())
        return invalid(configuration.manifest.site, "the number of sections differs from the manifest's");
    for (std::size_t i = 0; i < references.size(); ++i) {
        if (i > 0 && references[i - 1].cluster >= references[i].cluster)
            return invalid(references[i].cluster, "clusters are not sorted, or one is named twice");
        if (configuration.sections[i].cluster != references[i].cluster)
            return invalid(references[i].cluster, "the section belongs to another cluster");
        if (sectionDigest(configuration.sections[i]) != references[i].digest)
            return invalid(references[i].cluster, "the section's digest differs from the manifest's");
    }
    return success();
}

Result<void> checkUnique(const SiteConfiguration &configuration)
{
    std::set<std::string_view> names;
    std::map<std::pair<std::string_view, std::string_view>, std::vector<const Route *>> byMatch;
    for (const Section &section : configuration.sections) {
        for (const Route &route : section.routes) {
            TRY_VOID(checkRoute(route));
            if (!names.insert(route.name).second)
                return invalid(route.name, "two routes have this name");
            auto &same = byMatch[{route.host, normalisedPrefix(route.prefix)}];
            for (const Route *other : same) {
                if (methodsOverlap(*other, route))
                    return invalid(route.name, "matches the same calls as route " + other->name);
            }
            same.push_back(&route);
        }
    }
    return success();
}

// A part that points at an absent service would lose its share of the route's calls.
Result<void> checkSplits(const SiteConfiguration &configuration)
{
    std::set<std::string_view> clusters;
    for (const Section &section : configuration.sections)
        clusters.insert(section.cluster);
    for (const Section &section : configuration.sections) {
        for (const Route &route : section.routes) {
            for (const WeightedCluster &part : route.split) {
                if (!clusters.contains(part.cluster))
                    return invalid(route.name, "splits to the unknown service " + part.cluster);
            }
        }
    }
    return success();
}

Result<void> checkSplit(const Route &route)
{
    std::uint64_t weights = 0;
    for (const WeightedCluster &part : route.split)
        weights += part.weight;
    if (!route.split.empty() && weights == 0)
        return invalid(route.name, "all parts of the split have weight 0");
    return success();
}

// The name travels in a header, so it must be one visible word.
bool isAccountName(std::string_view name)
{
    return !name.empty() && name.size() <= maximumAccountNameLength
           && std::all_of(name.begin(), name.end(), [](char letter) { return letter > ' ' && letter < 127; });
}

Result<void> checkAccounts(const SiteConfiguration &configuration)
{
    const std::vector<Account> &accounts = configuration.accounts;
    if (accountsDigest(accounts) != configuration.manifest.accounts)
        return invalid(configuration.manifest.site, "the digest of the accounts differs from the manifest's");
    if (!accounts.empty() && !configuration.manifest.keysRequired)
        return invalid(configuration.manifest.site, "has accounts but requires no keys");
    std::set<KeyDigest> keys;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        TRY_VOID(checkAccount(accounts[i]));
        if (i > 0 && accounts[i - 1].name >= accounts[i].name)
            return invalid(accounts[i].name, "accounts are not sorted, or one is named twice");
        for (const KeyDigest &key : accounts[i].keys) {
            if (!keys.insert(key).second)
                return invalid(accounts[i].name, "has a key twice, or the key of another account");
        }
    }
    return success();
}

} // namespace

Result<void> checkAccount(const Account &account)
{
    if (!isAccountName(account.name))
        return invalid(account.name.substr(0, maximumAccountNameLength),
                       "an account name is 1 to 200 visible ASCII characters");
    const auto isRate = [](double value) { return value >= 0 && value <= maximumAccountRate; };
    if (!isRate(account.callsPerSecond) || !isRate(account.burst))
        return invalid(account.name, "the rate or the burst is outside 0 to 1000000000");
    return success();
}

std::string_view normalisedPrefix(std::string_view prefix)
{
    while (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return prefix;
}

bool methodsOverlap(const Route &first, const Route &second)
{
    if (first.methods.empty() || second.methods.empty())
        return first.methods.empty() && second.methods.empty();
    return std::any_of(first.methods.begin(), first.methods.end(), [&](const std::string &method) {
        return std::find(second.methods.begin(), second.methods.end(), method) != second.methods.end();
    });
}

Result<void> checkRoute(const Route &route)
{
    if (route.name.empty() || route.name.size() > maximumTextLength)
        return invalid(route.name, "the name is empty or longer than 1024 characters");
    if (!route.prefix.starts_with('/') || route.prefix.size() > maximumTextLength)
        return invalid(route.name, "the prefix does not start with '/' or is longer than 1024 characters");
    if (callClassNames.name(route.callClass) == "unknown")
        return invalid(route.name, "the class is unknown");
    if (route.timeout <= Milliseconds(0) || route.timeout > maximumTimeout)
        return invalid(route.name, "the timeout is outside 1 to 600000 ms");
    if (route.maximumRetries > maximumRetriesLimit)
        return invalid(route.name, "more than 10 retries");
    if (route.callClass == CallClass::NonIdempotent && route.idempotent)
        return invalid(route.name, "the class is non_idempotent but the route is marked idempotent");
    // A second copy of such a call could run twice, which callers see as a doubled reservation.
    if (!route.idempotent && (route.hedged || route.maximumRetries > 0))
        return invalid(route.name, "a route that is not idempotent may be neither retried nor hedged");
    return checkSplit(route);
}

Result<void> checkSite(const SiteConfiguration &configuration)
{
    TRY_VOID(checkReferences(configuration));
    TRY_VOID(checkUnique(configuration));
    TRY_VOID(checkAccounts(configuration));
    return checkSplits(configuration);
}

} // namespace Sagecrank
