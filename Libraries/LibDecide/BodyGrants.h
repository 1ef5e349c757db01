// Flow control for large request bodies: decides which senders may transfer now and which wait, so that a
// host's downlink is not overloaded. Uses no sockets or clocks.
//
// If a service's hosts are sent more body bytes than their links carry, the bodies queue in front of the link
// and delay everything behind them (answers, heartbeats, configuration versions). The hosts then look dead,
// and calls running there are given up.
#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sagecrank {

struct BodyGrantSettings
{
    double bytesPerSecond = 0; // Capacity of the downlink. 0 means unknown: every body is granted at once.
    Duration inFlightTime =
        std::chrono::milliseconds(300); // Bounds the bytes in flight to what the link carries in this time.
    Duration grantLifetime =
        // An unused grant expires after this time plus the transfer time of its body.
        std::chrono::seconds(2);
    std::size_t maximumQueued = 256;
};

enum class BodyGrantResult : std::uint8_t { Granted, Queued, QueueFull };

// Not thread-safe. The caller chooses the ids; they are unique among bodies that are queued or granted.
class BodyGrants
{
public:
    using BodyId = std::uint64_t;

    explicit BodyGrants(BodyGrantSettings settings)
        : settings(settings)
    {
    }

    bool isLimited() const { return this->settings.bytesPerSecond > 0; }

    // Commands. Priority 0 is the highest; equal priorities are served in order of arrival.
    BodyGrantResult request(Instant now, BodyId id, std::uint64_t bytes, std::uint32_t priority);
    // The body has arrived or will not be sent. Unknown ids are ignored.
    void release(BodyId id);
    // Expires old grants and returns the queued bodies that are granted now.
    std::vector<BodyId> advance(Instant now);

    // Queries.
    Duration transferTime(std::uint64_t bytes) const; // Time that the link needs for this many bytes.
    // Time until such a body would have arrived if it was requested now.
    Duration expectedDelay(std::uint64_t bytes, std::uint32_t priority) const;
    std::size_t queued() const { return this->queue.size(); }
    std::optional<Instant> nextExpiry() const; // When advance() must be called next.

private:
    struct Body
    {
        BodyId id = 0;
        std::uint64_t bytes = 0;
        std::uint32_t priority = 0;
        Instant expires; // Only set for granted bodies.
    };

    bool fits(std::uint64_t bytes) const;
    void grant(Instant now, Body body);

    BodyGrantSettings settings;
    std::vector<Body> granted; // Ordered by expiry.
    std::vector<Body> queue;   // Ordered by priority, then by arrival.
    std::uint64_t grantedBytes = 0;
};

} // namespace Sagecrank
