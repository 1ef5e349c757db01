// Builds one site's configuration out of its manifest and the bytes of its sections, and cuts one into them.
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

// The sections of a version by digest, as they are stored and spread.
SectionBytes sectionBytes(const SiteConfiguration &configuration);

} // namespace Sagecrank
