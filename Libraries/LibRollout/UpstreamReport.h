// What a node observed of the calls that ran at the upstream beside it during a roll-out, by route.
// Cumulative, so that a lost or repeated report does no harm.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

struct RouteFigures
{
    std::uint64_t kind = 0; // Hash of the route.
    std::uint32_t calls = 0;
    std::uint32_t failures = 0;
    // Of the natural logarithm of the run time in seconds, over the calls that succeeded.
    float meanLogSeconds = 0;
    float varianceLogSeconds = 0;
    std::uint32_t longestMilliseconds = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->calls, this->failures, this->meanLogSeconds, this->varianceLogSeconds,
                this->longestMilliseconds);
    }
};

struct UpstreamReport
{
    std::string cluster;
    std::uint64_t sequence = 0; // Of the order.
    std::string version;        // Of the upstream.
    std::uint32_t number = 0;   // Increases with each report of one node.
    std::vector<RouteFigures> routes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->cluster, this->sequence, this->version, this->number, this->routes);
    }
};

// Routes in one report. More are left out, so that it fits a datagram.
inline constexpr std::size_t maximumReportedRoutes = 24;

std::string encodeReport(const UpstreamReport &report);
Result<UpstreamReport> decodeReport(std::string_view bytes, const std::string &peer);

// The sums of one upstream. Not thread-safe.
class UpstreamTally
{
public:
    // Commands.
    void record(std::uint64_t kind, bool failed, Duration runTime);
    void reset() { this->routes.clear(); }

    // Queries.
    std::vector<RouteFigures> figures() const;

private:
    using LogTimes = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                           boost::accumulators::tag::variance>>;

    struct Route
    {
        std::uint32_t calls = 0;
        std::uint32_t failures = 0;
        LogTimes logSeconds;
        Duration longest{};
    };

    std::unordered_map<std::uint64_t, Route> routes; // At most `maximumReportedRoutes`.
};

} // namespace Sagecrank
