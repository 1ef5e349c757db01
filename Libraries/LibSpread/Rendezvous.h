// Rendezvous hashing: every node ranks the members of its zone for a role by itself, and all nodes with the
// same view come to the same ranking. A node that joins or leaves changes the ranking of nobody else.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// How many of the others go before this node in the given role; 0 is first.
std::uint32_t rendezvousRank(std::string_view role, std::string_view self,
                             const std::vector<std::string_view> &others);

// A node that may read whole configurations from the platform for its zone.
struct PlatformReader
{
    std::string_view id;
    std::uint32_t linkMbps = 0; // A second; 0: not told.
};

// Ranks for that: the first `readers` of a zone read each version, the others hear of it and get the change
// from peers.
//
// Load: hosts of 5 and of 100 Mbit/s side by side; a version is 600 KB at the platform, one second of the
// narrower link. Harm of ranking by hash alone: with a change each second a narrow reader's link is full, and
// each call to or from it takes 270 ms more (median, from the nodes' own lines). So nodes whose link is less
// than half of the zone's widest come after all others, and read none themselves while two wide ones live.
std::uint32_t platformReaderRank(std::string_view role, const PlatformReader &self,
                                 const std::vector<PlatformReader> &others, std::uint32_t readers);

} // namespace Sagecrank
