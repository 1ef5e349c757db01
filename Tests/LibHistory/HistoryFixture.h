// Generates seeded histories in which every invariant holds; the tests then corrupt them.
#pragma once

#include <LibHistory/History.h>

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Sagecrank {

inline constexpr std::uint64_t millisecond = 1'000'000;

// The upstream of b1 names this limit on its calls per second from this time (in milliseconds) on.
inline constexpr std::uint64_t limitTime = 25'000;
inline constexpr std::uint64_t namedLimit = 20;

// Generates a run with two upstreams, three nodes and three versions. One node is killed and restarted, one
// upstream is drained with a call in flight, and the calls cover every outcome.
History makeValidHistory(std::uint64_t seed);

// Adds an event to the lifetime of its process that runs at that time. Call sortHistory() afterwards.
void addEvent(History &history, std::uint64_t milliseconds, const std::string &process, HistoryEvent event);

// Returns the records of one event type that satisfy the condition.
template <typename Event>
std::vector<HistoryRecord *> findRecords(History &history, auto &&condition)
{
    std::vector<HistoryRecord *> found;
    for (HistoryRecord &record : history.records) {
        if (const auto *event = std::get_if<Event>(&record.event); event != nullptr && condition(*event))
            found.push_back(&record);
    }
    return found;
}

template <typename Event>
std::vector<HistoryRecord *> findRecords(History &history)
{
    return findRecords<Event>(history, [](const Event &) { return true; });
}

template <typename T>
T &pickRandom(std::vector<T> &items, std::mt19937_64 &random)
{
    return items[random() % items.size()];
}

} // namespace Sagecrank
