// What one decision costs on the path of a request, measured by the clock.
#pragma once

#include <ostream>

namespace Sagecrank {

void printCosts(std::ostream &out);

} // namespace Sagecrank
