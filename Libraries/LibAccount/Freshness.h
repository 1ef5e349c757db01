// Whether a node may still act on the keys of its configuration: it must prove that the configuration was the
// newest one a short time ago. Otherwise a node that is cut off would accept a revoked key for ever.
//
// Proofs come from the node's own reads of the store and from gossip. Uses no sockets or clocks.
#pragma once

#include <LibAccount/StoreClock.h>

#include <cstdint>
#include <optional>

namespace Sagecrank {

// At the store's time, this was the newest version.
struct FreshnessProof
{
    std::uint64_t version = 0;
    StoreTime time{};

    bool operator==(const FreshnessProof &) const = default;
};

class Freshness
{
public:
    // Commands.

    void observeAnswer(BootTime sent, BootTime received, StoreTime time); // See StoreClock::observe().
    // From an answer of the store or from a peer. Ignored if it is not newer than the known ones, if it lies
    // in the future, or before the first answer of the store.
    void observeProof(BootTime now, const FreshnessProof &proof);
    void setHeldVersion(std::uint64_t version);

    // Queries.

    // Since the latest moment at which the held version is proven to have been the newest. Nothing without a
    // proof. Never lower than the true age.
    std::optional<Duration> age(BootTime now) const;
    const std::optional<FreshnessProof> &newestProof() const { return this->newest; } // For peers.

private:
    void useIfHeld();
    void reset();

    StoreClock clock;
    std::uint64_t heldVersion = 0;
    std::optional<FreshnessProof> newest; // May name a version that the node does not hold yet.
    std::optional<StoreTime> proven;      // Of the held version or an earlier one that it replaces.
};

} // namespace Sagecrank
