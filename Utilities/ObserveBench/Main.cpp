// sagecrank-observe-bench: what one record of a metric, a span or a held-back log event costs, by one thread
// alone and by several at one time.
#include <LibCommandLine/CommandLine.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/Spans.h>

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <thread>

using namespace Sagecrank;
namespace options = boost::program_options;

namespace {

// Nanoseconds for one call of `step`, over all calls of all threads.
template <typename Step>
double measure(unsigned threads, std::uint64_t calls, const Step &step)
{
    std::vector<std::thread> running;
    std::atomic<std::uint64_t> spent = 0;
    for (unsigned index = 0; index < threads; ++index) {
        running.emplace_back([&] {
            const Instant began = SteadyClock::now();
            for (std::uint64_t call = 0; call < calls; ++call)
                step(call);
            spent += static_cast<std::uint64_t>((SteadyClock::now() - began).count());
        });
    }
    for (std::thread &thread : running)
        thread.join();
    return static_cast<double>(spent) / static_cast<double>(calls * threads);
}

void run(unsigned threads, std::uint64_t calls)
{
    Metrics metrics;
    Counter &counter = metrics.counter("calls_total", "Calls.");
    Distribution &distribution = metrics.distribution("call_seconds", "Time.", 1e-9);
    SpanRing ring(4096);
    SpanIds ids(1);
    EventLog log("bench", {LogLevel::Info, 0}, [](LogLevel, const std::string &) {});
    const auto parent = std::optional<TraceContext>(ids.newTrace());
    const Instant start = SteadyClock::now();

    std::printf("%u thread%s:\n", threads, threads == 1 ? "" : "s");
    std::printf("  counter            %7.1f ns\n",
                measure(threads, calls, [&](std::uint64_t) { counter.add(); }));
    std::printf("  distribution       %7.1f ns\n", measure(threads, calls, [&](std::uint64_t call) {
                    distribution.record(call * 7919 % 1'000'000);
                }));
    std::printf("  span, two fields   %7.1f ns\n", measure(threads, calls / 10, [&](std::uint64_t) {
                    Span span(ring, ids, SpanName::Forward, parent, start);
                    span.field("peer", "127.0.0.1:8101");
                    span.field("outcome", "done");
                    span.end(start);
                }));
    std::printf("  traceparent in+out %7.1f ns\n", measure(threads, calls / 10, [&](std::uint64_t) {
                    const std::string text = formatTraceParent(*parent);
                    if (!parseTraceParent(text))
                        std::abort();
                }));
    std::printf("  event held back    %7.1f ns\n", measure(threads, calls / 10, [&](std::uint64_t) {
                    log.write(EventId::PeerLost, {{"peer", "127.0.0.1:8101"}});
                }));
    std::printf("  event below level  %7.1f ns\n",
                measure(threads, calls / 10, [&](std::uint64_t) { log.write(EventId::ClaimRefused, {}); }));
}

} // namespace

int main(int count, char **arguments)
{
    std::uint64_t calls = 0;
    options::options_description description(
        "sagecrank-observe-bench: the cost of metrics, spans and events");
    description.add_options()("calls", options::value(&calls)->default_value(10'000'000),
                              "records for each line");
    options::variables_map values;
    if (const auto exitCode = readCommandLine(CommandLine{"", description, {}}, count, arguments, values))
        return *exitCode;
    run(1, calls);
    run(2, calls);
    return 0;
}
