// The content of a published version, and how two contents differ.
#pragma once

#include <Ctl/BlockingClient.h>
#include <LibConfig/SourceFiles.h>
#include <LibSource/Head.h>

#include <string>
#include <vector>

namespace Sagecrank {

// Reads every site of the version, digests checked.
Result<std::vector<RenderedSite>> readVersionContent(BlockingClient &client, const Head &head);

// The head of an accepted version by its number, out of the history.
Result<Head> readHeadOfVersion(BlockingClient &client, std::uint64_t version);

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

inline constexpr EnumNames<ChangeKind, 3> changeKindNames{{
    {ChangeKind::Added, "added"},
    {ChangeKind::Removed, "removed"},
    {ChangeKind::Changed, "changed"},
}};

struct Change
{
    ChangeKind kind = ChangeKind::Changed;
    std::string site;
    std::string item;   // "site", "cluster booking" or "route reserve".
    std::string before; // Empty when added.
    std::string after;  // Empty when removed.

    bool operator==(const Change &) const = default;
};

// In the order of sites and names.
std::vector<Change> compareContent(const std::vector<RenderedSite> &before,
                                   const std::vector<RenderedSite> &after);

// One line, as it stands in `before` and `after`.
std::string describeRoute(const Route &route, const std::string &cluster);
// Only what is stated; empty when nothing is.
std::string describeLimits(const CallerLimits &limits);

} // namespace Sagecrank
