// The form of a site's configuration that the path of a request reads. Immutable: built off that path and
// swapped whole, so that a request sees one version from its first look to its last.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/AsciiText.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// Both point into the snapshot that gave the entry and live as long as it.
struct RouteEntry
{
    const Route *route = nullptr;
    const Section *section = nullptr;
};

class Snapshot
{
public:
    // The configuration has been checked by checkSite.
    explicit Snapshot(std::shared_ptr<const SiteConfiguration> configuration);

    // The route with the longest prefix that serves the method, or null. A prefix matches whole path
    // segments: "/book" serves "/book" and "/book/7", not "/booking"; "/book/" serves "/book/7", not "/book".
    // A query string is ignored. At one prefix, a route that names the method goes before one that serves
    // every method.
    const RouteEntry *match(std::string_view method, std::string_view path) const
    {
        return this->match({}, method, path);
    }

    // The same among the routes of one host ("name" or "name:port", in any case). A host without routes of
    // its own is served by the routes that name none.
    const RouteEntry *match(std::string_view host, std::string_view method, std::string_view path) const;

    const Section *section(std::string_view cluster) const;

    // The account that holds the key, or null. The pointer lives as long as the snapshot.
    const Account *accountOf(const KeyDigest &key) const;
    bool keysRequired() const { return this->held->manifest.keysRequired; }

    std::uint64_t version() const { return this->held->manifest.version; }
    std::size_t routeCount() const { return this->routes; }
    const SiteConfiguration &configuration() const { return *this->held; }
    std::shared_ptr<const SiteConfiguration> share() const { return this->held; }

private:
    // By normalised prefix.
    using PrefixTable = std::unordered_map<std::string_view, std::vector<RouteEntry>>;

    static const RouteEntry *atPrefix(const PrefixTable &table, std::string_view prefix,
                                      std::string_view method, std::string_view path);

    std::shared_ptr<const SiteConfiguration>
        held; // Never null, never changed; the views below point into it.
    // The empty host's routes serve all others.
    std::unordered_map<std::string_view, PrefixTable, CaselessHash, CaselessEqual> byHost;
    std::size_t routes = 0;
    std::unordered_map<KeyDigest, const Account *, KeyDigestHash> byKey;
};

} // namespace Sagecrank
