// Writes many objects with bounded concurrency, so that publishing a whole mesh leaves keyed calls their
// share of the several hundred writes per second that the platform allows.
#pragma once

#include <LibSource/Ports.h>
#include <LibSource/Retry.h>

#include <map>

namespace Sagecrank {

using NamedObjects = std::map<std::string, ObjectBytes>;

// Retries each object as the policy allows and reports the first error that remains. Writing an object twice
// is harmless, since its name determines its content.
void writeObjects(const ObjectPort &objects, const Scheduler &scheduler, RetryPolicy policy, NamedObjects all,
                  WriteCallback callback);

} // namespace Sagecrank
