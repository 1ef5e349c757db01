// Writes many objects with a bounded number under way, so that a publish of a whole mesh does not take the
// platform's several hundred writes a second away from the keyed calls.
#pragma once

#include <LibSource/Ports.h>
#include <LibSource/Retry.h>

#include <map>

namespace Sagecrank {

using NamedObjects = std::map<std::string, ObjectBytes>;

// Each object is tried as the plan says; the first that fails for good is the answer. Writing an object twice
// does no harm, since its name says its content.
void writeObjects(const ObjectPort &objects, const Scheduler &later, RetryPolicy policy, NamedObjects all,
                  WriteCallback callback);

} // namespace Sagecrank
