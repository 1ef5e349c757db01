// A member of the mesh as other nodes know it: a node and the upstream it serves.
#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <string>

namespace Sagecrank {

// At the same incarnation, a later state overrides an earlier one.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, // Did not answer probes; can refute the suspicion with a higher incarnation.
    Dead,
    Left, // Left deliberately; final for this incarnation.
};

inline constexpr EnumNames<MemberState, 4> memberStateNames{{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Dead, "dead"},
    {MemberState::Left, "left"},
}};

// Last state that the node's upstream announced.
enum class UpstreamState : std::uint8_t {
    None, // No upstream is announced.
    Warming,
    Ready,
    Draining, // Finishes running requests and accepts no new ones.
    Gone,
};

inline constexpr EnumNames<UpstreamState, 5> upstreamStateNames{{
    {UpstreamState::None, "none"},
    {UpstreamState::Warming, "warming"},
    {UpstreamState::Ready, "ready"},
    {UpstreamState::Draining, "draining"},
    {UpstreamState::Gone, "gone"},
}};

// Addresses are "ip:port". Only the node itself raises its incarnation. A higher incarnation always wins; at
// the same incarnation the later state does. The configuration version is what the node reported directly: it
// changes too often to be gossiped as a change of the record.
struct Member
{
    std::string id;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::string region;
    std::string zone;
    std::string site; // Selects the configuration overlay; nodes pull configurations from peers of one site.
    std::string gossipAddress;  // UDP, membership.
    std::string peerAddress;    // TCP, calls between nodes.
    std::string controlAddress; // TCP, configuration pulls.
    std::uint32_t linkMbps = 0; // Bandwidth of the host's own link; 0: unknown.
    std::string cluster;        // Service of the node's upstream; empty without an upstream.
    std::string version{};      // Of the upstream's software; empty if it states none.
    UpstreamState upstream = UpstreamState::None;
    std::uint32_t slots = 0;
    std::uint64_t configurationVersion = 0; // Version that the node holds.

    bool operator==(const Member &) const = default;
};

} // namespace Sagecrank
