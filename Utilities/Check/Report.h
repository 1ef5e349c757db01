// Prints verdicts over a history, as a table for people or as JSON for scripts.
#pragma once

#include <LibHistory/Checkers.h>

#include <cstddef>
#include <ostream>
#include <vector>

namespace Sagecrank {

// Prints at most `shownViolations` of each promise, each with its events.
void printTable(std::ostream &out, const History &history, const std::vector<CheckResult> &verdicts,
                std::size_t shownViolations);

void printJson(std::ostream &out, const History &history, const std::vector<CheckResult> &verdicts);

} // namespace Sagecrank
