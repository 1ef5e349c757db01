// Route lookup: see Snapshot.h.
#include <LibConfig/Check.h>
#include <LibConfig/Snapshot.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// A port says nothing about the host.
std::string_view hostName(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

// Whether the route serves the path that equals its prefix but for slashes at the end: "/pay/" serves "/pay/"
// and not "/pay".
bool servesWhole(const Route &route, std::string_view path)
{
    return normalisedPrefix(route.prefix).empty() || path.size() >= route.prefix.size();
}

} // namespace

Snapshot::Snapshot(std::shared_ptr<const SiteConfiguration> configuration)
    : held(std::move(configuration))
{
    for (const Section &section : this->held->sections) {
        for (const Route &route : section.routes) {
            this->byHost[route.host][normalisedPrefix(route.prefix)].push_back({&route, &section});
            ++this->routes;
        }
    }
    for (const Account &account : this->held->accounts) {
        for (const KeyDigest &key : account.keys)
            this->byKey.emplace(key, &account);
    }
}

const Account *Snapshot::accountOf(const KeyDigest &key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

const RouteEntry *Snapshot::match(std::string_view host, std::string_view method, std::string_view path) const
{
    auto table = this->byHost.find(hostName(host));
    if (table == this->byHost.end())
        table = this->byHost.find(std::string_view());
    if (table == this->byHost.end())
        return nullptr;
    // One lookup per path segment, from the longest prefix down; the number of routes does not matter.
    const std::string_view asked = path.substr(0, path.find('?'));
    std::string_view prefix = normalisedPrefix(asked);
    while (true) {
        if (const RouteEntry *entry = atPrefix(table->second, prefix, method, asked))
            return entry;
        if (prefix.empty())
            return nullptr;
        const std::size_t slash = prefix.rfind('/');
        prefix = normalisedPrefix(prefix.substr(0, slash == std::string_view::npos ? 0 : slash));
    }
}

const Section *Snapshot::section(std::string_view cluster) const
{
    const auto &sections = this->held->sections;
    const auto found =
        std::lower_bound(sections.begin(), sections.end(), cluster,
                         [](const Section &each, std::string_view name) { return each.cluster < name; });
    return found != sections.end() && found->cluster == cluster ? &*found : nullptr;
}

const RouteEntry *Snapshot::atPrefix(const PrefixTable &table, std::string_view prefix,
                                     std::string_view method, std::string_view path)
{
    const auto found = table.find(prefix);
    if (found == table.end())
        return nullptr;
    const RouteEntry *everyMethod = nullptr;
    for (const RouteEntry &entry : found->second) {
        if (!servesWhole(*entry.route, path))
            continue;
        const auto &methods = entry.route->methods;
        if (methods.empty())
            everyMethod = &entry;
        else if (std::find(methods.begin(), methods.end(), method) != methods.end())
            return &entry;
    }
    return everyMethod;
}

} // namespace Sagecrank
