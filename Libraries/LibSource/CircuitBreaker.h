// Decides whether a call to the platform is worth trying. Load: an outage or a slow platform while keyed
// calls keep coming. Harm prevented: every call would wait for its own timeout, hold memory, and be refused
// late. Runs without a clock.
#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>

namespace Sagecrank {

struct CircuitBreakerSettings
{
    // Single lost answers are ordinary; five in a row without one success between them are an outage.
    std::uint32_t failuresToOpen = 5;
    // One probe per interval: at 6,500 nodes the first interval is 26,000 probes a second, more than the
    // platform takes, so it doubles up to five seconds, which is 1,300.
    Milliseconds initialProbeInterval{250};
    Milliseconds maximumProbeInterval{5000};
};

class CircuitBreaker
{
public:
    explicit CircuitBreaker(CircuitBreakerSettings settings)
        : settings(settings)
        , probeInterval(settings.initialProbeInterval)
    {
    }

    // True when the call may go out. While open, one call per interval may: the probe.
    bool allowRequest(Instant now)
    {
        if (!this->open)
            return true;
        if (now < this->nextProbe)
            return false;
        this->nextProbe = now + this->probeInterval;
        return true;
    }

    void recordSuccess()
    {
        this->open = false;
        this->consecutiveFailures = 0;
        this->probeInterval = this->settings.initialProbeInterval;
    }

    void recordFailure(Instant now)
    {
        ++this->consecutiveFailures;
        if (!this->open && this->consecutiveFailures < this->settings.failuresToOpen)
            return;
        if (this->open && now < this->openedAt + this->probeInterval)
            return; // A call from before the opening; only a failed probe lengthens the interval.
        if (this->open)
            this->probeInterval = std::min(this->probeInterval * 2, this->settings.maximumProbeInterval);
        this->open = true;
        this->openedAt = now;
        this->nextProbe = now + this->probeInterval;
    }

    bool isOpen() const { return this->open; }

    // When the next probe may go out; in the past when the circuit is closed.
    Instant nextProbeAt() const { return this->nextProbe; }

private:
    const CircuitBreakerSettings settings;
    bool open = false;
    std::uint32_t consecutiveFailures = 0; // In a row.
    Milliseconds probeInterval;
    Instant openedAt;
    Instant nextProbe;
};

} // namespace Sagecrank
