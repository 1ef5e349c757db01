// Tests that the recorder writes one complete, correctly escaped line for each event, in sequence, also when
// several threads record.
#include <LibHistory/HistoryRecorder.h>

#include <Support/TableTest.h>

#include <thread>
#include <vector>

using namespace Sagecrank;

namespace {

struct EscapeRow
{
    const char *text;
    const char *written;
};

const EscapeRow escapeRows[] = {
    {"plain", "\"plain\""},
    {"say \"no\"", R"("say \"no\"")"},
    {"back\\slash", R"("back\\slash")"},
    {"line\nbreak", R"("line\u000abreak")"},
    {"\xff\x7f", R"("\u00ff\u007f")"},
};

} // namespace

TABLE_TEST(historyRecorder, textIsEscaped, escapeRows)
{
    const std::string line = formatHistoryLine(7, "a", 2, CallerLost{"c1", row.text});
    const std::string expected =
        std::string(R"({"t":7,"p":"a","n":2,"e":"caller.lost","call":"c1","reason":)") + row.written
        + ",\"sent\":true}";
    cr_assert(line == expected, "%s", line.c_str());
}

Test(historyRecorder, fieldTypesAreWritten)
{
    const std::string swapped =
        formatHistoryLine(1, "a", 1, NodeSwapped{5, 4, "sj-1", "ab", {"x", "y"}, {"x"}});
    cr_assert(
        swapped.find(
            R"("version":5,"previous":4,"site":"sj-1","digest":"ab","clusters":["x","y"],"routes":["x"]})")
        != std::string::npos);
    const std::string exited = formatHistoryLine(1, "driver", 1, ProcessExited{"b1", -9});
    cr_assert(exited.find(R"("target":"b1","status":-9})") != std::string::npos);
}

Test(historyRecorder, disabledRecorderCreatesNoEvent)
{
    int made = 0;
    int lines = 0;
    HistoryRecorder recorder("a", false, [&lines](std::string_view) { ++lines; });
    recorder.record([&made] {
        ++made;
        return GateStarted{"c1", "c1.1"};
    });
    cr_assert(made == 0);
    cr_assert(lines == 0);
}

// Several threads record at once. Each line must be complete and the sequence must match the order of the
// lines; otherwise a reader would report lost lines in an intact history.
Test(historyRecorder, threadsShareOneSequence)
{
    constexpr int threadCount = 4;
    constexpr int eventsEach = 500;
    std::vector<std::string> lines;
    HistoryRecorder recorder("a", true, [&lines](std::string_view line) { lines.emplace_back(line); });
    {
        std::vector<std::jthread> threads;
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&recorder] {
                for (int event = 0; event < eventsEach; ++event)
                    recorder.record([] { return GateStarted{"c1", "c1.1"}; });
            });
        }
    }
    cr_assert(lines.size() == 1 + threadCount * eventsEach);
    cr_assert(lines.front().find("process.started") != std::string::npos);
    for (std::size_t index = 0; index < lines.size(); ++index) {
        const std::string expected = "\"n\":" + std::to_string(index + 1) + ",";
        cr_assert(lines[index].find(expected) != std::string::npos);
        cr_assert(lines[index].back() == '\n');
    }
}
