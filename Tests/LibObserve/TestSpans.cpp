// Spans of one call share its trace and name their parents; the ring is bounded and survives writers from
// several threads.
#include <LibObserve/Spans.h>

#include <Support/TableTest.h>

#include <thread>

using namespace Sagecrank;

namespace {

Instant at(int microseconds)
{
    return Instant{} + Microseconds(microseconds);
}

} // namespace

Test(spans, hopsOfACallShareItsTraceAndNameTheirParents)
{
    SpanRing ring(8 * metricShards);
    SpanIds ids(1);
    const auto caller = parseTraceParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
    Span call(ring, ids, SpanName::Call, caller, at(10));
    Span forward(ring, ids, SpanName::Forward, call.context(), at(20));
    forward.field("peer", "10.0.0.7:8101");
    forward.end(at(50));
    forward.end(at(90));
    call.end(at(60));

    const std::vector<SpanRecord> spans = ring.read(10);
    cr_assert(spans.size() == 2, "a span ends once");
    cr_assert(spans[0].name == SpanName::Call && spans[0].parent == caller->span);
    cr_assert(spans[1].name == SpanName::Forward && spans[1].parent == spans[0].span);
    cr_assert(spans[1].traceHigh == caller->traceHigh && spans[1].traceLow == caller->traceLow);
    cr_assert(spans[1].duration == Microseconds(30));
}

Test(spans, withoutAParentANewTraceBegins)
{
    SpanRing ring(8 * metricShards);
    SpanIds ids(1);
    const Span first(ring, ids, SpanName::Call, std::nullopt, at(0));
    const Span second(ring, ids, SpanName::Call, std::nullopt, at(0));
    cr_assert(first.context().traceHigh != second.context().traceHigh);
    cr_assert(parseTraceParent(formatTraceParent(first.context())) == first.context());
}

Test(spans, theNewestOverwriteTheOldest)
{
    SpanRing ring(4 * metricShards); // One thread fills one of the rings.
    SpanIds ids(1);
    for (int index = 0; index < 10; ++index)
        Span(ring, ids, SpanName::Gate, std::nullopt, at(index)).end(at(index));
    const std::vector<SpanRecord> spans = ring.read(100);
    cr_assert(spans.size() == 4);
    cr_assert(spans.front().start == at(9) && spans.back().start == at(6));
}

Test(spans, fieldsThatDoNotFitOrBreakTheLineAreLeftOut)
{
    SpanRing ring(4 * metricShards);
    SpanIds ids(1);
    Span span(ring, ids, SpanName::Gate, std::nullopt, at(0));
    span.field("outcome", "done");
    span.field("long", std::string(200, 'x'));
    span.field("forged", "a\nb=c");
    span.field("reason", "none");
    span.end(at(1));
    const std::string json = ring.json("b1", 10);
    cr_assert(json.find(R"("fields":{"outcome":"done","reason":"none"})") != std::string::npos, "%s",
              json.c_str());
}

Test(spans, jsonOfOneTraceHoldsOnlyItsSpans)
{
    SpanRing ring(8 * metricShards);
    SpanIds ids(1);
    Span wanted(ring, ids, SpanName::Call, std::nullopt, at(0));
    Span other(ring, ids, SpanName::Call, std::nullopt, at(0));
    wanted.end(at(1));
    other.end(at(1));
    const std::string trace = hexText(wanted.context().traceHigh) + hexText(wanted.context().traceLow);
    const std::string json = ring.json("b1", 10, trace);
    cr_assert(json.find(hexText(wanted.context().span)) != std::string::npos);
    cr_assert(json.find(hexText(other.context().span)) == std::string::npos);
}

Test(spans, severalWritersAndAReaderLoseNothingButWhatIsCounted)
{
    SpanRing ring(64);
    SpanIds ids(1);
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (int count = 0; count < 5'000; ++count)
                Span(ring, ids, SpanName::Gate, std::nullopt, at(count)).end(at(count + 1));
        });
    }
    for (int reads = 0; reads < 50; ++reads) {
        for (const SpanRecord &span : ring.read(64))
            cr_assert(span.duration == Microseconds(1), "a span was read half written");
    }
    for (std::thread &thread : threads)
        thread.join();
    cr_assert(ring.recorded() == 20'000);
}
