// Measures the time of one decision on the request path.
#pragma once

#include <ostream>

namespace Sagecrank {

void printCosts(std::ostream &out);

} // namespace Sagecrank
