// Prints the results of the checkers, as a readable table or as JSON for scripts.
#pragma once

#include <LibHistory/Checkers.h>

#include <cstddef>
#include <ostream>
#include <vector>

namespace Sagecrank {

// Prints at most `shownViolations` violations of each invariant, each with its events.
void printTable(std::ostream &out, const History &history, const std::vector<CheckResult> &results,
                std::size_t shownViolations);

void printJson(std::ostream &out, const History &history, const std::vector<CheckResult> &results);

} // namespace Sagecrank
