// Formats events, holds back those that come too fast, and hands lines to log4cplus.
#include <LibObserve/EventLog.h>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <memory>

namespace Sagecrank {

namespace {

constexpr std::size_t longestValue = 512; // A value from outside must not make a line of megabytes.

log4cplus::LogLevel levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

// Load: a log collector that stands still. Harm: a blocked write stops the thread that carries requests. What
// the file does not take at once is left out and counted.
class NonBlockingAppender : public log4cplus::Appender
{
public:
    explicit NonBlockingAppender(int file)
        : file(file)
    {
        const int flags = ::fcntl(file, F_GETFL);
        if (flags >= 0)
            ::fcntl(file, F_SETFL, flags | O_NONBLOCK);
    }
    ~NonBlockingAppender() override { this->destructorImpl(); }
    NonBlockingAppender(const NonBlockingAppender &) = delete;
    NonBlockingAppender &operator=(const NonBlockingAppender &) = delete;

    void close() override { this->closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::string line = this->formatEvent(event);
        if (this->missing > 0)
            line.insert(0, "lines_left_out=" + std::to_string(this->missing) + "\n");
        // The end of a line that was taken in part comes first, so that no two lines run into each other.
        line.insert(0, this->partial);
        this->partial.clear();
        const ssize_t written = ::write(this->file, line.data(), line.size());
        if (written < 0) {
            ++this->missing;
            return;
        }
        this->missing = 0;
        this->partial = line.substr(static_cast<std::size_t>(written));
    }

private:
    const int file;
    std::uint64_t missing = 0;
    std::string partial; // At most two lines: nothing is added to it while it waits.
};

constexpr auto linePattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n";

// Keeps log4cplus alive as long as a sink that uses it.
class Log4cplusSink
{
public:
    Log4cplusSink(const char *name, const std::function<log4cplus::SharedAppenderPtr()> &makeAppender)
        : logger(log4cplus::Logger::getInstance(name))
    {
        if (!this->logger.getAllAppenders().empty())
            return;
        log4cplus::SharedAppenderPtr appender = makeAppender();
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>(linePattern));
        this->logger.addAppender(appender);
        this->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        this->logger.setAdditivity(false);
    }

    void write(LogLevel level, const std::string &line) { this->logger.log(levelOf(level), line); }

private:
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
};

LogSink makeSink(const char *name, const std::function<log4cplus::SharedAppenderPtr()> &makeAppender)
{
    return [sink = std::make_shared<Log4cplusSink>(name, makeAppender)](
               LogLevel level, const std::string &line) { sink->write(level, line); };
}

// Events of single calls: many more of them than of anything else, and each may be the one that is asked for.
bool isOfOneCall(EventId id)
{
    switch (id) {
    case EventId::CallsRefused:
    case EventId::OutcomeUnknown:
    case EventId::CallEnded:
    case EventId::CallAbandoned:
    case EventId::CallSentAgain:
    case EventId::GateRefused:
    case EventId::GateAnswered:
    case EventId::UpstreamShedding:
    case EventId::RetryBudgetSpent:
        return true;
    default:
        return false;
    }
}

bool needsQuotes(std::string_view value)
{
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte >= 0x7f)
            return true;
    }
    return value.empty();
}

// Control characters are escaped, so that a value from outside cannot forge a second line.
void appendValue(std::string &line, std::string_view value)
{
    value = value.substr(0, longestValue);
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    constexpr std::string_view digits = "0123456789abcdef";
    line += '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte == '"' || byte == '\\') {
            line += '\\';
            line += character;
        } else if (byte < ' ' || byte == 0x7f) {
            line += "\\x";
            line += digits[byte >> 4];
            line += digits[byte & 15];
        } else {
            line += character;
        }
    }
    line += '"';
}

std::size_t rowOf(EventId id)
{
    std::size_t row = 0;
    while (row + 1 < std::size(eventCatalogue) && eventCatalogue[row].id != id)
        ++row;
    return row;
}

} // namespace

LogSink standardErrorLogSink()
{
    return makeSink("sagecrank",
                    [] { return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)); });
}

LogSink standardOutputLogSink()
{
    return makeSink("sagecrank.output",
                    [] { return log4cplus::SharedAppenderPtr(new NonBlockingAppender(STDOUT_FILENO)); });
}

EventLog::EventLog(std::string processName, EventLogSettings settings, LogSink sink, Now now)
    : processName(std::move(processName))
    , settings(settings)
    , minimumLevel(settings.minimumLevel)
    , sink(std::move(sink))
    , now(std::move(now))
{
}

void EventLog::write(EventId id, std::initializer_list<LogField> fields)
{
    const EventDescription &event = describeEvent(id);
    if (event.level < this->minimumLevel.load())
        return;
    std::uint32_t suppressed = 0;
    if (!this->allow(id, suppressed))
        return;
    if (suppressed != 0) {
        const EventDescription &note = describeEvent(EventId::EventsSuppressed);
        this->sink(note.level, this->format(note, {{"event", event.name}, {"lines", suppressed}}));
    }
    this->sink(event.level, this->format(event, fields));
}

bool EventLog::allow(EventId id, std::uint32_t &suppressedBefore)
{
    const Instant when = this->now();
    const std::lock_guard guard(this->lock);
    Allowance &allowance = this->allowances[rowOf(id)];
    if (when - allowance.secondBegan >= std::chrono::seconds(1)) {
        suppressedBefore = allowance.suppressed;
        allowance = Allowance{id, when, 0, 0};
    }
    const std::uint32_t most =
        isOfOneCall(id) ? this->settings.callLinesPerSecond : this->settings.linesPerSecond;
    if (allowance.lines >= most) {
        ++allowance.suppressed;
        return false;
    }
    ++allowance.lines;
    return true;
}

std::string EventLog::format(const EventDescription &event, std::initializer_list<LogField> fields) const
{
    std::string line = std::to_string(static_cast<unsigned>(event.id));
    line.append(" ").append(event.name).append(" process=");
    appendValue(line, this->processName);
    for (const LogField &field : fields) {
        line.append(" ").append(field.name).append("=");
        appendValue(line, field.value);
    }
    return line;
}

} // namespace Sagecrank
