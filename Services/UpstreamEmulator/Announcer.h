// Tells the node beside the upstream every second that the upstream is there, and in which state. Decides
// when a draining upstream may end.
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
    std::string node; // The node's admin address; empty means that nothing is announced.
    std::string cluster;
    std::string address; // Where the node reaches this upstream.
    std::uint32_t slots = 6;
    Milliseconds interval{1000};
    // For a platform with a check-in of its own; not set: this project's announcement.
    std::function<HttpRequest(UpstreamState)> makeRequest;
};

// When a draining upstream may end. Others learn of the drain through gossip, so calls still come in for a
// while; ending as soon as nothing runs would cut the next one.
class DrainPolicy
{
public:
    static constexpr Milliseconds minimumDuration{3000};
    static constexpr Milliseconds maximumDuration{
        60'000}; // Then it ends whatever runs, so that a host can be replaced.

    void begin(Instant now) { this->since = now; }
    bool draining() const { return this->since.has_value(); }
    // `nodeInFlight` is none when the node did not answer; then only the upstream's own work counts.
    bool isComplete(Instant now, std::size_t running, std::optional<std::uint64_t> nodeInFlight) const;

private:
    std::optional<Instant> since;
};

class Announcer
{
public:
    using State = std::function<std::optional<UpstreamState>()>; // None keeps silent.
    using Answer = std::function<void(std::optional<std::uint64_t> inFlight)>;

    Announcer(boost::asio::io_context &context, AnnouncerSettings settings, State state, Answer answer);

    void start() { this->tick(); }
    // Once, out of turn.
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
