// One node of the mesh as the others know it, with the upstream that it stands beside.
#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <string>

namespace Sagecrank {

// How the node itself is seen. A later one is stronger at the same incarnation.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, // Did not answer probes; may still refute it with a higher incarnation.
    Dead,
    Left, // Said goodbye; final for this incarnation.
};

inline constexpr EnumNames<MemberState, 4> memberStateNames{{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
}};

// What the upstream beside the node said of itself last.
enum class UpstreamState : std::uint8_t {
    None, // No upstream is announced.
    Warming,
    Ready,
    Draining, // Finishes what it has; takes nothing new.
    Gone,
};

inline constexpr EnumNames<UpstreamState, 5> upstreamStateNames{{
    {UpstreamState::None, "none"},
    {UpstreamState::Warming, "warming"},
    {UpstreamState::Ready, "ready"},
    {UpstreamState::Draining, "draining"},
    {UpstreamState::Gone, "gone"},
}};

// Addresses are "ip:port". Only the node itself raises its incarnation; a higher one always wins, and at the
// same incarnation the stronger state does. The held version is what the node told this one directly: it
// changes far too often to be spread as a change of the record.
struct Member
{
    std::string id;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::string region;
    std::string zone;
    std::string site; // Which overlay's configuration it holds; only peers of one site can serve each other.
    std::string gossipAddress;  // UDP, membership.
    std::string peerAddress;    // TCP, calls between nodes.
    std::string controlAddress; // TCP, configuration pulls.
    std::uint32_t linkMbps = 0; // A second, of its host's own link; 0: not told.
    std::string cluster;        // The service of the upstream beside it; empty when there is none.
    UpstreamState upstream = UpstreamState::None;
    std::uint32_t slots = 0;
    std::uint64_t configurationVersion = 0; // The version that the node holds.

    bool operator==(const Member &) const = default;
};

} // namespace Sagecrank
