// What a configuration is made of once it has been read and checked: services with their routes, cut into
// sections that are named by their content, and the manifests that say which sections make up a version.
#pragma once

#include <LibConfig/Account.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Decides who waits for whom. An idempotent call may be sent again; the other two facts are independent of
// it.
enum class CallClass : std::uint8_t {
    Interactive,   // Someone waits for the answer.
    NonIdempotent, // Runs at most once and is never lost silently.
    Batch,         // May wait; never delays the others.
};

inline constexpr EnumNames<CallClass, 3> callClassNames{{
    {CallClass::Interactive, "interactive"},
    {CallClass::NonIdempotent, "non_idempotent"},
    {CallClass::Batch, "batch"},
}};

// No upstream ever announces itself for this service. The routes of its section are matched, and their calls
// are refused as not run.
inline constexpr std::string_view unservedCluster = "";

// One part of a route whose calls go to several services.
struct WeightedCluster
{
    std::string cluster;
    std::uint32_t weight = 1; // Its share is this over the sum of all parts' weights.

    bool operator==(const WeightedCluster &) const = default;
};

struct Route
{
    std::string name;                 // Unique within a site.
    std::string host;                 // In lower case; empty serves every host that has no routes of its own.
    std::string prefix;               // Path prefix; the longest match wins.
    std::vector<std::string> methods; // Empty means every method.
    CallClass callClass = CallClass::Interactive;
    bool idempotent = true;
    Milliseconds timeout{1000};
    std::uint32_t maximumRetries = 1;   // Only used for idempotent calls.
    bool hedged = false;                // Only allowed for idempotent calls.
    std::uint32_t priority = 1;         // Rank among the calls of one upstream; 0 goes first.
    Milliseconds targetLatency{0};      // An answer within it is worth most to the caller; 0 when not stated.
    std::vector<WeightedCluster> split; // Empty: every call goes to the section's own service.
    // Responses are large compared with what a link carries in the target latency.
    bool largeResponses = false;
    bool isPublic = false; // Callers need no key, also in a site with accounts.

    bool operator==(const Route &) const = default;
};

// One service of one site with all of its routes. A route lives in the section of the service it points at,
// so a section that is present brings its own cluster along.
struct Section
{
    std::string cluster; // The service's name.
    // Calls that may wait at one upstream. Deadlines bound the queue before this does; it bounds memory.
    std::uint32_t maximumQueue = 256;
    std::vector<Route> routes;

    bool operator==(const Section &) const = default;
};

// What callers may send, and how long they may take or stay idle. Zero: the node's own settings hold.
struct CallerLimits
{
    std::uint32_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    Milliseconds headerTimeout{0};
    Milliseconds idleTimeout{0};

    bool operator==(const CallerLimits &) const = default;
};

struct SectionReference
{
    std::string cluster;
    Digest digest;

    bool operator==(const SectionReference &) const = default;
};

// The whole of one site at one version. Invariant: sections are sorted by cluster, each named once.
struct SiteManifest
{
    std::uint64_t version = 0;
    std::string site;
    std::vector<SectionReference> sections;
    CallerLimits limits;
    // Routes that are not public require a key of an account. Stated apart from the accounts, because a site
    // whose accounts are all unreadable must not become open to everyone.
    bool keysRequired = false;
    Digest accounts; // Of the list of accounts; zero if there are none.

    bool operator==(const SiteManifest &) const = default;
};

// What the head row points at: every site's manifest by digest. Invariant: sites are sorted and unique.
struct VersionManifest
{
    struct SiteReference
    {
        std::string site;
        Digest digest; // Of the site without its version, so an unchanged site keeps it.

        bool operator==(const SiteReference &) const = default;
    };

    std::uint64_t version = 0;
    std::string publishId; // Names one attempt to publish, so that a lost answer can be read back.
    std::vector<SiteReference> sites;

    bool operator==(const VersionManifest &) const = default;
};

// One site at one version with its content: what a node holds and swaps as one. Never changed once built.
struct SiteConfiguration
{
    SiteManifest manifest;
    std::vector<Section> sections; // In the manifest's order.
    std::vector<Account> accounts; // Sorted by name, each named once.
    // What its reader did not know or could not read, and what it did instead. Stays with that reader: other
    // nodes are sent what came of it.
    std::vector<Error> doubts;
};

} // namespace Sagecrank
