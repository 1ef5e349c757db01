// The drain state machine of a node: ask callers to use another node, announce to the other nodes that this
// one leaves, wait until the announcement has spread, stop accepting callers, and let running calls finish.
// Uses no sockets and no clock.
//
// The other nodes are notified late in the linger time. When hosts are restarted one after the other, one
// every 2.5 s, and three upstreams serve a service, notifying them at once would leave each upstream idle
// while its callers move to another node, so that two of the three are out at a time. Callers need the whole
// linger time, since they check readiness once a second; the announcement reaches the last of 200 nodes in
// 0.7 s.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Sagecrank {

enum class DrainStage : std::uint8_t {
    Serving,
    Deflecting, // Callers are asked to use another node; calls from other nodes are still served.
    Announcing, // Other nodes are being notified; calls that still arrive from them are refused as not run.
    Finishing,  // No new callers are accepted; calls in progress finish.
    Left,
};

inline constexpr EnumNames<DrainStage, 5> drainStageNames{{
    {DrainStage::Serving, "serving"},
    {DrainStage::Deflecting, "deflecting"},
    {DrainStage::Announcing, "announcing"},
    {DrainStage::Finishing, "finishing"},
    {DrainStage::Left, "left"},
}};

// Part of the linger time reserved for the announcement to reach every node: 1.5 times what it takes among
// 200 nodes.
inline constexpr Duration leaveAnnounceTime = std::chrono::seconds(1);

// After the maximum drain time: for the responses to cancelled calls, and for running calls to finish.
inline constexpr Duration finalResponseTime = std::chrono::milliseconds(900);

struct NodeDrainSettings
{
    Duration linger;  // Time for callers to move to another node.
    Duration maximum; // Time from the start of the drain until calls that still wait are cancelled.
};

struct NodeDrainHooks
{
    std::function<void()> deflectCallers;
    // Called before the node is idle. If it announced the leave only then, the upstream would stand idle for
    // the 0.9 s that this takes as well: 2.5 s of each restart instead of 1.6 s.
    std::function<void()> announceLeave;
    std::function<bool()> leaveAnnounced;
    std::function<void()> stopCallers;
    std::function<bool()> idle;                 // No call is waiting, running or unanswered.
    std::function<void()> withdrawPendingCalls; // Refuses calls that have not started yet.
    std::function<void()> leave;                // Answers calls that still run with an unknown outcome.
    // From now on, refuses requests that are still being read on any thread. Optional, like the next hook.
    std::function<void()> refuseCallers = {};
    std::function<bool()> callersRefused = {}; // Whether all threads refuse them.
};

class NodeDrain
{
public:
    NodeDrain(NodeDrainSettings settings, NodeDrainHooks hooks);

    void configure(const NodeDrainSettings &settings);
    void begin(Instant now); // Later calls do nothing.
    void advance(Instant now);
    std::optional<Instant> nextStep() const; // When advance() must be called next at the latest.

    DrainStage stage() const { return this->currentStage; }

    // Once callers are stopped, a call with a later deadline is not started, since the end of the process
    // could cut it off. Valid after begin().
    Instant callsEndBy() const { return this->begunAt + this->settings.maximum; }

private:
    bool isDone();

    NodeDrainSettings settings;
    const NodeDrainHooks hooks;
    DrainStage currentStage = DrainStage::Serving; // Only moves forward.
    Instant begunAt;
    std::optional<Instant> withdrawnAt; // Set when the maximum drain time has passed.
    bool refusing = false;              // refuseCallers() was called; never reset.
};

} // namespace Sagecrank
