// Implements Report.h.
#include <Load/Report.h>

#include <boost/json.hpp>

#include <cstdio>

namespace Sagecrank {

namespace json = boost::json;

namespace {

struct Quantile
{
    const char *name;
    double value;
};

constexpr Quantile quantiles[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string format(const char *pattern, auto... values)
{
    char text[256];
    std::snprintf(text, sizeof(text), pattern, values...);
    return text;
}

std::string quantilesText(const LatencyHistogram &latencies)
{
    std::string text;
    for (const Quantile &quantile : quantiles)
        text += format(" %s %.3f", quantile.name, toMilliseconds(latencies.quantile(quantile.value)));
    return text + " ms";
}

std::string kindText(const std::string &name, const KindStatistics &statistics, double seconds)
{
    std::string text = format("  %-12s %9llu calls, in time %.1f/s, done", name.c_str(),
                              static_cast<unsigned long long>(statistics.total()),
                              static_cast<double>(statistics.withinDeadline) / seconds);
    text += quantilesText(statistics.doneLatency) + "\n   ";
    for (const auto &[outcome, label] : finalOutcomeNames.rows) {
        if (statistics.count(outcome) != 0)
            text +=
                format(" %s=%llu", label.data(), static_cast<unsigned long long>(statistics.count(outcome)));
    }
    text += format(" retries=%llu replayed=%llu", static_cast<unsigned long long>(statistics.retries),
                   static_cast<unsigned long long>(statistics.replayed));
    for (const auto &[reason, count] : statistics.reasons)
        text += format(" [%s]=%llu", reason.c_str(), static_cast<unsigned long long>(count));
    if (statistics.refusedLatency.count() != 0)
        text += " refused after" + quantilesText(statistics.refusedLatency);
    return text + "\n";
}

std::string trafficPathText(const char *title, const LoadSettings &settings, const LoadStatistics &statistics,
                            TrafficPath trafficPath)
{
    std::string text =
        std::string(title) + ":\n" + kindText("all", statistics.mergedKinds(trafficPath), settings.seconds);
    const auto &kinds = statistics.byTrafficPath[static_cast<std::size_t>(trafficPath)];
    for (std::size_t index = 0; settings.mix.size() > 1 && index < kinds.size(); ++index)
        text += kindText(settings.mix[index].name, kinds[index], settings.seconds);
    return text;
}

json::object quantilesJson(const LatencyHistogram &latencies)
{
    json::object object;
    for (const Quantile &quantile : quantiles)
        object[quantile.name] = toMilliseconds(latencies.quantile(quantile.value));
    return object;
}

json::object kindJson(const KindStatistics &statistics, double seconds)
{
    json::object object;
    object["calls"] = statistics.total();
    for (const auto &[outcome, label] : finalOutcomeNames.rows)
        object[std::string(label)] = statistics.count(outcome);
    object["goodput"] = static_cast<double>(statistics.withinDeadline) / seconds;
    object["retries"] = statistics.retries;
    object["replayed"] = statistics.replayed;
    object["done_ms"] = quantilesJson(statistics.doneLatency);
    object["refused_ms"] = quantilesJson(statistics.refusedLatency);
    json::object reasons;
    for (const auto &[reason, count] : statistics.reasons)
        reasons[reason] = count;
    object["reasons"] = std::move(reasons);
    return object;
}

json::object trafficPathJson(const LoadSettings &settings, const LoadStatistics &statistics,
                             TrafficPath trafficPath)
{
    json::object object = kindJson(statistics.mergedKinds(trafficPath), settings.seconds);
    json::object kinds;
    for (std::size_t index = 0; index < settings.mix.size(); ++index)
        kinds[settings.mix[index].name] = kindJson(
            statistics.byTrafficPath[static_cast<std::size_t>(trafficPath)][index], settings.seconds);
    object["kinds"] = std::move(kinds);
    return object;
}

} // namespace

std::string formatTextReport(const LoadSettings &settings, const LoadStatistics &statistics)
{
    std::string text =
        format("%.0f calls/s offered (%s) for %.1f s after %.1f s of warm-up, seed %llu\n", settings.rate,
               arrivalKindNames.name(settings.arrivals).data(), settings.seconds, settings.warmupSeconds,
               static_cast<unsigned long long>(settings.seed));
    text += "latency from the intended start; the tool itself sent late by"
            + quantilesText(statistics.sendLag) + "\n";
    if (!settings.targets.empty())
        text += trafficPathText("through nodes", settings, statistics, TrafficPath::ThroughNode);
    if (!settings.direct.empty())
        text += trafficPathText("direct to upstreams", settings, statistics, TrafficPath::Direct);
    if (settings.targets.empty() || settings.direct.empty())
        return text;
    const LatencyHistogram through = statistics.mergedKinds(TrafficPath::ThroughNode).doneLatency;
    const LatencyHistogram direct = statistics.mergedKinds(TrafficPath::Direct).doneLatency;
    text += "added latency (difference of the quantiles):";
    for (const Quantile &quantile : quantiles) {
        text += format(" %s %.3f", quantile.name,
                       toMilliseconds(through.quantile(quantile.value))
                           - toMilliseconds(direct.quantile(quantile.value)));
    }
    return text + " ms\n";
}

std::string formatJsonReport(const LoadSettings &settings, const LoadStatistics &statistics)
{
    json::object object;
    object["rate"] = settings.rate;
    object["seconds"] = settings.seconds;
    object["seed"] = settings.seed;
    object["send_lag_ms"] = quantilesJson(statistics.sendLag);
    if (!settings.targets.empty())
        object["through"] = trafficPathJson(settings, statistics, TrafficPath::ThroughNode);
    if (!settings.direct.empty())
        object["direct"] = trafficPathJson(settings, statistics, TrafficPath::Direct);
    if (!settings.targets.empty() && !settings.direct.empty()) {
        json::object added;
        const LatencyHistogram through = statistics.mergedKinds(TrafficPath::ThroughNode).doneLatency;
        const LatencyHistogram direct = statistics.mergedKinds(TrafficPath::Direct).doneLatency;
        for (const Quantile &quantile : quantiles)
            added[quantile.name] = toMilliseconds(through.quantile(quantile.value))
                                   - toMilliseconds(direct.quantile(quantile.value));
        object["added_ms"] = std::move(added);
    }
    return json::serialize(object) + "\n";
}

} // namespace Sagecrank
