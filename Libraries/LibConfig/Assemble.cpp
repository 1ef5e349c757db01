// Assembling of a site: see Assemble.h.
#include <LibConfig/Assemble.h>
#include <LibConfig/Check.h>

#include <algorithm>

namespace Sagecrank {

Result<SiteConfiguration> assemble(SiteManifest manifest, const SectionBytes &bytes)
{
    SiteConfiguration configuration;
    configuration.sections.reserve(manifest.sections.size());
    for (const SectionReference &reference : manifest.sections) {
        const auto found = bytes.find(reference.digest);
        if (found == bytes.end())
            return makeError(ErrorKind::NotFound, "assemble site", reference.cluster,
                             "section " + toHex(reference.digest) + " is missing");
        Result<Section> section = decodeSection(found->second, reference.digest);
        if (!section) {
            Error error = std::move(section).assume_error();
            error.peer = reference.cluster;
            return error;
        }
        configuration.sections.push_back(std::move(section).assume_value());
    }
    configuration.manifest = std::move(manifest);
    TRY_VOID(checkSite(configuration));
    return configuration;
}

SiteConfiguration makeSiteConfiguration(std::uint64_t version, std::string site,
                                        std::vector<Section> sections)
{
    std::sort(sections.begin(), sections.end(),
              [](const Section &first, const Section &second) { return first.cluster < second.cluster; });
    SiteConfiguration configuration;
    configuration.manifest.version = version;
    configuration.manifest.site = std::move(site);
    configuration.manifest.sections.reserve(sections.size());
    for (const Section &section : sections)
        configuration.manifest.sections.push_back({section.cluster, sectionDigest(section)});
    configuration.sections = std::move(sections);
    return configuration;
}

SectionBytes sectionBytes(const SiteConfiguration &configuration)
{
    SectionBytes bytes;
    for (std::size_t i = 0; i < configuration.sections.size(); ++i)
        bytes.emplace(configuration.manifest.sections[i].digest, encodeSection(configuration.sections[i]));
    return bytes;
}

} // namespace Sagecrank
