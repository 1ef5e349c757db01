// Which large bodies may cross a host's downlink now, and which stay with their senders. Runs without sockets
// or clocks.
//
// Load: a service's hosts are sent more bytes of bodies than their links carry. Harm when all of them are
// sent at once: they queue before the link, and everything behind them (answers, heartbeats, versions) is
// late with them; the hosts look dead, and calls at work there are given up.
#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sagecrank {

struct BodyGrantSettings
{
    double bytesPerSecond = 0; // Of the link; 0: not told, and every body is granted at once.
    Duration inFlightTime =
        std::chrono::milliseconds(300); // As much may be under way as the link carries in this.
    Duration grantLifetime =
        std::chrono::seconds(2); // A body that has not come by then is not counted any more.
    std::size_t maximumQueued = 256;
};

enum class BodyGrantResult : std::uint8_t { Granted, Queued, QueueFull };

// Not thread-safe. Names are the caller's, unique among those that have not ended.
class BodyGrants
{
public:
    using BodyId = std::uint64_t;

    explicit BodyGrants(BodyGrantSettings settings)
        : settings(settings)
    {
    }

    bool isLimited() const { return this->settings.bytesPerSecond > 0; }

    // Commands. Priority 0 goes first; among equals the earlier one.
    BodyGrantResult request(Instant now, BodyId name, std::uint64_t bytes, std::uint32_t priority);
    // Its body came, or will not come. Says nothing of a name that is not known.
    void release(BodyId name);
    // Those whose turn it is now.
    std::vector<BodyId> advance(Instant now);

    // Queries.
    Duration transferTime(std::uint64_t bytes) const; // How long the link takes for them.
    // Until such a body would be here, if it was asked for now.
    Duration expectedDelay(std::uint64_t bytes, std::uint32_t priority) const;
    std::size_t queued() const { return this->line.size(); }
    std::optional<Instant> nextExpiry() const; // When advance() must be called next.

private:
    struct Body
    {
        BodyId name = 0;
        std::uint64_t bytes = 0;
        std::uint32_t priority = 0;
        Instant expires; // Of a granted one.
    };

    bool fits(std::uint64_t bytes) const;
    void grant(Instant now, Body body);

    BodyGrantSettings settings;
    std::vector<Body> granted; // In order of their expiry.
    std::vector<Body> line;    // By priority, then in order of arrival.
    std::uint64_t grantedBytes = 0;
};

} // namespace Sagecrank
