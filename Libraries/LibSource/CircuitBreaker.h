// Circuit breaker for requests to the platform. During an outage it rejects keyed calls immediately; without
// it, each of them would hold memory until its own timeout. Has no clock; the caller passes the time.
#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>

namespace Sagecrank {

struct CircuitBreakerSettings
{
    // A single lost response is normal; this many consecutive failures indicate an outage.
    std::uint32_t failuresToOpen = 5;
    // While open, one probe is sent per interval. With 6,500 nodes, 250 ms means 26,000 probes per second,
    // more than the platform can serve, so the interval doubles up to 5 s, which means 1,300.
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

    // Returns whether a request may be sent. While open, allows one probe per interval.
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
            return; // Sent before the breaker opened. Only a failed probe lengthens the interval.
        if (this->open)
            this->probeInterval = std::min(this->probeInterval * 2, this->settings.maximumProbeInterval);
        this->open = true;
        this->openedAt = now;
        this->nextProbe = now + this->probeInterval;
    }

    bool isOpen() const { return this->open; }

    // When the next probe is allowed; in the past while the breaker is closed.
    Instant nextProbeAt() const { return this->nextProbe; }

private:
    const CircuitBreakerSettings settings;
    bool open = false;
    std::uint32_t consecutiveFailures = 0;
    Milliseconds probeInterval;
    Instant openedAt;
    Instant nextProbe;
};

} // namespace Sagecrank
