// Makes seeded histories of a run in which every promise holds, for tests that then damage them.
#pragma once

#include <LibHistory/History.h>

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Sagecrank {

inline constexpr std::uint64_t millisecond = 1'000'000;

// Two upstreams behind three nodes, three versions, one node killed and back, one upstream drained with work
// in flight, and calls with every outcome.
History makeGoodHistory(std::uint64_t seed);

// Adds an event of a process that the history already knows; sortHistory() is to follow.
void addEvent(History &history, std::uint64_t milliseconds, const std::string &process, HistoryEvent event);

// Every record of one kind that the condition picks.
template <typename Event>
std::vector<HistoryRecord *> recordsOf(History &history, auto &&condition)
{
    std::vector<HistoryRecord *> found;
    for (HistoryRecord &record : history.records) {
        if (const auto *event = std::get_if<Event>(&record.event); event != nullptr && condition(*event))
            found.push_back(&record);
    }
    return found;
}

template <typename Event>
std::vector<HistoryRecord *> recordsOf(History &history)
{
    return recordsOf<Event>(history, [](const Event &) { return true; });
}

template <typename T>
T &pickOne(std::vector<T> &from, std::mt19937_64 &random)
{
    return from[random() % from.size()];
}

} // namespace Sagecrank
