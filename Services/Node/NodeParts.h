// What a node's settings mean for its parts: how its control plane reads, how it places calls and which rule
// admits them.
#pragma once

#include "NodeSettings.h"
#include <Node/Control/ControlPlane.h>

#include <LibDecide/Admission.h>
#include <LibDecide/BodyGrants.h>
#include <LibDecide/LoadBalancer.h>
#include <LibObserve/EventLog.h>

namespace Sagecrank {

EventLogSettings logSettings(const NodeSettings &settings);
ControlSettings controlSettings(const NodeSettings &settings);
LoadBalancerSettings placerSettings(const NodeSettings::Requests &requests);
BodyGrantSettings bodyGrantSettings(const NodeSettings &settings);

// The rule of the gate beside the upstream; its jitter differs from node to node.
AdmissionHooks makeAdmission(const NodeSettings &settings);

} // namespace Sagecrank
