// Puts a base file and its overlays together into sites: see SourceFiles.h.
#include <LibConfig/Assemble.h>
#include <LibConfig/Check.h>
#include <LibConfig/SourceModel.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace Sagecrank {

namespace {

constexpr Milliseconds defaultTimeout{1000};
constexpr std::uint32_t defaultPriority = 1; // Leaves room before it and behind it.

template <typename T>
void overlayField(Field<T> &target, const Field<T> &over)
{
    if (over)
        target = over;
}

template <typename T>
T valueOf(const Field<T> &field, T otherwise)
{
    return field ? field->value : otherwise;
}

std::string where(const Place &place)
{
    return place.file + ":" + std::to_string(place.line);
}

std::string siteName(const FileSource &overlay)
{
    if (overlay.site)
        return overlay.site->value;
    const std::size_t slash = overlay.file.rfind('/');
    std::string stem = slash == std::string::npos ? overlay.file : overlay.file.substr(slash + 1);
    if (stem.ends_with(".toml"))
        stem.resize(stem.size() - 5);
    return stem;
}

// One site on its way from the base file and its overlay to sections.
class SiteRenderer
{
public:
    SiteRenderer(const FileSource &base, const FileSource &overlay, const std::set<std::string> &services,
                 std::vector<SourceError> &errors)
        : callers(base.callers)
        , clusters(base.clusters)
        , routes(base.routes)
        , accounts(base.accounts)
        , overlay(overlay)
        , services(services)
        , errors(errors)
    {
    }

    RenderedSite render()
    {
        for (const auto &[name, over] : this->overlay.clusters)
            this->applyCluster(name, over);
        for (const RouteSource &over : this->overlay.routes)
            this->applyRoute(over);
        for (const AccountSource &over : this->overlay.accounts)
            this->applyAccount(over);
        std::map<std::string, Section> sections;
        for (const auto &[name, cluster] : this->clusters)
            sections.emplace(name, Section{name, valueOf(cluster.maximumQueue, Section{}.maximumQueue), {}});
        for (const RouteSource &route : this->routes)
            this->renderRoute(route, sections);
        this->checkMatches();
        RenderedSite site{siteName(this->overlay), {}, this->renderCallers(), this->renderAccounts()};
        for (auto &entry : sections)
            site.sections.push_back(std::move(entry.second));
        return site;
    }

private:
    void fault(const Place &place, const std::string &key, const std::string &message)
    {
        this->errors.push_back({place.file, place.line, key, message});
    }

    CallerLimits renderCallers()
    {
        const CallersSource &over = this->overlay.callers;
        overlayField(this->callers.headerBytes, over.headerBytes);
        overlayField(this->callers.bodyBytes, over.bodyBytes);
        overlayField(this->callers.headerTimeout, over.headerTimeout);
        overlayField(this->callers.idleTimeout, over.idleTimeout);
        const CallerLimits unstated;
        return {valueOf(this->callers.headerBytes, unstated.headerBytes),
                valueOf<std::uint32_t>(this->callers.bodyBytes, 0),
                valueOf(this->callers.headerTimeout, unstated.headerTimeout),
                valueOf(this->callers.idleTimeout, unstated.idleTimeout)};
    }

    void applyCluster(const std::string &name, const ClusterSource &over)
    {
        const auto standing = this->clusters.find(name);
        if (over.remove) {
            if (standing == this->clusters.end())
                this->fault(over.place, "cluster." + name, "there is no such cluster to remove");
            else
                this->clusters.erase(standing);
            return;
        }
        if (standing == this->clusters.end()) {
            this->clusters.emplace(name, over);
            return;
        }
        overlayField(standing->second.maximumQueue, over.maximumQueue);
        overlayField(standing->second.timeout, over.timeout);
    }

    void applyRoute(const RouteSource &over)
    {
        const auto standing =
            std::find_if(this->routes.begin(), this->routes.end(),
                         [&](const RouteSource &route) { return route.name.value == over.name.value; });
        if (over.remove) {
            if (standing == this->routes.end())
                this->fault(over.name.place, "route." + over.name.value, "there is no such route to remove");
            else
                this->routes.erase(standing);
            return;
        }
        if (standing == this->routes.end()) {
            this->routes.push_back(over);
            return;
        }
        overlayField(standing->prefix, over.prefix);
        overlayField(standing->methods, over.methods);
        overlayField(standing->cluster, over.cluster);
        overlayField(standing->callClass, over.callClass);
        overlayField(standing->idempotent, over.idempotent);
        overlayField(standing->timeout, over.timeout);
        overlayField(standing->maximumRetries, over.maximumRetries);
        overlayField(standing->hedged, over.hedged);
        overlayField(standing->host, over.host);
        overlayField(standing->priority, over.priority);
        overlayField(standing->targetLatency, over.targetLatency);
        overlayField(standing->split, over.split);
        overlayField(standing->required, over.required);
        overlayField(standing->isPublic, over.isPublic);
        overlayField(standing->largeResponses, over.largeResponses);
    }

    void applyAccount(const AccountSource &over)
    {
        const std::string path = "account." + over.name.value;
        const auto standing =
            std::find_if(this->accounts.begin(), this->accounts.end(),
                         [&](const AccountSource &account) { return account.name.value == over.name.value; });
        if (over.remove) {
            if (standing == this->accounts.end())
                this->fault(over.name.place, path, "there is no such account to remove");
            else
                this->accounts.erase(standing);
            return;
        }
        if (standing == this->accounts.end()) {
            this->accounts.push_back(over);
            return;
        }
        overlayField(standing->keys, over.keys);
        overlayField(standing->priority, over.priority);
        overlayField(standing->callsPerSecond, over.callsPerSecond);
        overlayField(standing->burst, over.burst);
    }

    std::vector<Account> renderAccounts()
    {
        std::vector<Account> rendered;
        std::map<KeyDigest, std::string> holders;
        for (const AccountSource &source : this->accounts) {
            const std::string path = "account." + source.name.value;
            Account account;
            account.name = source.name.value;
            account.priority = valueOf(source.priority, defaultPriority);
            account.callsPerSecond = valueOf(source.callsPerSecond, 0.0);
            account.burst = valueOf(source.burst, 0.0);
            for (const std::string &key : valueOf(source.keys, {})) {
                account.keys.push_back(digestOfKey(key));
                const auto [holder, isNew] = holders.emplace(account.keys.back(), account.name);
                if (!isNew)
                    this->fault(source.keys->place, path + ".keys",
                                "names a key of account " + holder->second);
            }
            const Result<void> checked = checkAccount(account);
            if (!checked)
                this->fault(source.name.place, path, checked.error().message);
            rendered.push_back(std::move(account));
        }
        std::sort(rendered.begin(), rendered.end(),
                  [](const Account &first, const Account &second) { return first.name < second.name; });
        return rendered;
    }

    // Whether every service that the route depends on is part of this site.
    bool requirementsMet(const RouteSource &source)
    {
        bool met = true;
        for (const std::string &service : valueOf(source.required, {})) {
            if (this->services.count(service) == 0)
                this->fault(source.required->place, "route." + source.name.value + ".requires",
                            "no file has a cluster named " + service);
            met = met && this->clusters.count(service) != 0;
        }
        return met;
    }

    void renderRoute(const RouteSource &source, std::map<std::string, Section> &sections)
    {
        if (!this->requirementsMet(source))
            return;
        const std::string path = "route." + source.name.value;
        if (!source.prefix)
            this->fault(source.name.place, path + ".prefix", "missing");
        if (!source.cluster)
            this->fault(source.name.place, path + ".cluster", "missing");
        if (!source.prefix || !source.cluster)
            return;
        const auto section = sections.find(source.cluster->value);
        if (section == sections.end()) {
            this->fault(source.cluster->place, path + ".cluster",
                        "site " + siteName(this->overlay) + " has no cluster named " + source.cluster->value);
            return;
        }
        Route route = this->routeOf(source);
        this->checkCopies(source, route);
        for (const WeightedCluster &part : route.split) {
            if (sections.find(part.cluster) == sections.end())
                this->fault(source.split->place, path + ".split",
                            "site " + siteName(this->overlay) + " has no cluster named " + part.cluster);
        }
        this->rendered.push_back({source, route});
        section->second.routes.push_back(std::move(route));
    }

    Route routeOf(const RouteSource &source) const
    {
        Route route;
        route.name = source.name.value;
        route.prefix = source.prefix->value;
        route.methods = valueOf(source.methods, {});
        route.callClass = valueOf(source.callClass, CallClass::Interactive);
        route.idempotent = valueOf(source.idempotent, route.callClass != CallClass::NonIdempotent);
        const Field<Milliseconds> &clusterTimeout = this->clusters.at(source.cluster->value).timeout;
        route.timeout = valueOf(source.timeout, valueOf(clusterTimeout, defaultTimeout));
        route.maximumRetries = valueOf(source.maximumRetries, route.idempotent ? 1u : 0u);
        route.hedged = valueOf(source.hedged, false);
        route.host = valueOf(source.host, {});
        route.priority = valueOf(source.priority, defaultPriority);
        route.targetLatency = valueOf(source.targetLatency, Milliseconds(0));
        route.split = valueOf(source.split, {});
        route.isPublic = valueOf(source.isPublic, false);
        route.largeResponses = valueOf(source.largeResponses, false);
        return route;
    }

    // A second copy of a call that is not idempotent may run a second time: a doubled reservation or refund.
    void checkCopies(const RouteSource &source, const Route &route)
    {
        const std::string path = "route." + route.name;
        if (route.idempotent && route.callClass == CallClass::NonIdempotent)
            this->fault(source.idempotent->place, path + ".idempotent",
                        "contradicts the class non_idempotent");
        if (route.idempotent)
            return;
        if (route.hedged)
            this->fault(source.hedged->place, path + ".hedged",
                        "a route that is not idempotent may not be hedged");
        if (route.maximumRetries > 0)
            this->fault(source.maximumRetries->place, path + ".maximum_retries",
                        "a route that is not idempotent may not be retried");
    }

    void checkMatches()
    {
        std::map<std::pair<std::string_view, std::string_view>, std::vector<const Rendered *>> byMatch;
        for (const Rendered &one : this->rendered) {
            auto &same = byMatch[{one.route.host, normalisedPrefix(one.route.prefix)}];
            for (const Rendered *other : same) {
                if (methodsOverlap(one.route, other->route))
                    this->fault(one.source.prefix->place, "route." + one.route.name + ".prefix",
                                "duplicate: route " + other->route.name + " at "
                                    + where(other->source.prefix->place) + " matches the same calls");
            }
            same.push_back(&one);
        }
    }

    struct Rendered
    {
        RouteSource source;
        Route route;
    };

    CallersSource callers;
    std::map<std::string, ClusterSource> clusters;
    std::vector<RouteSource> routes;
    std::vector<AccountSource> accounts;
    const FileSource &overlay;
    const std::set<std::string> &services;
    std::vector<SourceError> &errors;
    std::vector<Rendered> rendered;
};

// A fault of the base file shows once for each site; it is reported once.
void sortAndUnite(std::vector<SourceError> &errors)
{
    const auto order = [](const SourceError &first, const SourceError &second) {
        return std::tie(first.file, first.line, first.key, first.message)
               < std::tie(second.file, second.line, second.key, second.message);
    };
    std::sort(errors.begin(), errors.end(), order);
    errors.erase(std::unique(errors.begin(), errors.end()), errors.end());
}

std::set<std::string> servicesOf(const FileSource &base, const std::vector<FileSource> &overlays)
{
    std::set<std::string> services;
    const auto take = [&](const FileSource &file) {
        for (const auto &[name, cluster] : file.clusters) {
            if (!cluster.remove)
                services.insert(name);
        }
    };
    take(base);
    std::for_each(overlays.begin(), overlays.end(), take);
    return services;
}

} // namespace

std::string SourceError::describe() const
{
    std::string text = this->file;
    if (this->line > 0)
        text += ":" + std::to_string(this->line);
    if (!this->key.empty())
        text += ": " + this->key;
    return text + ": " + this->message;
}

RenderResult renderSites(const SourceFile &baseFile, const std::vector<SourceFile> &overlayFiles)
{
    RenderResult result;
    const FileSource base = readSource(baseFile, FileKind::Base, result.errors);
    result.mesh = valueOf<std::string>(base.mesh, "");
    std::vector<FileSource> overlays;
    for (const SourceFile &file : overlayFiles)
        overlays.push_back(readSource(file, FileKind::Overlay, result.errors));
    if (overlays.empty())
        result.errors.push_back({baseFile.name, 0, "", "no overlay is given, so there is no site"});
    const std::set<std::string> services = servicesOf(base, overlays);
    // Files that could not be read whole would only add faults that are not there.
    if (!result.errors.empty()) {
        sortAndUnite(result.errors);
        return result;
    }
    std::map<std::string, std::string> seen; // Site to file.
    for (const FileSource &overlay : overlays) {
        RenderedSite site = SiteRenderer(base, overlay, services, result.errors).render();
        const auto added = seen.emplace(site.site, overlay.file);
        if (!added.second)
            result.errors.push_back({overlay.file, overlay.site ? overlay.site->place.line : 0, "site",
                                     "duplicate: " + added.first->second + " is site " + site.site + " too"});
        result.sites.push_back(std::move(site));
    }
    sortAndUnite(result.errors);
    if (!result.errors.empty())
        result.sites.clear();
    std::sort(result.sites.begin(), result.sites.end(),
              [](const RenderedSite &first, const RenderedSite &second) { return first.site < second.site; });
    return result;
}

} // namespace Sagecrank
