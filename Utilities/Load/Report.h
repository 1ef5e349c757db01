// Formats the statistics of a run as text and as JSON.
#pragma once

#include <Load/LoadStatistics.h>
#include <Load/Settings.h>

#include <string>

namespace Sagecrank {

std::string formatTextReport(const LoadSettings &settings, const LoadStatistics &statistics);
std::string formatJsonReport(const LoadSettings &settings, const LoadStatistics &statistics);

} // namespace Sagecrank
