// The result of a run as text for people and as JSON.
#pragma once

#include <Load/LoadStatistics.h>
#include <Load/Settings.h>

#include <string>

namespace Sagecrank {

std::string textReport(const LoadSettings &settings, const Tally &tally);
std::string jsonReport(const LoadSettings &settings, const Tally &tally);

} // namespace Sagecrank
