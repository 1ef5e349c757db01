// Tests that the reader returns what the recorder wrote, skips an incomplete last line, which a killed
// process can leave, and reports every other defect with its stream and line.
#include <LibHistory/History.h>
#include <LibHistory/HistoryRecorder.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

constexpr const char *started = R"({"t":1,"p":"a","n":1,"e":"process.started","pid":7})"
                                "\n";

struct MalformedRow
{
    const char *text;
    const char *message;
};

const MalformedRow malformedRows[] = {
    {"not json\n", "s:2: invalid_input: not a JSON object"},
    {"{\"t\":2,\"p\":\"a\",\"n\":2,\"e\":\"no.such\"}\n", "unknown event no.such"},
    {"{\"t\":2,\"p\":\"a\",\"n\":2,\"e\":\"gate.started\",\"call\":\"c\"}\n", "field attempt is missing"},
    {"{\"t\":2,\"p\":\"a\",\"n\":2,\"e\":\"gate.started\",\"call\":3,\"attempt\":\"x\"}\n",
     "field call has the wrong type"},
    {"{\"t\":2,\"p\":\"a\",\"n\":3,\"e\":\"gate.started\",\"call\":\"c\",\"attempt\":\"x\"}\n",
     "event 2 is missing"},
    {"{\"t\":2,\"p\":\"b\",\"n\":2,\"e\":\"gate.started\",\"call\":\"c\",\"attempt\":\"x\"}\n",
     "the process changes without process.started"},
    {"{\"t\":0,\"p\":\"a\",\"n\":2,\"e\":\"gate.started\",\"call\":\"c\",\"attempt\":\"x\"}\n",
     "time goes back"},
};

} // namespace

TABLE_TEST(historyReader, malformedStreamsAreRejected, malformedRows)
{
    History history;
    const Result<void> result = readHistoryStream(history, "s", std::string(started) + row.text);
    cr_assert(!result);
    std::string text = result.error().peer + ": invalid_input: " + result.error().message;
    cr_assert(text.find(row.message) != std::string::npos, "%s", text.c_str());
    cr_assert(result.error().peer == "s:2", "%s", text.c_str());
}

Test(historyReader, incompleteLastLineIsSkipped)
{
    History history;
    cr_assert(
        bool(readHistoryStream(history, "s", std::string(started) + R"({"t":2,"p":"a","n":2,"e":"ga)")));
    cr_assert(history.records.size() == 1);
    cr_assert(history.truncatedLines == 1);
}

Test(historyReader, streamMustBeginWithProcessStarted)
{
    History history;
    const std::string line = formatHistoryLine(1, "a", 1, GateStarted{"c", "x"}) + "\n";
    cr_assert(!readHistoryStream(history, "s", line));
}

Test(historyReader, recordedEventsAreReadBack)
{
    std::string text;
    HistoryRecorder recorder("a", true, [&text](std::string_view line) { text += line; });
    recorder.record(NodeSwapped{5, 4, "sj", "ab", {"x\"y", "\xe6\x80"}, {"x"}});
    recorder.record(ProcessExited{"b1", -9});
    History history;
    cr_assert(bool(readHistoryStream(history, "s", text)));
    cr_assert(history.records.size() == 3);
    const auto &swap = std::get<NodeSwapped>(history.records[1].event);
    cr_assert(swap.version == 5);
    cr_assert(swap.clusters[0] == "x\"y");
    cr_assert(swap.clusters[1] == "\xe6\x80");
    cr_assert(std::get<ProcessExited>(history.records[2].event).status == -9);
}

Test(historyReader, streamsAreMergedByTimeAndKeepLifetimes)
{
    const std::string later = formatHistoryLine(30, "b", 1, ProcessStarted{1}) + "\n";
    const std::string early = formatHistoryLine(10, "a", 1, ProcessStarted{1}) + "\n"
                              + formatHistoryLine(40, "a", 1, ProcessStarted{2}) + "\n";
    History history;
    cr_assert(bool(readHistoryStream(history, "later", later)));
    cr_assert(bool(readHistoryStream(history, "early", early)));
    sortHistory(history);
    cr_assert(history.lifetimes == 3);
    cr_assert(history.records[0].process == "a");
    cr_assert(history.records[1].process == "b");
    cr_assert(history.records[0].lifetime != history.records[2].lifetime);
    cr_assert(history.endTime() == 40);
}
