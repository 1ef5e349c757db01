// Builds one site's configuration out of its manifest and the bytes of its sections and accounts, and cuts
// one into them.
#pragma once

#include <LibConfig/Encoding.h>
#include <LibConfig/Model.h>
#include <LibCore/Error.h>

#include <map>

namespace Sagecrank {

using SectionBytes = std::map<Digest, ObjectBytes>;

// All or nothing: a missing section is NotFound, a wrong digest or a failed check InvalidInput; both name the
// cluster as the peer of the error.
Result<SiteConfiguration> assemble(SiteManifest manifest, const SectionBytes &bytes);

// Sorts the sections and gives each its digest. The result is not checked; checkSite does that.
SiteConfiguration makeSiteConfiguration(std::uint64_t version, std::string site,
                                        std::vector<Section> sections);

// Sorts the accounts, gives them their digest and makes the site require keys.
void setAccounts(SiteConfiguration &configuration, std::vector<Account> accounts);

// The sections and the list of accounts of a version by digest, as they are stored and spread.
SectionBytes sectionBytes(const SiteConfiguration &configuration);

} // namespace Sagecrank
