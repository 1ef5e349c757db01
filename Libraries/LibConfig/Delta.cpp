// Deltas between versions of a site: see Delta.h.
#include <LibConfig/Archive.h>
#include <LibConfig/Check.h>
#include <LibConfig/Delta.h>

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

namespace Sagecrank {

namespace {

constexpr auto applyStep = "apply delta";

const SectionReference *findReference(const SiteManifest &manifest, const std::string &cluster)
{
    const auto &sections = manifest.sections;
    const auto found = std::lower_bound(
        sections.begin(), sections.end(), cluster,
        [](const SectionReference &reference, const std::string &name) { return reference.cluster < name; });
    return found != sections.end() && found->cluster == cluster ? &*found : nullptr;
}

// Failure: a service with many routes has a section of more bytes than a short length holds. Symptom: a node
// that serves it to a peer ends by an exception, and so does the next one that is asked. Lengths of whole
// sections are long, and bounded by what any object may have.
template <typename Archive>
void blob(Archive &archive, ObjectBytes &value)
{
    auto length = static_cast<std::uint32_t>(value.size());
    archive(length);
    if (length > maximumObjectBytes)
        throw std::length_error("a section above the largest object");
    if constexpr (!Archive::is_saving::value)
        value.resize(length);
    archive(cereal::binary_data(value.data(), value.size()));
}

template <typename Archive>
void routeRun(Archive &archive, RouteRun &value)
{
    archive(value.first, value.count);
    list(archive, value.added, [&](Route &each) { route(archive, each); });
}

template <typename Archive>
void sectionPatch(Archive &archive, SectionPatch &value)
{
    text(archive, value.cluster);
    archive(value.maximumQueue);
    list(archive, value.runs, [&](RouteRun &run) { routeRun(archive, run); });
}

template <typename Archive>
void accountChanges(Archive &archive, SiteDelta &value)
{
    accounts(archive, value.changedAccounts);
    list(archive, value.removedAccounts, [&](std::string &name) { text(archive, name); });
}

template <typename Archive>
void siteDelta(Archive &archive, SiteDelta &value)
{
    text(archive, value.site);
    archive(value.version);
    digest(archive, value.base);
    digest(archive, value.result);
    limits(archive, value.limits);
    list(archive, value.added, [&](ObjectBytes &bytes) { blob(archive, bytes); });
    list(archive, value.patched, [&](SectionPatch &patch) { sectionPatch(archive, patch); });
    list(archive, value.removed, [&](std::string &cluster) { text(archive, cluster); });
}

Result<void> checkBase(const SiteConfiguration &held, const SiteDelta &delta)
{
    if (held.manifest.site != delta.site)
        return makeError(ErrorKind::Conflict, applyStep, delta.site, "the delta is of another site");
    if (delta.version <= held.manifest.version)
        return makeError(ErrorKind::Refused, applyStep, delta.site,
                         "version " + std::to_string(delta.version) + " is not newer than the held "
                             + std::to_string(held.manifest.version));
    if (siteDigest(held.manifest) != delta.base)
        return makeError(ErrorKind::Conflict, applyStep, delta.site, "the held version is not the base");
    return success();
}

// Names of routes are unique within a site, so a route that kept its name and all else is found by it.
SectionPatch makePatch(const Section &from, const Section &to)
{
    std::unordered_map<std::string_view, std::uint32_t> places;
    for (std::uint32_t place = 0; place < from.routes.size(); ++place)
        places.emplace(from.routes[place].name, place);
    SectionPatch patch{to.cluster, to.maximumQueue, {}};
    for (const Route &route : to.routes) {
        const auto found = places.find(route.name);
        if (found == places.end() || from.routes[found->second] != route) {
            if (patch.runs.empty())
                patch.runs.emplace_back();
            patch.runs.back().added.push_back(route);
            continue;
        }
        const bool goesOn = !patch.runs.empty() && patch.runs.back().added.empty()
                            && patch.runs.back().first + patch.runs.back().count == found->second;
        if (goesOn)
            ++patch.runs.back().count;
        else
            patch.runs.push_back({found->second, 1, {}});
    }
    return patch;
}

// The runs come from another process: each has to lie within the base, and all together may be no longer than
// a section can be.
Result<Section> applyPatch(const Section &from, const SectionPatch &patch)
{
    Section section{patch.cluster, patch.maximumQueue, {}};
    for (const RouteRun &run : patch.runs) {
        if (run.first > from.routes.size() || run.count > from.routes.size() - run.first)
            return makeError(ErrorKind::InvalidInput, applyStep, patch.cluster,
                             "a run of routes lies outside of the base");
        if (section.routes.size() + run.count + run.added.size() > maximumShortLength)
            return makeError(ErrorKind::TooLarge, applyStep, patch.cluster,
                             "more routes than a section holds");
        const auto first = from.routes.begin() + run.first;
        section.routes.insert(section.routes.end(), first, first + run.count);
        section.routes.insert(section.routes.end(), run.added.begin(), run.added.end());
    }
    return section;
}

} // namespace

namespace {

std::map<std::string_view, const Account *> byName(const std::vector<Account> &accounts)
{
    std::map<std::string_view, const Account *> found;
    for (const Account &account : accounts)
        found.emplace(account.name, &account);
    return found;
}

void addAccountChanges(const SiteConfiguration &from, const SiteConfiguration &to, SiteDelta &delta)
{
    delta.keysRequired = to.manifest.keysRequired;
    if (from.manifest.accounts == to.manifest.accounts)
        return;
    const auto before = byName(from.accounts);
    const auto after = byName(to.accounts);
    for (const Account &account : to.accounts) {
        const auto found = before.find(account.name);
        if (found == before.end() || *found->second != account)
            delta.changedAccounts.push_back(account);
    }
    for (const Account &account : from.accounts) {
        if (!after.contains(account.name))
            delta.removedAccounts.push_back(account.name);
    }
}

void applyAccountChanges(const SiteConfiguration &held, const SiteDelta &delta, SiteConfiguration &next)
{
    if (!delta.keysRequired)
        return;
    std::map<std::string, Account> accounts;
    for (const Account &account : held.accounts)
        accounts.emplace(account.name, account);
    for (const std::string &name : delta.removedAccounts)
        accounts.erase(name);
    for (const Account &account : delta.changedAccounts)
        accounts.insert_or_assign(account.name, account);
    std::vector<Account> all;
    all.reserve(accounts.size());
    for (auto &entry : accounts)
        all.push_back(std::move(entry.second));
    setAccounts(next, std::move(all));
}

} // namespace

SiteDelta makeDelta(const SiteConfiguration &from, const SiteConfiguration &to)
{
    SiteDelta delta;
    delta.site = to.manifest.site;
    delta.version = to.manifest.version;
    delta.limits = to.manifest.limits;
    delta.base = siteDigest(from.manifest);
    delta.result = siteDigest(to.manifest);
    for (std::size_t i = 0; i < to.sections.size(); ++i) {
        const SectionReference &wanted = to.manifest.sections[i];
        const SectionReference *had = findReference(from.manifest, wanted.cluster);
        if (had == nullptr)
            delta.added.push_back(encodeSection(to.sections[i]));
        else if (had->digest != wanted.digest)
            delta.patched.push_back(
                makePatch(from.sections[had - from.manifest.sections.data()], to.sections[i]));
    }
    for (const SectionReference &had : from.manifest.sections) {
        if (findReference(to.manifest, had.cluster) == nullptr)
            delta.removed.push_back(had.cluster);
    }
    addAccountChanges(from, to, delta);
    return delta;
}

Result<SiteConfiguration> applyDelta(const SiteConfiguration &held, const SiteDelta &delta)
{
    TRY_VOID(checkBase(held, delta));
    std::map<std::string, Section> sections;
    for (const Section &section : held.sections)
        sections.emplace(section.cluster, section);
    for (const std::string &cluster : delta.removed)
        sections.erase(cluster);
    for (const SectionPatch &patch : delta.patched) {
        const auto base = sections.find(patch.cluster);
        if (base == sections.end())
            return makeError(ErrorKind::InvalidInput, applyStep, patch.cluster,
                             "the base has no such section");
        base->second = TRY(applyPatch(base->second, patch));
    }
    for (const ObjectBytes &bytes : delta.added) {
        Section section = TRY(decodeSection(bytes, digestOf(bytes)));
        const std::string cluster = section.cluster;
        sections.insert_or_assign(cluster, std::move(section));
    }
    std::vector<Section> ordered;
    ordered.reserve(sections.size());
    for (auto &entry : sections)
        ordered.push_back(std::move(entry.second));
    SiteConfiguration next = makeSiteConfiguration(delta.version, delta.site, std::move(ordered));
    next.manifest.limits = delta.limits;
    applyAccountChanges(held, delta, next);
    if (siteDigest(next.manifest) != delta.result)
        return makeError(ErrorKind::InvalidInput, applyStep, delta.site,
                         "the result is not the published version");
    TRY_VOID(checkSite(next));
    return next;
}

ObjectBytes encodeDelta(const SiteDelta &delta)
{
    SiteDelta copy = delta;
    return writeBytes([&](auto &archive) {
        siteDelta(archive, copy);
        if (copy.keysRequired)
            accountChanges(archive, copy);
    });
}

Result<SiteDelta> decodeDelta(std::span<const std::byte> bytes)
{
    SiteDelta delta;
    TRY_VOID(readBytes(bytes, "decode delta", [&](auto &archive, const SpanBuffer &rest) {
        siteDelta(archive, delta);
        delta.keysRequired = !rest.atEnd();
        if (delta.keysRequired)
            accountChanges(archive, delta);
    }));
    return delta;
}

} // namespace Sagecrank
