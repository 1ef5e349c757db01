// Configurations of a given size.
#include "SampleSite.h"

#include <LibConfig/Assemble.h>

namespace Sagecrank {

SiteConfiguration makeSite(const std::string &site, std::uint64_t version, std::size_t services,
                           std::size_t routes, std::size_t changed)
{
    std::vector<Section> sections;
    for (std::size_t i = 0; i < services; ++i) {
        Section section;
        section.cluster = "service-" + std::to_string(i);
        section.maximumQueue = i < changed ? 64 + static_cast<std::uint32_t>(version) : 64;
        for (std::size_t r = 0; r < routes; ++r) {
            Route route;
            route.name = "route-" + std::to_string(i) + "-" + std::to_string(r);
            route.prefix = "/service-" + std::to_string(i) + "/resource-" + std::to_string(r);
            route.methods = {"GET", "HEAD"};
            section.routes.push_back(std::move(route));
        }
        sections.push_back(std::move(section));
    }
    return makeSiteConfiguration(version, site, std::move(sections));
}

} // namespace Sagecrank
