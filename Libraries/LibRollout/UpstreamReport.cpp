// Sums and encodes observations of an upstream.
#include <LibRollout/UpstreamReport.h>

#include <LibWire/Archive.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

constexpr double shortestRunSeconds = 1e-4;

bool isValid(const RouteFigures &figures)
{
    return std::isfinite(figures.meanLogSeconds) && std::isfinite(figures.varianceLogSeconds)
           && figures.varianceLogSeconds >= 0 && figures.failures <= figures.calls;
}

} // namespace

std::string encodeReport(const UpstreamReport &report)
{
    const Bytes bytes = encode(report);
    return {bytes.begin(), bytes.end()};
}

Result<UpstreamReport> decodeReport(std::string_view bytes, const std::string &peer)
{
    const std::string step = "decode upstream report";
    Result<UpstreamReport> decoded = decode<UpstreamReport>({bytes.data(), bytes.size()}, step, peer);
    if (!decoded)
        return decoded;
    const UpstreamReport &report = decoded.assume_value();
    if (report.routes.size() > maximumReportedRoutes || !std::ranges::all_of(report.routes, isValid))
        return makeError(ErrorKind::InvalidInput, step, peer, "a figure is out of range");
    return decoded;
}

void UpstreamTally::record(std::uint64_t kind, bool failed, Duration runTime)
{
    if (this->routes.size() >= maximumReportedRoutes && !this->routes.contains(kind))
        return;
    Route &route = this->routes[kind];
    ++route.calls;
    if (failed) {
        ++route.failures;
        return;
    }
    const double seconds = std::chrono::duration<double>(runTime).count();
    route.logSeconds(std::log(std::max(seconds, shortestRunSeconds)));
    route.longest = std::max(route.longest, runTime);
}

std::vector<RouteFigures> UpstreamTally::figures() const
{
    namespace accumulators = boost::accumulators;
    std::vector<RouteFigures> result;
    result.reserve(this->routes.size());
    for (const auto &[kind, route] : this->routes) {
        RouteFigures figures;
        figures.kind = kind;
        figures.calls = route.calls;
        figures.failures = route.failures;
        if (accumulators::count(route.logSeconds) > 0) {
            figures.meanLogSeconds = static_cast<float>(accumulators::mean(route.logSeconds));
            figures.varianceLogSeconds =
                std::max(0.0F, static_cast<float>(accumulators::variance(route.logSeconds)));
        }
        figures.longestMilliseconds = static_cast<std::uint32_t>(wholeMilliseconds(route.longest));
        result.push_back(figures);
    }
    return result;
}

} // namespace Sagecrank
