// Merging of shards, quantiles, and the text exposition.
#include <LibObserve/Metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_variate.hpp>
#include <boost/accumulators/statistics/weighted_mean.hpp>
#include <boost/accumulators/statistics/weighted_tail_quantile.hpp>

#include <algorithm>
#include <cstdio>

namespace Sagecrank {

namespace accumulators = boost::accumulators;

namespace {

// One sample for each bucket that holds anything, weighted by its count. The tail keeps all of them, so the
// quantiles are exact over the buckets.
using BucketStatistics = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::weighted_tail_quantile<accumulators::right>,
                        accumulators::tag::weighted_mean, accumulators::tag::min, accumulators::tag::max>,
    double>;

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"')
            escaped += '\\';
        if (character == '\n')
            escaped += "\\n";
        else
            escaped += character;
    }
    return escaped;
}

std::string joinLabels(const std::vector<MetricLabel> &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        if (!text.empty())
            text += ',';
        text.append(label.name).append("=\"").append(escapeLabel(label.value)).append("\"");
    }
    return text;
}

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.9g", value);
    return text;
}

void appendLine(std::string &text, std::string_view name, std::string_view labels, const std::string &value)
{
    text.append(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    text.append(" ").append(value).append("\n");
}

} // namespace

std::size_t metricShard()
{
    thread_local char mark = 0;
    // Thread-local storage of different threads lies pages apart; multiplying spreads the page numbers.
    const auto page = static_cast<std::uint64_t>(reinterpret_cast<std::uintptr_t>(&mark)) >> 12;
    return static_cast<std::size_t>((page * 0x9e3779b97f4a7c15ULL) >> 61);
}

std::uint64_t Counter::value() const
{
    std::uint64_t total = 0;
    for (const Shard &shard : this->shards)
        total += shard.value.load(std::memory_order_relaxed);
    return total;
}

DistributionSummary Distribution::summary() const
{
    std::array<std::uint64_t, Buckets::count> counts{};
    for (const Shard &shard : this->shards) {
        for (std::size_t bucket = 0; bucket < counts.size(); ++bucket)
            counts[bucket] += shard.counts[bucket].load(std::memory_order_relaxed);
    }
    const auto filled = static_cast<std::size_t>(
        std::count_if(counts.begin(), counts.end(), [](std::uint64_t count) { return count != 0; }));
    DistributionSummary summary;
    if (filled == 0)
        return summary;
    BucketStatistics statistics(accumulators::right_tail_cache_size = filled);
    for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
        if (counts[bucket] == 0)
            continue;
        summary.count += counts[bucket];
        statistics(Buckets::value(bucket) * this->scale,
                   accumulators::weight = static_cast<double>(counts[bucket]));
    }
    const auto quantile = [&](double share) {
        return accumulators::quantile(statistics, accumulators::quantile_probability = share);
    };
    summary.mean = accumulators::weighted_mean(statistics);
    summary.smallest = accumulators::min(statistics);
    summary.largest = accumulators::max(statistics);
    summary.p50 = quantile(0.5);
    summary.p90 = quantile(0.9);
    summary.p99 = quantile(0.99);
    summary.p999 = quantile(0.999);
    return summary;
}

double Distribution::sum() const
{
    std::uint64_t total = 0;
    for (const Shard &shard : this->shards)
        total += shard.sum.load(std::memory_order_relaxed);
    return static_cast<double>(total) * this->scale;
}

Counter &Metrics::counter(std::string_view name, std::string_view help, std::vector<MetricLabel> labels)
{
    const std::lock_guard guard(this->lock);
    Metric &metric = this->metric(name, help, Kind::Counter, labels);
    if (!metric.counter)
        metric.counter = std::make_unique<Counter>();
    return *metric.counter;
}

Gauge &Metrics::gauge(std::string_view name, std::string_view help, std::vector<MetricLabel> labels)
{
    const std::lock_guard guard(this->lock);
    Metric &metric = this->metric(name, help, Kind::Gauge, labels);
    if (!metric.gauge)
        metric.gauge = std::make_unique<Gauge>();
    return *metric.gauge;
}

void Metrics::gauge(std::string_view name, std::string_view help, std::function<double()> read)
{
    const std::lock_guard guard(this->lock);
    this->metric(name, help, Kind::ReadGauge, {}).read = std::move(read);
}

Distribution &Metrics::distribution(std::string_view name, std::string_view help, double scale,
                                    std::vector<MetricLabel> labels)
{
    const std::lock_guard guard(this->lock);
    Metric &metric = this->metric(name, help, Kind::Distribution, labels);
    if (!metric.distribution)
        metric.distribution = std::make_unique<Distribution>(scale);
    return *metric.distribution;
}

Metrics::Metric &Metrics::metric(std::string_view name, std::string_view help, Kind kind,
                                 const std::vector<MetricLabel> &labels)
{
    auto family = std::find_if(this->families.begin(), this->families.end(),
                               [&](const auto &known) { return known->name == name; });
    if (family == this->families.end()) {
        this->families.push_back(
            std::make_unique<Family>(Family{std::string(name), std::string(help), kind, {}}));
        family = std::prev(this->families.end());
    }
    const std::string wanted = joinLabels(labels);
    for (const auto &metric : (*family)->metrics) {
        if (metric->labels == wanted)
            return *metric;
    }
    (*family)->metrics.push_back(std::make_unique<Metric>());
    (*family)->metrics.back()->labels = wanted;
    return *(*family)->metrics.back();
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard guard(this->lock);
    std::string text;
    for (const auto &family : this->families) {
        constexpr std::string_view types[] = {"counter", "gauge", "gauge", "summary"};
        text.append("# HELP ").append(family->name).append(" ").append(family->help).append("\n");
        text.append("# TYPE ").append(family->name).append(" ");
        text.append(types[static_cast<std::size_t>(family->kind)]).append("\n");
        for (const auto &metric : family->metrics)
            appendMetric(text, *family, *metric);
    }
    return text;
}

void Metrics::appendMetric(std::string &text, const Family &family, const Metric &metric)
{
    switch (family.kind) {
    case Kind::Counter:
        appendLine(text, family.name, metric.labels,
                   std::to_string(metric.counter ? metric.counter->value() : 0));
        return;
    case Kind::Gauge:
        appendLine(text, family.name, metric.labels,
                   std::to_string(metric.gauge ? metric.gauge->value() : 0));
        return;
    case Kind::ReadGauge:
        appendLine(text, family.name, metric.labels, number(metric.read ? metric.read() : 0));
        return;
    case Kind::Distribution:
        break;
    }
    if (!metric.distribution)
        return;
    const DistributionSummary summary = metric.distribution->summary();
    const std::pair<const char *, double> quantiles[] = {
        {"0.5", summary.p50}, {"0.9", summary.p90}, {"0.99", summary.p99}, {"0.999", summary.p999}};
    const std::string comma = metric.labels.empty() ? "" : metric.labels + ",";
    for (const auto &[share, value] : quantiles)
        appendLine(text, family.name, comma + "quantile=\"" + share + "\"", number(value));
    appendLine(text, family.name + "_sum", metric.labels, number(metric.distribution->sum()));
    appendLine(text, family.name + "_count", metric.labels, std::to_string(summary.count));
}

} // namespace Sagecrank
