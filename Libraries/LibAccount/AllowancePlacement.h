// Which node grants the allowance of an account: the first of all present members by rendezvous hashing, so
// nodes with the same view agree without messages. Uses no sockets or clocks.
#pragma once

#include <LibAccount/AllowanceMessages.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

struct GranterNode
{
    std::uint64_t idHash = 0;
    std::string address;
    bool isSelf = false;
};

// A present or departed member of the mesh.
struct PlacementMember
{
    std::string id;
    std::string address;
    bool isPresent = true;
    bool hasLeft = false; // Stated that it leaves, in contrast to one that stopped answering.
};

class AllowancePlacement
{
public:
    explicit AllowancePlacement(std::string ownId, Instant startedAt);

    // Commands.
    void setMembers(Instant now, const std::vector<PlacementMember> &members);

    // Queries.

    // The node for a role, or null if there are not enough nodes. The pointer is valid until the members
    // change.
    const GranterNode *granter(AccountHash account, GranterRole role) const;
    // Since when this node may be the primary of the account: another one that ranked before it departed
    // then, or this process started.
    Instant primarySince(Instant now, AccountHash account) const;
    // Whether this node sees more than half of the members that it recently knew. On the smaller side of a
    // partition nobody grants, since the other side does.
    bool seesMajority(Instant now) const;

private:
    struct Departure
    {
        std::uint64_t idHash = 0;
        Instant at{};
        bool hasLeft = false;
    };

    static std::uint64_t score(std::uint64_t idHash, AccountHash account);
    const std::array<int, 2> &ranking(AccountHash account) const;
    void forgetDepartures(Instant now);

    const std::string ownId;
    const std::uint64_t ownHash;
    const Instant startedAt;
    std::vector<GranterNode> nodes; // Present members, this node included.
    std::vector<Departure> departures;
    mutable std::unordered_map<AccountHash, std::array<int, 2>> rankings; // Indices into `nodes`; -1: none.
};

} // namespace Sagecrank
