// Writes history events, one JSON object on a line:
//   {"t":<CLOCK_MONOTONIC ns>,"p":"<process>","n":<sequence>,"e":"<event>",<fields>}
// All processes of a run share one machine and therefore one clock. The sequence counts from 1 without gaps
// in each process, so that a reader notices a line that was lost.
#pragma once

#include <LibHistory/HistoryEvents.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>

namespace Sagecrank {

// Takes one whole line, newline included.
using HistorySink = std::function<void(std::string_view line)>;

// One write(2) on standard output for each line, so that lines of several threads never mix and nothing
// recorded is lost with the process.
HistorySink standardOutputHistorySink();

// The digest under which request and answer bodies stand in the history, in hex.
std::string historyDigest(std::string_view body);

// Formats one line without the newline. Bytes outside ASCII become \u00XX, one for each byte, since ids and
// keys come from outside and need not be UTF-8; the reader turns them back.
std::string formatHistoryLine(std::uint64_t nanoseconds, std::string_view process, std::uint64_t sequence,
                              const HistoryEvent &event);

// Safe to use from every thread. When it is disabled, record() costs one branch as long as the event is
// passed as a function that makes it.
class HistoryRecorder
{
public:
    HistoryRecorder(std::string processName, bool enabled, HistorySink sink = standardOutputHistorySink());
    HistoryRecorder(const HistoryRecorder &) = delete;
    HistoryRecorder &operator=(const HistoryRecorder &) = delete;

    bool enabled() const { return this->isEnabled; }

    // record([&] { return GateStarted { call, attempt }; })
    template <typename Make>
    requires std::invocable<Make &>
    void record(Make &&make)
    {
        if (this->isEnabled)
            this->write(HistoryEvent(make()));
    }

    template <typename Event>
    requires std::constructible_from<HistoryEvent, Event> &&(!std::invocable<Event &>)void record(
        Event &&event)
    {
        if (this->isEnabled)
            this->write(HistoryEvent(std::forward<Event>(event)));
    }

private:
    void write(const HistoryEvent &event);

    const std::string processName;
    const bool isEnabled;
    const HistorySink sink;
    std::mutex lock;            // Held over time, sequence and sink, so lines stand in the order of both.
    std::uint64_t sequence = 0; // Of the last line.
};

} // namespace Sagecrank
