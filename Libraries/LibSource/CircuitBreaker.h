// Decides whether a call to the platform is worth trying. Load: an outage or a slow platform while keyed
// calls keep coming. Harm prevented: every call would wait for its own timeout, hold memory, and be refused
// late. Runs without a clock.
#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>

namespace Sagecrank {

struct CircuitSettings
{
    // Single lost answers are ordinary; five in a row without one success between them are an outage.
    std::uint32_t failuresToOpen = 5;
    // One probe per interval: at 6,500 nodes the first interval is 26,000 probes a second, more than the
    // platform takes, so it doubles up to five seconds, which is 1,300.
    Milliseconds firstInterval{250};
    Milliseconds maximumInterval{5000};
};

class Circuit
{
public:
    explicit Circuit(CircuitSettings settings)
        : settings(settings)
        , interval(settings.firstInterval)
    {
    }

    // True when the call may go out. While open, one call per interval may: the probe.
    bool admit(Instant now)
    {
        if (!this->open)
            return true;
        if (now < this->nextProbe)
            return false;
        this->nextProbe = now + this->interval;
        return true;
    }

    void succeeded()
    {
        this->open = false;
        this->failures = 0;
        this->interval = this->settings.firstInterval;
    }

    void failed(Instant now)
    {
        ++this->failures;
        if (!this->open && this->failures < this->settings.failuresToOpen)
            return;
        if (this->open && now < this->openedAt + this->interval)
            return; // A call from before the opening; only a failed probe lengthens the interval.
        if (this->open)
            this->interval = std::min(this->interval * 2, this->settings.maximumInterval);
        this->open = true;
        this->openedAt = now;
        this->nextProbe = now + this->interval;
    }

    bool isOpen() const { return this->open; }

    // When the next probe may go out; in the past when the circuit is closed.
    Instant probeAt() const { return this->nextProbe; }

private:
    const CircuitSettings settings;
    bool open = false;
    std::uint32_t failures = 0; // In a row.
    Milliseconds interval;
    Instant openedAt;
    Instant nextProbe;
};

} // namespace Sagecrank
