// Counters, gauges and distributions of a process, and their Prometheus text. Recording on the path of a
// request is one or two relaxed atomic additions on memory that threads rarely share; merging and the
// quantiles (by Boost.Accumulators) happen when somebody reads.
#pragma once

#include <LibObserve/LogHistogram.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Which of a few copies of a number the calling thread adds to. Told from the address of its thread-local
// storage, so that no registration is needed; two threads on one copy are slower, never wrong.
constexpr std::size_t metricShards = 8;
std::size_t metricShard();

class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        this->shards[metricShard()].value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const;

private:
    struct alignas(64) Shard
    {
        std::atomic<std::uint64_t> value = 0;
    };
    std::array<Shard, metricShards> shards;
};

class Gauge
{
public:
    void set(std::int64_t value) { this->current.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { this->current.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return this->current.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> current = 0;
};

struct DistributionSummary
{
    std::uint64_t count = 0;
    double mean = 0;
    double smallest = 0;
    double largest = 0;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double p999 = 0;
};

// A non-negative whole number per record, such as nanoseconds or bytes.
class Distribution
{
public:
    // Values are known to 1/32; from 2^40 on (18 minutes in nanoseconds) they count as that.
    using Buckets = LogBuckets<4, 40>;

    // `scale` turns a recorded number into the unit of the metric, such as 1e-9 for nanoseconds to seconds.
    explicit Distribution(double scale)
        : scale(scale)
    {
    }

    void record(std::uint64_t value)
    {
        Shard &shard = this->shards[metricShard()];
        shard.counts[Buckets::index(value)].fetch_add(1, std::memory_order_relaxed);
        shard.sum.fetch_add(value, std::memory_order_relaxed);
    }

    // In the unit of the metric.
    DistributionSummary summary() const;
    double sum() const;

private:
    struct alignas(64) Shard
    {
        std::array<std::atomic<std::uint32_t>, Buckets::count> counts{};
        std::atomic<std::uint64_t> sum = 0;
    };
    const double scale;
    std::array<Shard, metricShards> shards; // About 2.4 kB each.
};

struct MetricLabel
{
    std::string name;
    std::string value;
};

// Names follow Prometheus: letters, digits and underscores, the unit at the end, "_total" on counters. What
// is handed out stays valid as long as the registry. Asking again for a name with the same labels gives the
// same metric.
class Metrics
{
public:
    Metrics() = default;
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    Counter &counter(std::string_view name, std::string_view help, std::vector<MetricLabel> labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, std::vector<MetricLabel> labels = {});
    // Asked whenever the text is made, from the thread that makes it.
    void gauge(std::string_view name, std::string_view help, std::function<double()> read);
    Distribution &distribution(std::string_view name, std::string_view help, double scale,
                               std::vector<MetricLabel> labels = {});

    std::string prometheusText() const;

private:
    enum class Kind : std::uint8_t { Counter, Gauge, ReadGauge, Distribution };

    struct Metric
    {
        std::string labels; // "a=\"b\",c=\"d\"", escaped.
        std::unique_ptr<Counter> counter;
        std::unique_ptr<Gauge> gauge;
        std::function<double()> read;
        std::unique_ptr<Distribution> distribution;
    };

    struct Family
    {
        std::string name;
        std::string help;
        Kind kind;
        std::vector<std::unique_ptr<Metric>> metrics;
    };

    Metric &metric(std::string_view name, std::string_view help, Kind kind,
                   const std::vector<MetricLabel> &labels);
    static void appendMetric(std::string &text, const Family &family, const Metric &metric);

    mutable std::mutex lock; // Guards the lists, never the numbers.
    std::vector<std::unique_ptr<Family>> families;
};

} // namespace Sagecrank
