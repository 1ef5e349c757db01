// The status of a node, as reported to operators and in metrics.
#pragma once

#include <Node/Control/ControlPlane.h>
#include <Node/NodeDrain.h>

#include <LibMembership/Member.h>
#include <LibPlatform/PlatformClient.h>

#include <string>

namespace Sagecrank {

struct NodeStatus
{
    std::string id;
    std::string region;
    std::string zone;
    std::string site;
    DrainStage stage = DrainStage::Serving;
    UpstreamState upstream = UpstreamState::None;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t callsForwarded = 0;
    ControlStatus control;
    PlatformCounters platform;
};

std::string statusJson(const NodeStatus &status);

// Prometheus text.
std::string controlMetrics(const NodeStatus &status);

} // namespace Sagecrank
