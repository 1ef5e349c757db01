// Parses path service times and draws from them.
#include <UpstreamEmulator/ServiceTime.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace Sagecrank {

namespace {

constexpr double maximumMilliseconds = 600'000;
constexpr double lognormalSigma = 0.6; // The 99th percentile is about 4 medians, typical of services.

std::optional<double> parseMilliseconds(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    if (!(value >= 0 && value <= maximumMilliseconds))
        return std::nullopt;
    return value;
}

} // namespace

std::string_view queryValue(std::string_view target, std::string_view name)
{
    std::size_t at = target.find('?');
    while (at != std::string_view::npos) {
        const std::string_view rest = target.substr(at + 1);
        const std::string_view pair = rest.substr(0, rest.find('&'));
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        at = target.find('&', at + 1);
    }
    return {};
}

Result<PathServiceTime> parsePathServiceTime(std::string_view text)
{
    const auto malformed = [&] {
        return makeError(ErrorKind::InvalidInput, "read service time", std::string(text),
                         "expected prefix=milliseconds[:fixed|exponential|lognormal]");
    };
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos)
        return malformed();
    PathServiceTime path;
    path.prefix = text.substr(0, equals);
    std::string_view mean = text.substr(equals + 1);
    if (const std::size_t colon = mean.find(':'); colon != std::string_view::npos) {
        const auto distribution = workDistributionNames.value(mean.substr(colon + 1));
        if (!distribution)
            return malformed();
        path.distribution = *distribution;
        mean = mean.substr(0, colon);
    }
    const auto milliseconds = parseMilliseconds(mean);
    if (!milliseconds)
        return malformed();
    path.meanMilliseconds = *milliseconds;
    return path;
}

ServiceTime::ServiceTime(std::vector<PathServiceTime> paths, ColdStart cold, std::uint64_t seed)
    : paths(std::move(paths))
    , cold(cold)
    , random(seed)
{
    std::stable_sort(this->paths.begin(), this->paths.end(),
                     [](const PathServiceTime &left, const PathServiceTime &right) {
                         return left.prefix.size() > right.prefix.size();
                     });
}

Microseconds ServiceTime::draw(std::string_view target, Duration sinceStart, double slowFactor)
{
    double milliseconds = this->drawMilliseconds(target) * slowFactor;
    if (sinceStart < this->cold.length) {
        const double passed =
            std::chrono::duration<double>(sinceStart) / std::chrono::duration<double>(this->cold.length);
        milliseconds *= 1 + ((this->cold.factor - 1) * (1 - passed));
    }
    return Microseconds(std::llround(std::min(milliseconds, maximumMilliseconds) * 1000));
}

double ServiceTime::drawMilliseconds(std::string_view target)
{
    if (const auto asked = parseMilliseconds(queryValue(target, "work_ms")))
        return *asked;
    for (const PathServiceTime &path : this->paths) {
        if (!target.starts_with(path.prefix))
            continue;
        switch (path.distribution) {
        case WorkDistribution::Fixed:
            return path.meanMilliseconds;
        case WorkDistribution::Exponential:
            return path.meanMilliseconds * std::exponential_distribution<double>(1)(this->random);
        case WorkDistribution::Lognormal: {
            // This location makes the distribution's mean equal 1.
            const double location = -lognormalSigma * lognormalSigma / 2;
            return path.meanMilliseconds
                   * std::lognormal_distribution<double>(location, lognormalSigma)(this->random);
        }
        }
    }
    return 0;
}

} // namespace Sagecrank
