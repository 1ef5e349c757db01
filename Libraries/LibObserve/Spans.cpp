// Ids, the ring and its JSON.
#include <LibObserve/Spans.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cstring>
#include <limits>
#include <random>

namespace Sagecrank {

namespace json = boost::json;

namespace {

// The finalizer of splitmix64: neighbouring states give unrelated values.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::int64_t microseconds(auto duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

json::object fieldsJson(const SpanRecord &span)
{
    json::object object;
    std::string_view rest(span.fields.data(), span.fieldsLength);
    while (!rest.empty()) {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        const std::size_t equals = line.find('=');
        if (equals != std::string_view::npos)
            object[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
    }
    return object;
}

} // namespace

SpanIds::SpanIds(std::uint64_t seed)
{
    for (State &state : this->states) {
        seed = mix(seed + 1);
        state.value = seed;
    }
}

std::uint64_t SpanIds::next()
{
    const std::uint64_t step = 0x9e3779b97f4a7c15ULL;
    std::atomic<std::uint64_t> &state = this->states[metricShard()].value;
    const std::uint64_t id = mix(state.fetch_add(step, std::memory_order_relaxed) + step);
    return id == 0 ? 1 : id;
}

TraceContext SpanIds::newTrace()
{
    return TraceContext{this->next(), this->next(), this->next(), true};
}

TraceContext SpanIds::child(const TraceContext &parent)
{
    return TraceContext{parent.traceHigh, parent.traceLow, this->next(), parent.sampled};
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

SpanRing::SpanRing(std::size_t capacity)
    : wallZero(std::chrono::system_clock::now()
               - std::chrono::duration_cast<std::chrono::system_clock::duration>(
                   SteadyClock::now().time_since_epoch()))
{
    const std::size_t share = std::max<std::size_t>(capacity / this->rings.size(), 1);
    for (Ring &ring : this->rings)
        ring.slots = std::vector<Slot>(share);
}

void SpanRing::record(const SpanRecord &span)
{
    Ring &ring = this->rings[metricShard()];
    Slot &slot = ring.slots[ring.next.fetch_add(1, std::memory_order_relaxed) % ring.slots.size()];
    if (slot.busy.test_and_set(std::memory_order_acquire)) {
        this->drops.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    slot.span = span;
    slot.busy.clear(std::memory_order_release);
}

std::uint64_t SpanRing::recorded() const
{
    std::uint64_t total = 0;
    for (const Ring &ring : this->rings)
        total += ring.next.load(std::memory_order_relaxed);
    return total;
}

std::vector<SpanRecord> SpanRing::read(std::size_t limit) const
{
    std::vector<SpanRecord> spans;
    for (const Ring &ring : this->rings)
        this->readRing(ring, spans);
    std::stable_sort(spans.begin(), spans.end(), [](const SpanRecord &left, const SpanRecord &right) {
        return left.start + left.duration > right.start + right.duration;
    });
    if (spans.size() > limit)
        spans.resize(limit);
    return spans;
}

void SpanRing::readRing(const Ring &ring, std::vector<SpanRecord> &into) const
{
    const std::uint64_t newest = ring.next.load(std::memory_order_relaxed);
    const std::uint64_t held = std::min<std::uint64_t>(newest, ring.slots.size());
    for (std::uint64_t back = 1; back <= held; ++back) {
        const Slot &slot = ring.slots[(newest - back) % ring.slots.size()];
        if (slot.busy.test_and_set(std::memory_order_acquire))
            continue; // Being written; its turn comes with the next reading.
        if (slot.span.span != 0)
            into.push_back(slot.span);
        slot.busy.clear(std::memory_order_release);
    }
}

std::string SpanRing::json(std::string_view process, std::size_t limit, std::string_view trace) const
{
    json::array list;
    const std::size_t look = trace.empty() ? limit : std::numeric_limits<std::size_t>::max();
    for (const SpanRecord &span : this->read(look)) {
        const std::string id = hexText(span.traceHigh) + hexText(span.traceLow);
        if ((!trace.empty() && id != trace) || list.size() == limit)
            continue;
        json::object object;
        object["trace"] = id;
        object["span"] = hexText(span.span);
        object["parent"] = span.parent == 0 ? std::string() : hexText(span.parent);
        object["name"] = std::string(spanNames.name(span.name));
        object["start_us"] =
            microseconds(this->wallZero.time_since_epoch()) + microseconds(span.start.time_since_epoch());
        object["duration_us"] = static_cast<double>(span.duration.count()) / 1000;
        object["fields"] = fieldsJson(span);
        list.push_back(std::move(object));
    }
    json::object all;
    all["process"] = std::string(process);
    all["dropped"] = this->dropped();
    all["spans"] = std::move(list);
    return json::serialize(all);
}

Span::Span(SpanRing &ring, SpanIds &ids, SpanName name, const std::optional<TraceContext> &parent,
           Instant start)
    : ring(&ring)
    , own(parent ? ids.child(*parent) : ids.newTrace())
{
    this->record.traceHigh = this->own.traceHigh;
    this->record.traceLow = this->own.traceLow;
    this->record.span = this->own.span;
    this->record.parent = parent ? parent->span : 0;
    this->record.name = name;
    this->record.start = start;
}

void Span::field(std::string_view name, std::string_view value)
{
    const std::size_t used = this->record.fieldsLength;
    const std::size_t needed = name.size() + value.size() + 2;
    // A value with a line break would read as another field.
    if (used + needed > SpanRecord::fieldSpace || value.find('\n') != std::string_view::npos)
        return;
    char *at = this->record.fields.data() + used;
    std::memcpy(at, name.data(), name.size());
    at[name.size()] = '=';
    std::memcpy(at + name.size() + 1, value.data(), value.size());
    at[needed - 1] = '\n';
    this->record.fieldsLength = static_cast<std::uint8_t>(used + needed);
}

void Span::end(Instant now)
{
    if (this->ring == nullptr)
        return;
    this->record.duration = now - this->record.start;
    this->ring->record(this->record);
    this->ring = nullptr;
}

} // namespace Sagecrank
