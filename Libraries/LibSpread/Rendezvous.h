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

} // namespace Sagecrank
