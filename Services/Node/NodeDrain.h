// The order in which a node leaves: tell everyone, wait until they have heard, stop taking callers, let what
// runs finish, say goodbye. Runs without sockets or clocks.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <functional>

namespace Sagecrank {

enum class DrainStage : std::uint8_t {
    Serving,
    Announcing, // Others are being told; what still arrives is served or refused as not run.
    Finishing,  // No new callers; what is under way ends.
    Left,
};

inline constexpr EnumNames<DrainStage, 4> drainStageNames{{
    {DrainStage::Serving, "serving"},
    {DrainStage::Announcing, "announcing"},
    {DrainStage::Finishing, "finishing"},
    {DrainStage::Left, "left"},
}};

struct NodeDrainSettings
{
    Duration linger;  // For the news to reach every node.
    Duration maximum; // From the first word to the end, whatever still runs.
};

struct NodeDrainHooks
{
    std::function<void()> announceDraining;
    std::function<void()> stopCallers;
    std::function<bool()> idle; // Nothing is waiting, running or unanswered.
    std::function<void()> leave;
};

class NodeDrain
{
public:
    NodeDrain(NodeDrainSettings settings, NodeDrainHooks hooks);

    void begin(Instant now); // Later calls do nothing.
    void advance(Instant now);

    DrainStage stage() const { return this->current; }

private:
    const NodeDrainSettings settings;
    const NodeDrainHooks hooks;
    DrainStage current = DrainStage::Serving; // Only ever rises.
    Instant begunAt;
};

} // namespace Sagecrank
