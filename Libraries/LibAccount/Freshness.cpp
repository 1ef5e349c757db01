// Keeps the newest proof of freshness, and the newest that applies to the held version.
#include <LibAccount/Freshness.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// How far a proof may lie ahead of this node's idea of the store's clock, which is wrong by up to the travel
// time of an answer. A store that is slow takes 300 ms.
constexpr BootTime futureTolerance = std::chrono::seconds(1);

} // namespace

void Freshness::observeAnswer(BootTime sent, BootTime received, StoreTime time)
{
    if (!this->clock.observe(sent, received, time))
        this->reset();
}

void Freshness::observeProof(BootTime now, const FreshnessProof &proof)
{
    const std::optional<BootTime> earliest = this->clock.earliest(proof.time);
    const bool isUsable = earliest && *earliest <= now + futureTolerance;
    if (!isUsable || (this->newest && proof.time <= this->newest->time))
        return;
    this->newest = proof;
    this->useIfHeld();
}

void Freshness::setHeldVersion(std::uint64_t version)
{
    this->heldVersion = version;
    this->useIfHeld();
}

std::optional<Duration> Freshness::age(BootTime now) const
{
    const std::optional<BootTime> earliest =
        this->proven ? this->clock.earliest(*this->proven) : std::nullopt;
    if (!earliest)
        return std::nullopt;
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(now - *earliest));
}

void Freshness::useIfHeld()
{
    if (this->newest && this->newest->version <= this->heldVersion)
        this->proven = this->newest->time;
}

void Freshness::reset()
{
    this->newest.reset();
    this->proven.reset();
}

} // namespace Sagecrank
