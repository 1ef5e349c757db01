// Quantiles keep their promised error, shards add up across threads, and the text is what Prometheus reads.
#include <LibObserve/Metrics.h>

#include <Support/TableTest.h>

#include <cmath>
#include <thread>

using namespace Sagecrank;

namespace {

struct BucketRow
{
    std::uint64_t value;
};

const BucketRow bucketRows[] = {
    {0}, {1}, {15}, {16}, {17}, {31}, {32}, {33}, {1000}, {1023}, {1024}, {123456789}, {999999999999},
};

using Buckets = Distribution::Buckets;

} // namespace

TABLE_TEST(logBuckets, middleIsNearTheValue, bucketRows)
{
    const double middle = Buckets::value(Buckets::index(row.value));
    const auto value = static_cast<double>(row.value);
    cr_assert(std::abs(middle - value) <= value / 32 + 0.5, "%g for %g", middle, value);
}

Test(logBuckets, indicesRiseWithoutGapsAndEndInTheLastBucket)
{
    std::size_t last = 0;
    for (std::uint64_t value = 0; value < 100'000; ++value) {
        const std::size_t index = Buckets::index(value);
        cr_assert(index == last || index == last + 1);
        last = index;
    }
    cr_assert(Buckets::index(~std::uint64_t{0}) == Buckets::count - 1);
}

Test(distribution, quantilesOfAKnownSample)
{
    Distribution distribution(1e-9);
    for (std::uint64_t microseconds = 1; microseconds <= 10'000; ++microseconds)
        distribution.record(microseconds * 1000);
    const DistributionSummary summary = distribution.summary();
    cr_assert(summary.count == 10'000);
    cr_assert(std::abs(summary.p50 - 0.005) < 0.005 / 30, "%g", summary.p50);
    cr_assert(std::abs(summary.p99 - 0.0099) < 0.0099 / 30, "%g", summary.p99);
    cr_assert(std::abs(summary.p999 - 0.00999) < 0.00999 / 30, "%g", summary.p999);
    cr_assert(std::abs(distribution.sum() - 50.005) < 1e-6, "%g", distribution.sum());
}

Test(distribution, anEmptyOneHasNoQuantiles)
{
    cr_assert(Distribution(1).summary().count == 0);
}

Test(metrics, threadsAddUp)
{
    Metrics metrics;
    Counter &counter = metrics.counter("calls_total", "Calls.");
    Distribution &sizes = metrics.distribution("size_bytes", "Sizes.", 1);
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (std::uint64_t value = 0; value < 10'000; ++value) {
                counter.add();
                sizes.record(value);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    cr_assert(counter.value() == 40'000);
    cr_assert(sizes.summary().count == 40'000);
}

Test(metrics, textForPrometheus)
{
    Metrics metrics;
    metrics.counter("sagecrank_calls_total", "Calls by class.", {{"class", "batch"}}).add(3);
    metrics.counter("sagecrank_calls_total", "Calls by class.", {{"class", "a\"b\\c\nd"}}).add();
    metrics.gauge("sagecrank_open", "Open.").set(-2);
    metrics.gauge("sagecrank_version", "Held version.", [] { return 7.0; });
    metrics.distribution("sagecrank_wait_seconds", "Wait.", 1).record(4);
    const std::string wanted = "# HELP sagecrank_calls_total Calls by class.\n"
                               "# TYPE sagecrank_calls_total counter\n"
                               "sagecrank_calls_total{class=\"batch\"} 3\n"
                               "sagecrank_calls_total{class=\"a\\\"b\\\\c\\nd\"} 1\n"
                               "# HELP sagecrank_open Open.\n"
                               "# TYPE sagecrank_open gauge\n"
                               "sagecrank_open -2\n"
                               "# HELP sagecrank_version Held version.\n"
                               "# TYPE sagecrank_version gauge\n"
                               "sagecrank_version 7\n"
                               "# HELP sagecrank_wait_seconds Wait.\n"
                               "# TYPE sagecrank_wait_seconds summary\n"
                               "sagecrank_wait_seconds{quantile=\"0.5\"} 4\n"
                               "sagecrank_wait_seconds{quantile=\"0.9\"} 4\n"
                               "sagecrank_wait_seconds{quantile=\"0.99\"} 4\n"
                               "sagecrank_wait_seconds{quantile=\"0.999\"} 4\n"
                               "sagecrank_wait_seconds_sum 4\n"
                               "sagecrank_wait_seconds_count 1\n";
    const std::string text = metrics.prometheusText();
    cr_assert(text == wanted, "%s", text.c_str());
}

Test(metrics, theSameNameAndLabelsGiveTheSameMetric)
{
    Metrics metrics;
    Counter &first = metrics.counter("calls_total", "Calls.", {{"class", "batch"}});
    cr_assert(&first == &metrics.counter("calls_total", "Calls.", {{"class", "batch"}}));
    cr_assert(&first != &metrics.counter("calls_total", "Calls.", {{"class", "interactive"}}));
}
