// Route lookup: see Snapshot.h.
#include <LibConfig/Check.h>
#include <LibConfig/Snapshot.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// Names of hosts compare without case, and a port says nothing about the host.
std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
        return static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
    });
    return name;
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
}

const RouteEntry *Snapshot::match(std::string_view host, std::string_view method, std::string_view path) const
{
    auto table = this->byHost.find(hostName(host));
    if (table == this->byHost.end())
        table = this->byHost.find(std::string_view());
    if (table == this->byHost.end())
        return nullptr;
    // One lookup per path segment, from the longest prefix down; the number of routes does not matter.
    std::string_view prefix = normalisedPrefix(path.substr(0, path.find('?')));
    while (true) {
        if (const RouteEntry *entry = atPrefix(table->second, prefix, method))
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
                                     std::string_view method)
{
    const auto found = table.find(prefix);
    if (found == table.end())
        return nullptr;
    const RouteEntry *everyMethod = nullptr;
    for (const RouteEntry &entry : found->second) {
        const auto &methods = entry.route->methods;
        if (methods.empty())
            everyMethod = &entry;
        else if (std::find(methods.begin(), methods.end(), method) != methods.end())
            return &entry;
    }
    return everyMethod;
}

} // namespace Sagecrank
