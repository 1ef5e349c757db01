// Reads the streams of processes and merges them into one history.
#include <LibHistory/History.h>
#include <LibHistory/HistoryRecorder.h>

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

namespace Sagecrank {

namespace json = boost::json;

namespace {

// Restores bytes outside ASCII, which the recorder writes as the code points of the same value.
std::string bytesFromText(std::string_view text)
{
    constexpr unsigned char firstTwoByteLead = 0xc0;
    constexpr unsigned char leadMask = 0x03;
    constexpr unsigned char continuationMask = 0x3f;
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto byte = static_cast<unsigned char>(text[index]);
        if (byte < firstTwoByteLead || index + 1 == text.size()) {
            bytes += text[index];
            continue;
        }
        const auto continuation = static_cast<unsigned char>(text[++index]);
        bytes += static_cast<char>(((byte & leadMask) << 6) | (continuation & continuationMask));
    }
    return bytes;
}

// Reads the visited fields from a JSON object and keeps the first error.
class FieldReader
{
public:
    FieldReader(const json::object &object, std::string &problem)
        : object(object)
        , problem(problem)
    {
    }

    void operator()(std::string_view name, std::string &value)
    {
        const json::value *found = this->find(name);
        if (found == nullptr || !this->expect(found->is_string(), name))
            return;
        value = bytesFromText(found->get_string());
    }
    void operator()(std::string_view name, std::uint64_t &value) { this->readNumber(name, value); }
    void operator()(std::string_view name, std::int64_t &value) { this->readNumber(name, value); }
    void operator()(std::string_view name, bool &value)
    {
        const json::value *found = this->find(name);
        if (found == nullptr || !this->expect(found->is_bool(), name))
            return;
        value = found->get_bool();
    }
    void operator()(std::string_view name, std::vector<std::string> &values)
    {
        const json::value *found = this->find(name);
        if (found == nullptr || !this->expect(found->is_array(), name))
            return;
        for (const json::value &element : found->get_array()) {
            if (!this->expect(element.is_string(), name))
                return;
            values.push_back(bytesFromText(element.get_string()));
        }
    }

private:
    template <typename Number>
    void readNumber(std::string_view name, Number &value)
    {
        const json::value *found = this->find(name);
        if (found == nullptr)
            return;
        boost::system::error_code error;
        const Number number = found->to_number<Number>(error);
        if (this->expect(!error, name))
            value = number;
    }

    const json::value *find(std::string_view name)
    {
        const json::value *found = this->object.if_contains(name);
        if (found == nullptr && this->problem.empty())
            this->problem = "field " + std::string(name) + " is missing";
        return found;
    }

    bool expect(bool condition, std::string_view name)
    {
        if (!condition && this->problem.empty())
            this->problem = "field " + std::string(name) + " has the wrong type";
        return condition;
    }

    const json::object &object;
    std::string &problem;
};

// Returns a default event of the given kind, or nothing if no alternative of the variant has that kind.
template <std::size_t Index = 0>
std::optional<HistoryEvent> defaultEvent(HistoryEventKind kind)
{
    if constexpr (Index == std::variant_size_v<HistoryEvent>) {
        return std::nullopt;
    } else {
        using Event = std::variant_alternative_t<Index, HistoryEvent>;
        if (Event::kind == kind)
            return Event{};
        return defaultEvent<Index + 1>(kind);
    }
}

Error lineError(const std::string &streamName, std::size_t lineNumber, std::string message)
{
    return makeError(ErrorKind::InvalidInput, "read history", streamName + ":" + std::to_string(lineNumber),
                     std::move(message));
}

Result<HistoryRecord> parseLine(const std::string &streamName, std::size_t lineNumber, std::string_view line)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(line, error);
    if (error || !parsed.is_object())
        return lineError(streamName, lineNumber, "not a JSON object");
    std::string problem;
    FieldReader reader(parsed.get_object(), problem);
    HistoryRecord record;
    std::string kindName;
    reader("t", record.time);
    reader("p", record.process);
    reader("n", record.sequence);
    reader("e", kindName);
    const std::optional<HistoryEventKind> kind = historyEventKindNames.value(kindName);
    if (problem.empty() && !kind)
        return lineError(streamName, lineNumber, "unknown event " + kindName);
    if (problem.empty()) {
        record.event = *defaultEvent(*kind);
        std::visit([&reader](auto &event) { event.visitFields(event, reader); }, record.event);
    }
    if (!problem.empty())
        return lineError(streamName, lineNumber, problem);
    return record;
}

// Checks the sequence of one stream and assigns each record to its lifetime.
class LifetimeTracker
{
public:
    explicit LifetimeTracker(History &history)
        : history(history)
    {
    }

    // Returns an error text; empty when the record continues the sequence.
    std::string assign(HistoryRecord &record)
    {
        const bool starts = std::holds_alternative<ProcessStarted>(record.event);
        if (starts) {
            this->lifetime = this->history.lifetimes++;
            this->process = record.process;
            this->sequence = 0;
            this->time = 0;
        }
        if (!this->lifetime)
            return "the stream does not begin with process.started";
        if (record.process != this->process)
            return "the process changes without process.started";
        if (record.sequence != this->sequence + 1)
            return "event " + std::to_string(this->sequence + 1) + " is missing";
        if (record.time < this->time)
            return "time goes back";
        this->sequence = record.sequence;
        this->time = record.time;
        record.lifetime = *this->lifetime;
        return {};
    }

private:
    History &history;
    std::optional<std::size_t> lifetime;
    std::string process;
    std::uint64_t sequence = 0;
    std::uint64_t time = 0;
};

} // namespace

Result<void> readHistoryStream(History &history, const std::string &streamName, std::string_view text)
{
    LifetimeTracker tracker(history);
    std::size_t lineNumber = 0;
    while (!text.empty()) {
        ++lineNumber;
        const std::size_t end = text.find('\n');
        if (end == std::string_view::npos) {
            ++history.truncatedLines;
            break;
        }
        HistoryRecord record = TRY(parseLine(streamName, lineNumber, text.substr(0, end)));
        text.remove_prefix(end + 1);
        if (std::string problem = tracker.assign(record); !problem.empty())
            return lineError(streamName, lineNumber, std::move(problem));
        history.records.push_back(std::move(record));
    }
    return success();
}

void sortHistory(History &history)
{
    std::stable_sort(
        history.records.begin(), history.records.end(),
        [](const HistoryRecord &left, const HistoryRecord &right) { return left.time < right.time; });
}

Result<History> readHistoryFiles(const std::vector<std::string> &paths)
{
    History history;
    for (const std::string &path : paths) {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return makeError(ErrorKind::NotFound, "open history", path, "cannot be read");
        std::ostringstream text;
        text << file.rdbuf();
        TRY_VOID(readHistoryStream(history, path, text.view()));
    }
    sortHistory(history);
    return history;
}

std::string describeRecord(const HistoryRecord &record, std::uint64_t origin)
{
    constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
    const std::uint64_t milliseconds = (record.time - origin) / nanosecondsPerMillisecond;
    return std::to_string(milliseconds) + " ms "
           + formatHistoryLine(record.time, record.process, record.sequence, record.event);
}

} // namespace Sagecrank
