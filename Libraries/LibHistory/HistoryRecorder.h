// Records history events, one JSON object per line:
//   {"t":<CLOCK_MONOTONIC ns>,"p":"<process>","n":<sequence>,"e":"<event>",<fields>}
// All processes of a run share one host and therefore one clock. The sequence numbers of a process start at 1
// and have no gaps, so that a reader detects lost lines.
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

// Receives one complete line, including the newline.
using HistorySink = std::function<void(std::string_view line)>;

// Writes each line to standard output with one write(2), so that lines of several threads never interleave
// and no recorded line is lost when the process is killed.
HistorySink standardOutputHistorySink();

// Returns the digest, in hex, that stands for a request or response body in the history.
std::string historyDigest(std::string_view body);

// Formats one line without the newline. Ids and keys come from clients and need not be UTF-8, so each byte
// outside ASCII is written as \u00XX; the reader restores it.
std::string formatHistoryLine(std::uint64_t nanoseconds, std::string_view process, std::uint64_t sequence,
                              const HistoryEvent &event);

// Thread-safe. When it is disabled, record() costs one branch if the event is passed as a function that
// creates it.
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
    std::mutex lock; // Covers clock, sequence and sink, so that lines are ordered by time and sequence.
    std::uint64_t sequence = 0; // Number of the last line.
};

} // namespace Sagecrank
