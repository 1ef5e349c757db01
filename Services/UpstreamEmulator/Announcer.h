// Announces the upstream and its state to the node on its host once per second, and decides when a draining
// upstream may stop.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Member.h>
#include <LibNet/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sagecrank {

struct AnnouncerSettings
{
    std::string node; // The node's admin address; empty disables announcements.
    std::string cluster;
    std::string address; // Address at which the node reaches this upstream.
    std::uint32_t slots = 6;
    std::string version; // Of its software; empty: it states none.
    Milliseconds interval{1000};
    // Builds the request for a platform with its own check-in protocol; if unset, POST /v1/upstream is used.
    std::function<HttpRequest(UpstreamState)> makeRequest;
};

// Decides when a draining upstream may stop. Other nodes learn of the drain through gossip, so calls keep
// arriving for a while; stopping as soon as none is running would break the next one.
class DrainPolicy
{
public:
    static constexpr Milliseconds minimumDuration{3000};
    static constexpr Milliseconds maximumDuration{
        60'000}; // Stops even with calls running, so that the host can be replaced.

    void begin(Instant now) { this->since = now; }
    bool draining() const { return this->since.has_value(); }
    // `nodeInFlight` is nullopt if the node did not respond; then only the upstream's own calls count.
    bool isComplete(Instant now, std::size_t running, std::optional<std::uint64_t> nodeInFlight) const;

private:
    std::optional<Instant> since;
};

class Announcer
{
public:
    using State = std::function<std::optional<UpstreamState>()>; // nullopt skips the announcement.
    using Answer = std::function<void(std::optional<std::uint64_t> inFlight)>;

    Announcer(boost::asio::io_context &context, AnnouncerSettings settings, State state, Answer answer);

    void start() { this->tick(); }
    // Sends one announcement immediately.
    void announce(UpstreamState state, Answer answer);

private:
    HttpRequest defaultRequest(UpstreamState state) const;
    void tick();

    boost::asio::steady_timer timer;
    HttpClient client;
    AnnouncerSettings settings;
    State state;
    Answer answer;
};

} // namespace Sagecrank
