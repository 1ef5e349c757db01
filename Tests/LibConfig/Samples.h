// Sites made from a seed for the tests: the same seed gives the same site on every machine.
#pragma once

#include <LibConfig/Assemble.h>

#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

inline Route sampleRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.prefix = prefix;
    return route;
}

inline Section sampleSection(const std::string &cluster, std::uint32_t maximumQueue = 64)
{
    return Section{cluster, maximumQueue, {sampleRoute(cluster + "-all", "/" + cluster)}};
}

inline SiteConfiguration sampleSite(std::uint64_t version, std::vector<Section> sections)
{
    return makeSiteConfiguration(version, "sj-1", std::move(sections));
}

// Adds, removes or alters up to five sections of `sections`.
inline std::vector<Section> changeAtRandom(std::vector<Section> sections, std::mt19937 &random)
{
    const std::uint32_t changes = 1 + random() % 5;
    for (std::uint32_t i = 0; i < changes; ++i) {
        const std::uint32_t kind = random() % 3;
        if (kind == 0 || sections.empty()) {
            sections.push_back(sampleSection("service-" + std::to_string(random())));
        } else if (kind == 1) {
            sections.erase(sections.begin() + random() % sections.size());
        } else {
            sections[random() % sections.size()].maximumQueue = 1 + random() % 1000;
        }
    }
    return sections;
}

} // namespace Sagecrank
