// Publishes the moment up to which the held configuration is proven to the request threads.
#include "FreshnessGuard.h"

#include <algorithm>

namespace Sagecrank {

namespace {

// The store may drop the history of its watches at any time, and a watch may then have missed the changes of
// the last second although it was answered.
constexpr Duration missedByWatch = std::chrono::seconds(1);

// A shorter bound leaves no time for the proof to travel.
constexpr Duration shortestBound = std::chrono::milliseconds(500);

Duration usableBound(Milliseconds revocation)
{
    if (revocation <= Milliseconds(0))
        return Duration::zero();
    return std::max<Duration>(shortestBound, Duration(revocation) - missedByWatch);
}

} // namespace

FreshnessGuard::FreshnessGuard(Milliseconds revocation, std::function<BootTime()> now, EventLog &log)
    : bound(usableBound(revocation))
    , now(std::move(now))
    , log(log)
{
}

void FreshnessGuard::storeAnswered(const StoreAnswer &answer)
{
    this->freshness.observeAnswer(answer.sent, answer.received, answer.storeTime);
    this->publish();
}

void FreshnessGuard::headProven(std::uint64_t version, StoreTime time)
{
    this->freshness.observeProof(this->now(), {version, time});
    this->publish();
}

void FreshnessGuard::peerProofReceived(const HeadProof &proof)
{
    this->freshness.observeProof(this->now(),
                                 {proof.version, std::chrono::milliseconds(proof.storeMilliseconds)});
    this->publish();
}

void FreshnessGuard::versionHeld(std::uint64_t version, bool required)
{
    this->keysRequired = required;
    this->freshness.setHeldVersion(version);
    this->publish();
}

void FreshnessGuard::advance()
{
    const bool accepting = this->acceptsKeys() || !this->keysRequired;
    if (accepting != this->wasAccepting)
        this->log.write(accepting ? EventId::KeysAccepted : EventId::KeysInDoubt,
                        {{"age_ms", static_cast<std::int64_t>(this->ageSeconds() * 1000)},
                         {"bound_ms", wholeMilliseconds(this->bound)}});
    this->wasAccepting = accepting;
}

HeadProof FreshnessGuard::proofForPeers() const
{
    const std::optional<FreshnessProof> &newest = this->freshness.newestProof();
    if (!this->isBounded() || !this->keysRequired || !newest)
        return {};
    const auto milliseconds = std::chrono::duration_cast<Milliseconds>(newest->time).count();
    return {newest->version, static_cast<std::uint64_t>(std::max<std::int64_t>(0, milliseconds))};
}

bool FreshnessGuard::acceptsKeys() const
{
    return !this->isBounded() || this->isYoungerThan(this->bound);
}

bool FreshnessGuard::isYoungerThan(Duration age) const
{
    const std::int64_t proven = this->provenAt.load(std::memory_order_acquire);
    return proven != noProof && this->now() - BootTime(proven) < age;
}

double FreshnessGuard::ageSeconds() const
{
    const std::int64_t proven = this->provenAt.load(std::memory_order_acquire);
    return proven == noProof ? -1 : std::chrono::duration<double>(this->now() - BootTime(proven)).count();
}

void FreshnessGuard::publish()
{
    const BootTime moment = this->now();
    const std::optional<Duration> age = this->freshness.age(moment);
    this->provenAt.store(age ? std::max<std::int64_t>(0, (moment - *age).count()) : noProof,
                         std::memory_order_release);
}

} // namespace Sagecrank
