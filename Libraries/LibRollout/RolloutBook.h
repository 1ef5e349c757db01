// What one node knows of the versions of each service: which one is established, and which roll-outs are
// under way. Decides which versions may get calls. Has no clock and performs no I/O.
//
// The new version's upstreams may announce themselves before the order that they belong to is known, and a
// node may start without memory in the middle of a roll-out. So an upstream's version gets calls only if it
// is the established one or a roll-out allows it.
#pragma once

#include <LibRollout/Rollout.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// An upstream as membership describes it; the texts are views into that.
struct VersionedUpstream
{
    std::string_view cluster;
    std::string_view version;
    bool available = false; // Takes calls.
};

// Which versions of one service may get calls.
struct VersionRule
{
    std::optional<std::string> established; // Unknown while no upstream of the service was seen.
    std::string target;                     // Empty without a roll-out.
    std::optional<RolloutStage> stage;      // Of the roll-out, if there is one.

    // Whether calls go to this version like to any upstream.
    bool serves(const std::string &version) const;
    // Whether this version gets only the share of calls that a roll-out allows it.
    bool isOnTrial(const std::string &version) const;
};

class RolloutBook
{
public:
    // Commands. Each returns whether a record changed.

    // An order was read. `established` is taken from the upstreams that were seen.
    bool recordOrder(Instant now, const RolloutOrder &order);
    // The order was removed: the target gets no more calls, unless an end was recorded.
    bool withdrawOrder(Instant now, const std::string &cluster);
    // A record that another node holds.
    bool merge(Instant now, const RolloutRecord &remote);
    // Moves the roll-out of this order to a later stage.
    bool raiseStage(Instant now, const std::string &cluster, std::uint64_t sequence, RolloutStage stage);
    void observeUpstreams(const std::vector<VersionedUpstream> &upstreams);
    // Drops records whose end was recorded before `before`. Their orders are not taken up again.
    bool forgetEnded(Instant before);

    // Queries.
    const RolloutRecord *find(const std::string &cluster) const;
    const std::map<std::string, RolloutRecord> &records() const { return this->rollouts; }
    const std::string *establishedVersion(const std::string &cluster) const; // Null if unknown.
    VersionRule rule(const std::string &cluster) const;

private:
    using VersionCounts = std::map<std::string_view, std::size_t>; // Available upstreams by version.

    void updateEstablished(const std::string &cluster, const VersionCounts &counts);

    std::map<std::string, RolloutRecord> rollouts;            // By service.
    std::unordered_map<std::string, std::string> established; // By service.
    std::unordered_map<std::string, std::uint64_t>
        endedSequences; // Of the last forgotten record, by service.
};

} // namespace Sagecrank
