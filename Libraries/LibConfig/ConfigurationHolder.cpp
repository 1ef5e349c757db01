// The swap of versions: see ConfigurationHolder.h.
#include <LibConfig/Check.h>
#include <LibConfig/ConfigurationHolder.h>

namespace Sagecrank {

ConfigurationHolder::ConfigurationHolder(std::string ownSite, HolderHooks ownHooks)
    : site(std::move(ownSite))
    , hooks(std::move(ownHooks))
{
}

Result<void> ConfigurationHolder::offer(SiteConfiguration configuration)
{
    const std::lock_guard guard(this->offers);
    TRY_VOID(this->check(configuration));
    const auto shared = std::make_shared<const SiteConfiguration>(std::move(configuration));
    const std::uint64_t previous = this->heldVersion.load(std::memory_order_relaxed);
    auto next = std::make_unique<const Snapshot>(shared);
    const Snapshot &view = *next;
    if (this->hooks.swapping)
        this->hooks.swapping(view, previous);
    this->current = shared;
    this->snapshot.replace(std::move(next));
    this->heldVersion.store(shared->manifest.version, std::memory_order_release);
    // Still alive: only the next offer replaces it, and that waits for this lock.
    if (this->hooks.swapped)
        this->hooks.swapped(view, previous);
    return success();
}

std::shared_ptr<const SiteConfiguration> ConfigurationHolder::held() const
{
    const std::lock_guard guard(this->offers);
    return this->current;
}

Result<void> ConfigurationHolder::check(const SiteConfiguration &configuration) const
{
    const SiteManifest &manifest = configuration.manifest;
    if (manifest.site != this->site)
        return makeError(ErrorKind::InvalidInput, "offer version", manifest.site,
                         "this node belongs to site " + this->site);
    // Updates cross in flight: an older one that arrives last would otherwise undo a newer one.
    if (manifest.version <= this->version())
        return makeError(ErrorKind::Refused, "offer version", manifest.site,
                         "version " + std::to_string(manifest.version) + " is not newer than the held "
                             + std::to_string(this->version()));
    return checkSite(configuration);
}

} // namespace Sagecrank
