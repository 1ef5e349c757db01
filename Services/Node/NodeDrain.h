// The order in which a node leaves: turn callers away softly, say goodbye to the other nodes, wait until they
// have heard, stop taking callers, let what runs finish. Runs without sockets or clocks.
//
// Load: hosts are restarted one after the other, one each 2.5 s, and three upstreams serve a service. Harm of
// telling the other nodes at once: each upstream stands idle while its callers look for another node, so that
// two of the three are out at a time. Callers need the whole linger, since they ask for readiness once a
// second; the last of 200 nodes hears in 0.7 s.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Sagecrank {

enum class DrainStage : std::uint8_t {
    Serving,
    Deflecting, // Callers are asked to go elsewhere; calls of other nodes are served as ever.
    Announcing, // Other nodes are being told; what still arrives of them is refused as not run.
    Finishing,  // No new callers; what is under way ends.
    Left,
};

inline constexpr EnumNames<DrainStage, 5> drainStageNames{{
    {DrainStage::Serving, "serving"},
    {DrainStage::Deflecting, "deflecting"},
    {DrainStage::Announcing, "announcing"},
    {DrainStage::Finishing, "finishing"},
    {DrainStage::Left, "left"},
}};

// Kept of the linger for the news to reach every node: half more than it took among 200.
inline constexpr Duration leaveAnnounceTime = std::chrono::seconds(1);

// What is withdrawn at the maximum is answered within this, and what still runs has as long.
inline constexpr Duration finalResponseTime = std::chrono::milliseconds(900);

struct NodeDrainSettings
{
    Duration linger;  // For callers to go elsewhere.
    Duration maximum; // From the first word to the last answers, whatever still runs.
};

struct NodeDrainHooks
{
    std::function<void()> deflectCallers;
    // Load: hosts are restarted one after the other. Harm of saying goodbye only when nothing runs any more:
    // the upstream stands idle for its 0.9 s as well, 2.5 s of each restart in place of 1.6 s.
    std::function<void()> announceLeave;
    std::function<bool()> leaveAnnounced;
    std::function<void()> stopCallers;
    std::function<bool()> idle;            // Nothing is waiting, running or unanswered.
    std::function<void()> withdrawWaiting; // What has not begun yet is refused.
    std::function<void()> leave;           // What still runs is answered as unknown.
    // A request that is still read, on any thread, is refused from now on. May be empty, as may the next.
    std::function<void()> refuseCallers = {};
    std::function<bool()> callersRefused = {}; // All threads do.
};

class NodeDrain
{
public:
    NodeDrain(NodeDrainSettings settings, NodeDrainHooks hooks);

    void configure(const NodeDrainSettings &settings);
    void begin(Instant now); // Later calls do nothing.
    void advance(Instant now);
    std::optional<Instant> nextStep() const; // When advance() has something to do, whatever else happens.

    DrainStage stage() const { return this->current; }

private:
    bool isDone();

    NodeDrainSettings settings;
    const NodeDrainHooks hooks;
    DrainStage current = DrainStage::Serving; // Only ever rises.
    Instant begunAt;
    std::optional<Instant> withdrawnAt; // Set at the maximum.
    bool refusing = false;              // Callers; only ever rises.
};

} // namespace Sagecrank
