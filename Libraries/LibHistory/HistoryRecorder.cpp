// Formats history events as JSON lines and writes them to the sink.
#include <LibHistory/HistoryRecorder.h>

#include <xxhash.h>

#include <cerrno>
#include <charconv>
#include <ctime>
#include <unistd.h>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::uint64_t nanosecondsPerSecond = 1'000'000'000;

std::uint64_t monotonicNanoseconds()
{
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return std::uint64_t(now.tv_sec) * nanosecondsPerSecond + std::uint64_t(now.tv_nsec);
}

void appendEscapedByte(std::string &out, unsigned char byte)
{
    constexpr char hex[] = "0123456789abcdef";
    out += "\\u00";
    out += hex[byte >> 4];
    out += hex[byte & 0xf];
}

void appendString(std::string &out, std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char firstEscapedHighByte = 0x7f;
    out += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out += '\\';
            out += character;
        } else if (byte < firstPrintable || byte >= firstEscapedHighByte) {
            appendEscapedByte(out, byte);
        } else {
            out += character;
        }
    }
    out += '"';
}

template <typename Number>
void appendNumber(std::string &out, Number number)
{
    char digits[24];
    const auto end = std::to_chars(std::begin(digits), std::end(digits), number).ptr;
    out.append(digits, end);
}

// Appends `,"name":value` for each field that it visits.
class FieldWriter
{
public:
    explicit FieldWriter(std::string &line)
        : out(line)
    {
    }

    void operator()(std::string_view name, const std::string &value)
    {
        this->appendName(name);
        appendString(this->out, value);
    }
    void operator()(std::string_view name, std::uint64_t value)
    {
        this->appendName(name);
        appendNumber(this->out, value);
    }
    void operator()(std::string_view name, std::int64_t value)
    {
        this->appendName(name);
        appendNumber(this->out, value);
    }
    void operator()(std::string_view name, bool value)
    {
        this->appendName(name);
        this->out += value ? "true" : "false";
    }
    void operator()(std::string_view name, const std::vector<std::string> &values)
    {
        this->appendName(name);
        this->out += '[';
        bool first = true;
        for (const std::string &value : values) {
            if (!first)
                this->out += ',';
            first = false;
            appendString(this->out, value);
        }
        this->out += ']';
    }

private:
    void appendName(std::string_view name)
    {
        this->out += ",\"";
        this->out += name;
        this->out += "\":";
    }

    std::string &out;
};

} // namespace

HistorySink standardOutputHistorySink()
{
    return [](std::string_view line) {
        while (!line.empty()) {
            const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return; // The reader detects the lost line by the gap in the sequence.
            line.remove_prefix(std::size_t(written));
        }
    };
}

std::string historyDigest(std::string_view body)
{
    constexpr int hexBase = 16;
    char digits[16];
    const auto end =
        std::to_chars(std::begin(digits), std::end(digits), XXH3_64bits(body.data(), body.size()), hexBase)
            .ptr;
    return {digits, end};
}

std::string formatHistoryLine(std::uint64_t nanoseconds, std::string_view process, std::uint64_t sequence,
                              const HistoryEvent &event)
{
    constexpr std::size_t typicalLength = 256;
    std::string line;
    line.reserve(typicalLength);
    line += "{\"t\":";
    appendNumber(line, nanoseconds);
    line += ",\"p\":";
    appendString(line, process);
    line += ",\"n\":";
    appendNumber(line, sequence);
    std::visit(
        [&line](const auto &typed) {
            line += ",\"e\":";
            appendString(line, historyEventKindNames.name(typed.kind));
            typed.visitFields(typed, FieldWriter(line));
        },
        event);
    line += '}';
    return line;
}

HistoryRecorder::HistoryRecorder(std::string processName, bool enabled, HistorySink sink)
    : processName(std::move(processName))
    , isEnabled(enabled)
    , sink(std::move(sink))
{
    this->record([] { return ProcessStarted{std::uint64_t(::getpid())}; });
}

void HistoryRecorder::write(const HistoryEvent &event)
{
    const std::lock_guard guard(this->lock);
    ++this->sequence;
    std::string line = formatHistoryLine(monotonicNanoseconds(), this->processName, this->sequence, event);
    line += '\n';
    this->sink(line);
}

} // namespace Sagecrank
