// Derives the settings of a node's components, such as the control plane, the load balancer and admission
// control, from the node's settings.
#pragma once

#include "NodeSettings.h"
#include <Node/Control/ControlPlane.h>

#include <LibAccount/AllowanceGranter.h>
#include <LibDecide/Admission.h>
#include <LibDecide/BodyGrants.h>
#include <LibDecide/LoadBalancer.h>
#include <LibObserve/EventLog.h>

namespace Sagecrank {

EventLogSettings logSettings(const NodeSettings &settings);
ControlSettings controlSettings(const NodeSettings &settings);
AllowanceBounds allowanceBounds(const NodeSettings::Accounts &accounts);
LoadBalancerSettings loadBalancerSettings(const NodeSettings::Requests &requests);
double linkBytesPerSecond(const NodeSettings &settings);     // 0 if unknown.
std::uint64_t bodyMemoryBytes(const NodeSettings &settings); // That bodies of requests may take.
BodyGrantSettings bodyGrantSettings(const NodeSettings &settings);

// Admission control for the upstream beside the node. Its jitter is seeded with the node id.
AdmissionHooks makeAdmission(const NodeSettings &settings);

} // namespace Sagecrank
