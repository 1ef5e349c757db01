// Writes numbered log events as lines of key=value fields:
//   2026-05-04T10:20:30.123Z WARNING 4003 peer.silent process=b1 peer=10.0.0.7:8101 idle_ms=1500
// Lines go to standard error through log4cplus unless another sink is given.
#pragma once

#include <LibCore/Time.h>
#include <LibObserve/Events.h>

#include <array>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

namespace Sagecrank {

struct LogField
{
    LogField(std::string_view name, std::string_view value)
        : name(name)
        , value(value)
    {
    }
    LogField(std::string_view name, const char *value)
        : LogField(name, std::string_view(value))
    {
    }
    LogField(std::string_view name, std::integral auto value)
        : name(name)
        , value(std::to_string(value))
    {
    }

    std::string_view name; // A literal: it must outlive the call.
    std::string value;
};

// Takes a finished line without its time and newline.
using LogSink = std::function<void(LogLevel level, const std::string &line)>;

// Both through log4cplus, which adds the time (UTC) and the level.
LogSink standardErrorLogSink();
// Never waits for a reader: lines that standard output does not take at once are left out, and the next one
// that it takes is preceded by their number. Sets standard output to not blocking.
LogSink standardOutputLogSink();

struct EventLogSettings
{
    LogLevel minimumLevel = LogLevel::Info;
    // Lines of one event in a second. A fault that repeats on the path of requests would otherwise turn into
    // as many log lines, and the log would take the time that the requests need. What is left out is counted
    // in an EventsSuppressed line.
    std::uint32_t linesPerSecond = 20;
    // The same for events of single calls, from whose lines a failed call is explained afterwards.
    std::uint32_t callLinesPerSecond = 1000;
};

// Safe to use from every thread. An event below the minimum level costs one comparison.
class EventLog
{
public:
    using Now = std::function<Instant()>;

    EventLog(
        std::string processName, EventLogSettings settings, LogSink sink = standardErrorLogSink(),
        Now now = [] { return SteadyClock::now(); });
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    bool wants(EventId id) const { return describeEvent(id).level >= this->minimumLevel.load(); }
    void setMinimumLevel(LogLevel level) { this->minimumLevel = level; }
    void write(EventId id, std::initializer_list<LogField> fields);

private:
    // How many lines of one event this second has had.
    struct Allowance
    {
        EventId id{};
        Instant secondBegan{};
        std::uint32_t lines = 0;
        std::uint32_t suppressed = 0;
    };

    bool allow(EventId id, std::uint32_t &suppressedBefore);
    std::string format(const EventDescription &event, std::initializer_list<LogField> fields) const;

    const std::string processName;
    const EventLogSettings settings;
    std::atomic<LogLevel> minimumLevel; // Starts as the settings have it.
    const LogSink sink;
    const Now now;
    std::mutex lock;                                               // Guards the allowances.
    std::array<Allowance, std::size(eventCatalogue)> allowances{}; // In the catalogue's order.
};

} // namespace Sagecrank
