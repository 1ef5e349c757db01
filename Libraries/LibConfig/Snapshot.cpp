// Route lookup: see Snapshot.h.
#include <LibConfig/Check.h>
#include <LibConfig/Snapshot.h>

#include <algorithm>

namespace Sagecrank {

Snapshot::Snapshot(std::shared_ptr<const SiteConfiguration> configuration)
    : held(std::move(configuration))
{
    for (const Section &section : this->held->sections) {
        for (const Route &route : section.routes) {
            this->byPrefix[normalisedPrefix(route.prefix)].push_back({&route, &section});
            ++this->routes;
        }
    }
}

const RouteEntry *Snapshot::match(std::string_view method, std::string_view path) const
{
    // One lookup per path segment, from the longest prefix down; the number of routes does not matter.
    std::string_view prefix = normalisedPrefix(path.substr(0, path.find('?')));
    while (true) {
        if (const RouteEntry *entry = this->atPrefix(prefix, method))
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

const RouteEntry *Snapshot::atPrefix(std::string_view prefix, std::string_view method) const
{
    const auto found = this->byPrefix.find(prefix);
    if (found == this->byPrefix.end())
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
