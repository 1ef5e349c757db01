// What one node holds. Request threads read the snapshot without a lock; one control thread offers newer
// versions. The version only ever rises.
#pragma once

#include <LibConfig/Snapshot.h>
#include <LibCore/Error.h>
#include <LibCore/RcuPointer.h>

#include <atomic>
#include <functional>
#include <mutex>

namespace Sagecrank {

struct HolderHooks
{
    // Called before the swap, so that a record of it cannot come after its first effect. The previous
    // version is zero at the first swap.
    std::function<void(const Snapshot &next, std::uint64_t previous)> swapping;
    // Called after the swap, when every request sees the new version.
    std::function<void(const Snapshot &next, std::uint64_t previous)> swapped;
};

class ConfigurationHolder
{
public:
    ConfigurationHolder(std::string site, HolderHooks hooks);

    // Takes in a whole version or nothing. Refused: as old as or older than the held one. InvalidInput: it
    // does not check or is of another site. Waits for readers, so it is never called on a request thread.
    Result<void> offer(SiteConfiguration configuration);

    // The reader is null inside until the first version is held.
    RcuPointer<Snapshot>::Reader read() const { return RcuPointer<Snapshot>::Reader(this->snapshot); }

    // Zero until the first version is held.
    std::uint64_t version() const { return this->heldVersion.load(std::memory_order_acquire); }

    // Null until the first version is held. For spreading and status, not for the path of a request.
    std::shared_ptr<const SiteConfiguration> held() const;

private:
    Result<void> check(const SiteConfiguration &configuration) const;

    const std::string site;
    const HolderHooks hooks;
    mutable std::mutex offers; // Serialises offers; guards `current`.
    std::shared_ptr<const SiteConfiguration> current;
    RcuPointer<Snapshot> snapshot;
    std::atomic<std::uint64_t> heldVersion = 0; // Invariant: never falls.
};

} // namespace Sagecrank
