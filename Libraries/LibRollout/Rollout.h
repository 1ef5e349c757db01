// The roll-out of a new version of a service: the operator's order, the stages that it goes through, and the
// record of it that nodes pass on to each other.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Sagecrank {

// Asks for the traffic of a service to be moved to the upstreams of another version.
struct RolloutOrder
{
    std::string cluster;
    std::string target; // The version to move to.
    Duration duration{};
    std::uint64_t sequence = 0; // A later order of the same service has a higher one.

    bool operator==(const RolloutOrder &) const = default;
};

// A roll-out only moves to later stages, so nodes that hear of several agree on the last one. A recorded end
// is final: whatever another node decided meanwhile, the operator acts on the record.
enum class RolloutStage : std::uint8_t {
    Probing, // The target gets a few calls, spread over its upstreams.
    Loading, // A few upstreams of the target get the load that they will have when the roll-out is completed.
    Watching,    // The target showed that it bears the load; it gets a few calls until the move.
    Moving,      // The target takes all calls, and the upstreams of the established version finish theirs.
    RollingBack, // The target was found bad and gets no calls; not recorded yet.
    RolledBack,
    Completed,
};

inline constexpr EnumNames<RolloutStage, 7> rolloutStageNames{{
    {RolloutStage::Probing, "probing"},
    {RolloutStage::Loading, "loading"},
    {RolloutStage::Watching, "watching"},
    {RolloutStage::Moving, "moving"},
    {RolloutStage::RollingBack, "rolling_back"},
    {RolloutStage::RolledBack, "rolled_back"},
    {RolloutStage::Completed, "completed"},
}};

constexpr bool isRecordedEnd(RolloutStage stage)
{
    return stage == RolloutStage::RolledBack || stage == RolloutStage::Completed;
}

// The target gets only a share of the calls.
constexpr bool isTrial(RolloutStage stage)
{
    return stage < RolloutStage::Moving;
}

struct RolloutRecord
{
    RolloutOrder order;
    std::string established; // The version that served when the order was given.
    RolloutStage stage = RolloutStage::Probing;
    Instant deadline; // By this host's clock.
    Instant stageSince;
};

// A record as it is sent to other nodes. Times are relative, since clocks differ.
std::string encodeRecord(const RolloutRecord &record, Instant now);
Result<RolloutRecord> decodeRecord(std::string_view bytes, Instant now, const std::string &peer);

} // namespace Sagecrank
