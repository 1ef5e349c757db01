// Spans of the calls that pass through a process: one for each hop, kept in a bounded ring that operators
// read as JSON. The newest overwrite the oldest.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/TraceContext.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// The hops of a call, in the order in which it meets them.
enum class SpanName : std::uint8_t {
    Call,     // At the node that the caller reached: from the whole request to the whole answer.
    Forward,  // One attempt at one peer: from sending to its answer.
    Gate,     // At the node beside the upstream: from the call's arrival to its answer.
    Queue,    // Waiting in the gate for a slot.
    Claim,    // Claiming the idempotency key in the platform's table.
    Upstream, // From sending to the upstream to its whole answer.
};

inline constexpr EnumNames<SpanName, 6> spanNames{{
    {SpanName::Call, "call"},
    {SpanName::Forward, "forward"},
    {SpanName::Gate, "gate"},
    {SpanName::Queue, "queue"},
    {SpanName::Claim, "claim"},
    {SpanName::Upstream, "upstream"},
}};

// Draws ids that are unique with overwhelming likelihood across processes; safe from every thread.
class SpanIds
{
public:
    explicit SpanIds(std::uint64_t seed);

    std::uint64_t next(); // Never zero.
    TraceContext newTrace();
    // The context that a hop passes on: the same trace, with the hop's own new span.
    TraceContext child(const TraceContext &parent);

private:
    struct alignas(64) State
    {
        std::atomic<std::uint64_t> value = 0;
    };
    std::array<State, metricShards> states; // Threads draw from different ones, far apart.
};

// A seed that differs between processes and starts.
std::uint64_t randomSeed();

// A finished span. Fields are kept as text in a fixed space, so that recording never allocates.
struct SpanRecord
{
    static constexpr std::size_t fieldSpace = 104;

    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    std::uint64_t parent = 0; // Zero at the root.
    SpanName name = SpanName::Call;
    std::uint8_t fieldsLength = 0;
    Instant start{};
    Duration duration{};
    std::array<char, fieldSpace> fields{}; // "name=value" lines; what does not fit is left out.
};

class SpanRing
{
public:
    // Spans that are kept over all threads; each of a few rings holds its part.
    explicit SpanRing(std::size_t capacity);

    // Safe from every thread. Two threads meet in a slot only if they share a ring and one comes all the way
    // round while the other still writes, or while somebody reads; the newer span is then dropped and
    // counted.
    void record(const SpanRecord &span);

    std::uint64_t recorded() const;
    std::uint64_t dropped() const { return this->drops.load(std::memory_order_relaxed); }

    // The newest first.
    std::vector<SpanRecord> read(std::size_t limit) const;

    // {"process":...,"spans":[{"trace","span","parent","name","start_us","duration_us","fields":{}}]}, times
    // in microseconds, the start since 1970. With a trace (32 hex digits), only its spans.
    std::string json(std::string_view process, std::size_t limit, std::string_view trace = {}) const;

private:
    struct alignas(64) Slot
    {
        mutable std::atomic_flag busy;
        SpanRecord span;
    };

    struct alignas(64) Ring
    {
        std::vector<Slot> slots;
        std::atomic<std::uint64_t> next = 0;
    };

    void readRing(const Ring &ring, std::vector<SpanRecord> &into) const;

    std::array<Ring, metricShards> rings; // By metricShard(), so that request threads rarely share one.
    std::atomic<std::uint64_t> drops = 0;
    const std::chrono::system_clock::time_point wallZero; // The wall clock at the steady clock's zero.
};

// An open span. Ends once, at end(); one that is never ended leaves no record.
class Span
{
public:
    // `parent` none: a new trace begins here.
    Span(SpanRing &ring, SpanIds &ids, SpanName name, const std::optional<TraceContext> &parent,
         Instant start);

    // What the next hop gets as its parent.
    const TraceContext &context() const { return this->own; }

    void field(std::string_view name, std::string_view value);
    void end(Instant now);

private:
    SpanRing *ring; // Null once ended.
    TraceContext own;
    SpanRecord record;
};

} // namespace Sagecrank
