// Reads the content of a published version, and computes the differences between two contents.
#pragma once

#include <Ctl/BlockingClient.h>
#include <LibConfig/SourceFiles.h>
#include <LibSource/Head.h>

#include <string>
#include <vector>

namespace Sagecrank {

// Reads all sites of the version and checks the digests of the objects.
Result<std::vector<RenderedSite>> readVersionContent(BlockingClient &client, const Head &head);

// Builds the head of an accepted version from its history row. NotFound if there is none.
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
    std::string item;   // "site", "cluster booking", "route reserve" or "account tours".
    std::string before; // Empty when added.
    std::string after;  // Empty when removed.

    bool operator==(const Change &) const = default;
};

// Returns the differences: first those of the sites in `before`, then the added sites; each by name.
std::vector<Change> compareContent(const std::vector<RenderedSite> &before,
                                   const std::vector<RenderedSite> &after);

// Formats a route on one line, as in Change::before and Change::after.
std::string describeRoute(const Route &route, const std::string &cluster);
// Formats an account without its keys, of which only short digests are shown.
std::string describeAccount(const Account &account);
// Formats the limits that are set; empty if none is.
std::string describeLimits(const CallerLimits &limits);

} // namespace Sagecrank
