// Decides whether keys of the held configuration may be acted on: where revocation is bounded, only while the
// configuration is proven to have been the newest one recently. See docs/design/Accounts.md.
#pragma once

#include <LibAccount/Freshness.h>
#include <LibCore/Time.h>
#include <LibMembership/Datagram.h>
#include <LibObserve/EventLog.h>

#include <atomic>
#include <functional>

namespace Sagecrank {

// An answer of the platform's store, which states the time of the store's clock.
struct StoreAnswer
{
    BootTime sent{};
    BootTime received{};
    StoreTime storeTime{};
};

class FreshnessGuard
{
public:
    // `revocation`: the time after which a revoked key must not be accepted any more; zero if it is not
    // bounded. `now` reads the clock.
    FreshnessGuard(Milliseconds revocation, std::function<BootTime()> now, EventLog &log);

    // Commands, on the control thread.
    void storeAnswered(const StoreAnswer &answer);
    void headProven(std::uint64_t version, StoreTime time);
    void peerProofReceived(const HeadProof &proof);
    void versionHeld(std::uint64_t version, bool keysRequired);
    void advance(); // Logs when keys stop or start to be accepted; call it several times a second.

    // Queries.
    HeadProof proofForPeers() const; // On the control thread. Without a time if there is none to send.
    // From any thread. Always true if revocation is not bounded.
    bool acceptsKeys() const;
    // From any thread. Whether the configuration was the newest one at most `age` ago; false without proof.
    bool isYoungerThan(Duration age) const;
    bool isBounded() const { return this->bound > Duration::zero(); }
    double ageSeconds() const; // For metrics; -1 without a proof.

private:
    void publish();
    static constexpr std::int64_t noProof = -1;

    const Duration bound; // Zero: not bounded.
    const std::function<BootTime()> now;
    EventLog &log;
    Freshness freshness; // Used on the control thread.
    bool keysRequired = false;
    bool wasAccepting = true;
    // Boot time in nanoseconds of the moment that is proven, for the request threads.
    std::atomic<std::int64_t> provenAt = noProof;
};

} // namespace Sagecrank
