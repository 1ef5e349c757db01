// Implements Content.h.
#include <Ctl/Content.h>
#include <LibConfig/Assemble.h>

#include <cstdio>
#include <map>

namespace Sagecrank {

namespace {

using Lines = std::map<std::string, std::string>; // Item, such as "route reserve", to its description.

std::string join(const std::vector<std::string> &parts)
{
    std::string all;
    for (const std::string &part : parts)
        all += (all.empty() ? "" : ",") + part;
    return all;
}

// Enough to tell the keys of an account apart.
std::string shortDigest(const KeyDigest &digest)
{
    char text[9];
    std::snprintf(text, sizeof(text), "%02x%02x%02x%02x", digest.bytes[0], digest.bytes[1], digest.bytes[2],
                  digest.bytes[3]);
    return text;
}

std::string shortNumber(double number)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%g", number);
    return text;
}

Lines describeSite(const RenderedSite &site)
{
    Lines lines;
    if (const std::string limits = describeLimits(site.limits); !limits.empty())
        lines["callers"] = limits;
    for (const Account &account : site.accounts)
        lines["account " + account.name] = describeAccount(account);
    for (const Section &section : site.sections) {
        lines["cluster " + section.cluster] = "maximum_queue=" + std::to_string(section.maximumQueue);
        for (const Route &route : section.routes)
            lines["route " + route.name] = describeRoute(route, section.cluster);
    }
    return lines;
}

std::map<std::string, Lines> describeSites(const std::vector<RenderedSite> &sites)
{
    std::map<std::string, Lines> all;
    for (const RenderedSite &site : sites)
        all.emplace(site.site, describeSite(site));
    return all;
}

void compareLines(const std::string &site, const Lines &before, const Lines &after,
                  std::vector<Change> &changes)
{
    for (const auto &[item, line] : before) {
        const auto found = after.find(item);
        if (found == after.end())
            changes.push_back({ChangeKind::Removed, site, item, line, ""});
        else if (found->second != line)
            changes.push_back({ChangeKind::Changed, site, item, line, found->second});
    }
    for (const auto &[item, line] : after) {
        if (before.count(item) == 0)
            changes.push_back({ChangeKind::Added, site, item, "", line});
    }
}

Result<SiteConfiguration> readSite(BlockingClient &client, const VersionManifest &manifest,
                                   const std::string &name, SectionBytes &sectionBytes)
{
    const VersionReader reader(client.objects());
    const SiteManifest site = TRY(client.readWithRetries<SiteManifest>(
        [&](auto callback) { reader.site(manifest, name, std::move(callback)); }));
    for (const SectionReference &section : site.sections) {
        if (sectionBytes.count(section.digest) != 0)
            continue;
        sectionBytes[section.digest] = TRY(client.readWithRetries<ObjectBytes>(
            [&](auto callback) { reader.section(section.digest, std::move(callback)); }));
    }
    if (site.accounts != Digest{} && sectionBytes.count(site.accounts) == 0)
        sectionBytes[site.accounts] = TRY(client.readWithRetries<ObjectBytes>(
            [&](auto callback) { reader.accounts(site.accounts, std::move(callback)); }));
    return assemble(site, sectionBytes);
}

} // namespace

Result<std::vector<RenderedSite>> readVersionContent(BlockingClient &client, const Head &head)
{
    std::vector<RenderedSite> sites;
    if (head.version == 0)
        return sites;
    const VersionReader reader(client.objects());
    const VersionManifest manifest = TRY(client.readWithRetries<VersionManifest>(
        [&](auto callback) { reader.manifest(head, std::move(callback)); }));
    SectionBytes sectionBytes;
    for (const VersionManifest::SiteReference &reference : manifest.sites) {
        SiteConfiguration site = TRY(readSite(client, manifest, reference.site, sectionBytes));
        sites.push_back(
            {reference.site, std::move(site.sections), site.manifest.limits, std::move(site.accounts)});
    }
    return sites;
}

Result<Head> readHeadOfVersion(BlockingClient &client, std::uint64_t version)
{
    const auto row = TRY(client.readWithRetries<std::optional<Row>>(
        [&](auto callback) { client.table().get(historyKey(version), std::move(callback)); }));
    if (!row)
        return makeError(ErrorKind::NotFound, "read history", "",
                         "there is no version " + std::to_string(version));
    const HistoryEntry entry = TRY(parseHistory(*row));
    return Head{entry.version, entry.digest, entry.publishId};
}

std::vector<Change> compareContent(const std::vector<RenderedSite> &before,
                                   const std::vector<RenderedSite> &after)
{
    std::vector<Change> changes;
    const auto oldSites = describeSites(before);
    const auto newSites = describeSites(after);
    for (const auto &[site, lines] : oldSites) {
        const auto found = newSites.find(site);
        if (found == newSites.end())
            changes.push_back(
                {ChangeKind::Removed, site, "site", std::to_string(lines.size()) + " lines", ""});
        else
            compareLines(site, lines, found->second, changes);
    }
    for (const auto &[site, lines] : newSites) {
        if (oldSites.count(site) == 0)
            changes.push_back({ChangeKind::Added, site, "site", "", std::to_string(lines.size()) + " lines"});
    }
    return changes;
}

std::string describeRoute(const Route &route, const std::string &cluster)
{
    std::string text = "prefix=" + route.prefix;
    text += " methods=" + (route.methods.empty() ? std::string("any") : join(route.methods));
    text += " cluster=" + cluster;
    text += " class=" + std::string(callClassNames.name(route.callClass));
    text += route.idempotent ? " idempotent=true" : " idempotent=false";
    text += " timeout_ms=" + std::to_string(route.timeout.count());
    text += " maximum_retries=" + std::to_string(route.maximumRetries);
    text += route.hedged ? " hedged=true" : " hedged=false";
    text += " priority=" + std::to_string(route.priority);
    if (route.targetLatency.count() != 0)
        text += " target_latency_ms=" + std::to_string(route.targetLatency.count());
    if (route.isPublic)
        text += " public=true";
    if (route.largeResponses)
        text += " large_responses=true";
    if (!route.host.empty())
        text += " host=" + route.host;
    for (const WeightedCluster &part : route.split)
        text += " split." + part.cluster + "=" + std::to_string(part.weight);
    return text;
}

std::string describeAccount(const Account &account)
{
    // Digests tell that a key was replaced, and nothing about the key.
    std::string text = "keys=" + std::to_string(account.keys.size());
    for (const KeyDigest &key : account.keys)
        text += (&key == &account.keys.front() ? " key_digests=" : ",") + shortDigest(key);
    text += " priority=" + std::to_string(account.priority);
    if (account.isLimited())
        text += " rate_per_second=" + shortNumber(account.callsPerSecond)
                + " burst=" + shortNumber(account.burst);
    return text;
}

std::string describeLimits(const CallerLimits &limits)
{
    std::string text;
    const auto add = [&text](const char *name, std::uint64_t value) {
        if (value != 0)
            text += (text.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(value);
    };
    add("maximum_header_bytes", limits.headerBytes);
    add("maximum_body_bytes", limits.bodyBytes);
    add("header_timeout_ms", static_cast<std::uint64_t>(limits.headerTimeout.count()));
    add("idle_timeout_ms", static_cast<std::uint64_t>(limits.idleTimeout.count()));
    return text;
}

} // namespace Sagecrank
