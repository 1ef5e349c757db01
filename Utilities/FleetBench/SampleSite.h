// Configurations of a given size, of which each version changes the first few services.
#pragma once

#include <LibConfig/Model.h>

#include <cstddef>
#include <string>

namespace Sagecrank {

SiteConfiguration makeSite(const std::string &site, std::uint64_t version, std::size_t services,
                           std::size_t routes, std::size_t changed);

} // namespace Sagecrank
