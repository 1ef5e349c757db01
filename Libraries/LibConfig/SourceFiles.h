// From what operators write to checked sites: one base file and one overlay for each site, in TOML. An
// overlay changes, adds or removes clusters, routes and accounts of its own site. Reads no files; it is given
// their text.
//
// Every fault is reported with file, line and key, as many as there are, so that an operator mends a file in
// one go. Nothing is rendered while there is a fault.
#pragma once

#include <LibConfig/Model.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

struct SourceFile
{
    std::string name; // As the operator gave it; errors repeat it.
    std::string text;
};

struct SourceError
{
    std::string file;
    std::uint32_t line = 0; // From one; zero when the fault is the whole file's.
    std::string key;        // Dotted, such as "route.reserve.hedged"; empty for a syntax error.
    std::string message;

    bool operator==(const SourceError &) const = default;
    std::string describe() const; // "file:line: key: message"
};

// One site as its sections, not yet under a version.
struct RenderedSite
{
    std::string site;
    std::vector<Section> sections; // Sorted by cluster.
    CallerLimits limits = {};
    std::vector<Account> accounts = {}; // With any, routes that are not public require a key.
};

struct RenderResult
{
    std::string mesh;
    std::vector<RenderedSite> sites; // Sorted by name; empty when there is any error.
    std::vector<SourceError> errors; // In the order of files and lines.
};

// The site's name is the overlay's key "site", or else its file name without folder and ".toml".
RenderResult renderSites(const SourceFile &base, const std::vector<SourceFile> &overlays);

} // namespace Sagecrank
