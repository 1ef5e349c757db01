// Decides when large responses leave a host whose link they fill, and how long a call would wait for the
// link. Uses no sockets or clocks; not thread-safe.
//
// Load: responses of 90 KB that take 93% of a link of 13 Mbit/s. If each is sent when it is ready, small
// responses, heartbeats and gossip wait behind several of them, and peers take the host for dead; if slots
// alone admit calls, responses are ready that leave only after their caller's deadline.
#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

class LinkBacklog
{
public:
    // Zero: the rate is not known, and nothing is limited.
    explicit LinkBacklog(double bytesPerSecond);

    // Commands.

    // The kinds of calls with large responses; other calls are ignored.
    void setLargeKinds(std::vector<std::uint64_t> kinds);
    void started(std::uint64_t kind);
    // The call ended without a response that crosses the link.
    void ended(std::uint64_t kind);
    // The response of a started call is ready. Returns when it may be sent.
    Instant ready(Instant now, std::uint64_t kind, std::size_t bytes);

    // Queries.
    bool isLimited(std::uint64_t kind) const;
    // How much later than without a limited link such a call would be answered if it started now.
    Duration expectedDelay(Instant now, std::uint64_t kind) const;

private:
    struct Kind
    {
        double meanBytes = 0; // Zero until the first response.
        std::uint32_t running = 0;
    };

    Duration transferTime(double bytes) const;

    const double bytesPerSecond;
    std::unordered_map<std::uint64_t, Kind> kinds;
    Instant freeAt = Instant::min(); // When the responses that are ready have left.
};

} // namespace Sagecrank
