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
    if (manifest.accounts != Digest{}) {
        const auto found = bytes.find(manifest.accounts);
        if (found == bytes.end())
            return makeError(ErrorKind::NotFound, "assemble site", manifest.site,
                             "accounts " + toHex(manifest.accounts) + " are missing");
        configuration.accounts = TRY(decodeAccounts(found->second, manifest.accounts));
    }
    configuration.manifest = std::move(manifest);
    TRY_VOID(checkSite(configuration));
    return configuration;
}

void setAccounts(SiteConfiguration &configuration, std::vector<Account> accounts)
{
    std::sort(accounts.begin(), accounts.end(),
              [](const Account &first, const Account &second) { return first.name < second.name; });
    configuration.accounts = std::move(accounts);
    configuration.manifest.keysRequired = true;
    configuration.manifest.accounts = accountsDigest(configuration.accounts);
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
    if (!configuration.accounts.empty())
        bytes.emplace(configuration.manifest.accounts, encodeAccounts(configuration.accounts));
    return bytes;
}

} // namespace Sagecrank
