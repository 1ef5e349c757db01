// Prints outcomes as a Markdown table.
#pragma once

#include <PolicyBench/Outcome.h>

#include <ostream>
#include <string>

namespace Sagecrank {

void printHeader(std::ostream &out);
// Prints one row per class.
void printRows(std::ostream &out, const std::string &scenario, const std::string &policy,
               const Outcome &outcome);
void printSummaryHeader(std::ostream &out);
// Prints one row, with values for interactive / non-idempotent / batch.
void printSummary(std::ostream &out, const std::string &scenario, const std::string &policy,
                  const Outcome &outcome);

} // namespace Sagecrank
