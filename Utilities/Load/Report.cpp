// Prints tallies.
#include <Load/Report.h>

#include <boost/json.hpp>

#include <cstdio>

namespace Sagecrank {

namespace json = boost::json;

namespace {

struct Share
{
    const char *name;
    double value;
};

constexpr Share shares[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string formatted(const char *format, auto... values)
{
    char text[256];
    std::snprintf(text, sizeof(text), format, values...);
    return text;
}

std::string quantilesText(const Latencies &latencies)
{
    std::string text;
    for (const Share &share : shares)
        text += formatted(" %s %.3f", share.name, milliseconds(latencies.quantile(share.value)));
    return text + " ms";
}

std::string kindText(const std::string &name, const KindTally &tally, double seconds)
{
    std::string text = formatted("  %-12s %9llu calls, in time %.1f/s, done", name.c_str(),
                                 static_cast<unsigned long long>(tally.total()),
                                 static_cast<double>(tally.inTime) / seconds);
    text += quantilesText(tally.done) + "\n   ";
    for (const auto &[outcome, label] : finalOutcomeNames.rows) {
        if (tally.count(outcome) != 0)
            text +=
                formatted(" %s=%llu", label.data(), static_cast<unsigned long long>(tally.count(outcome)));
    }
    text += formatted(" retries=%llu replayed=%llu", static_cast<unsigned long long>(tally.retries),
                      static_cast<unsigned long long>(tally.replayed));
    for (const auto &[reason, count] : tally.reasons)
        text += formatted(" [%s]=%llu", reason.c_str(), static_cast<unsigned long long>(count));
    if (tally.refused.count() != 0)
        text += " refused after" + quantilesText(tally.refused);
    return text + "\n";
}

std::string routeText(const char *title, const LoadSettings &settings, const Tally &tally, Way way)
{
    std::string text = std::string(title) + ":\n" + kindText("all", tally.whole(way), settings.seconds);
    const auto &kinds = tally.ways[static_cast<std::size_t>(way)];
    for (std::size_t index = 0; settings.mix.size() > 1 && index < kinds.size(); ++index)
        text += kindText(settings.mix[index].name, kinds[index], settings.seconds);
    return text;
}

json::object quantilesJson(const Latencies &latencies)
{
    json::object object;
    for (const Share &share : shares)
        object[share.name] = milliseconds(latencies.quantile(share.value));
    return object;
}

json::object kindJson(const KindTally &tally, double seconds)
{
    json::object object;
    object["calls"] = tally.total();
    for (const auto &[outcome, label] : finalOutcomeNames.rows)
        object[std::string(label)] = tally.count(outcome);
    object["goodput"] = static_cast<double>(tally.inTime) / seconds;
    object["retries"] = tally.retries;
    object["replayed"] = tally.replayed;
    object["done_ms"] = quantilesJson(tally.done);
    object["refused_ms"] = quantilesJson(tally.refused);
    json::object reasons;
    for (const auto &[reason, count] : tally.reasons)
        reasons[reason] = count;
    object["reasons"] = std::move(reasons);
    return object;
}

json::object routeJson(const LoadSettings &settings, const Tally &tally, Way way)
{
    json::object object = kindJson(tally.whole(way), settings.seconds);
    json::object kinds;
    for (std::size_t index = 0; index < settings.mix.size(); ++index)
        kinds[settings.mix[index].name] =
            kindJson(tally.ways[static_cast<std::size_t>(way)][index], settings.seconds);
    object["kinds"] = std::move(kinds);
    return object;
}

} // namespace

std::string textReport(const LoadSettings &settings, const Tally &tally)
{
    std::string text =
        formatted("%.0f calls/s offered (%s) for %.1f s after %.1f s of warm-up, seed %llu\n", settings.rate,
                  arrivalKindNames.name(settings.arrivals).data(), settings.seconds, settings.warmupSeconds,
                  static_cast<unsigned long long>(settings.seed));
    text +=
        "latency from the intended start; the tool itself sent late by" + quantilesText(tally.sendLag) + "\n";
    if (!settings.targets.empty())
        text += routeText("through nodes", settings, tally, Way::Through);
    if (!settings.direct.empty())
        text += routeText("direct to upstreams", settings, tally, Way::Direct);
    if (settings.targets.empty() || settings.direct.empty())
        return text;
    const Latencies through = tally.whole(Way::Through).done;
    const Latencies direct = tally.whole(Way::Direct).done;
    text += "added latency (difference of the quantiles):";
    for (const Share &share : shares) {
        text += formatted(" %s %.3f", share.name,
                          milliseconds(through.quantile(share.value))
                              - milliseconds(direct.quantile(share.value)));
    }
    return text + " ms\n";
}

std::string jsonReport(const LoadSettings &settings, const Tally &tally)
{
    json::object object;
    object["rate"] = settings.rate;
    object["seconds"] = settings.seconds;
    object["seed"] = settings.seed;
    object["send_lag_ms"] = quantilesJson(tally.sendLag);
    if (!settings.targets.empty())
        object["through"] = routeJson(settings, tally, Way::Through);
    if (!settings.direct.empty())
        object["direct"] = routeJson(settings, tally, Way::Direct);
    if (!settings.targets.empty() && !settings.direct.empty()) {
        json::object added;
        const Latencies through = tally.whole(Way::Through).done;
        const Latencies direct = tally.whole(Way::Direct).done;
        for (const Share &share : shares)
            added[share.name] =
                milliseconds(through.quantile(share.value)) - milliseconds(direct.quantile(share.value));
        object["added_ms"] = std::move(added);
    }
    return json::serialize(object) + "\n";
}

} // namespace Sagecrank
