// Rendezvous hashing: every node ranks the members of its zone for a role on its own, and nodes with the same
// view compute the same ranking. A node that joins or leaves does not change the order of the others.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Number of the others that rank before this node for the given role; 0 is first.
std::uint32_t rendezvousRank(std::string_view role, std::string_view self,
                             const std::vector<std::string_view> &others);

// A node that may read full configurations from the platform for its zone.
struct PlatformReader
{
    std::string_view id;
    std::uint32_t linkMbps = 0; // Zero: unknown.
};

// Rank for reading versions from the platform: the first `readers` nodes of a zone read each version, and the
// others get the change from peers.
//
// A version is 600 KB at the platform, one second of a 5 Mbit/s link. Ranked by hash alone, a reader with
// such a link next to hosts with 100 Mbit/s has a full link when versions change every second, and each call
// to or from it takes 270 ms longer (median, from the logs of nodes). So nodes with less than half of the
// zone's highest bandwidth rank after all others, and read nothing while two fast nodes are present.
std::uint32_t platformReaderRank(std::string_view role, const PlatformReader &self,
                                 const std::vector<PlatformReader> &others, std::uint32_t readers);

} // namespace Sagecrank
