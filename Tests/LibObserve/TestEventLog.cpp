// The catalogue agrees with its page, lines cannot be forged by values from outside, and a storm of one
// event does not become a storm of lines.
#include <LibObserve/EventLog.h>

#include <Support/TableTest.h>

#include <fstream>
#include <set>
#include <vector>

using namespace Sagecrank;

namespace {

std::string pageRow(const EventDescription &event)
{
    return "| " + std::to_string(static_cast<unsigned>(event.id)) + " | " + std::string(event.name) + " | "
           + std::string(logLevelNames.name(event.level)) + " | " + std::string(event.text) + " |";
}

struct ValueRow
{
    const char *value;
    const char *written;
};

const ValueRow valueRows[] = {
    {"plain", "plain"},
    {"10.0.0.7:8101", "10.0.0.7:8101"},
    {"", "\"\""},
    {"two words", "\"two words\""},
    {"a=b", "\"a=b\""},
    {"say \"hi\"", "\"say \\\"hi\\\"\""},
    {"x\n2026-01-01T00:00:00Z ERROR 1001 forged", "\"x\\x0a2026-01-01T00:00:00Z ERROR 1001 forged\""},
    {"\x1b[2J", "\"\\x1b[2J\""},
};

} // namespace

Test(eventCatalogue, agreesWithItsPage)
{
    std::ifstream page(SAGECRANK_EVENTS_PAGE);
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9')
            rows.push_back(line);
    }
    cr_assert(rows.size() == std::size(eventCatalogue), "the page has %zu events, the code %zu", rows.size(),
              std::size(eventCatalogue));
    for (std::size_t at = 0; at < rows.size(); ++at) {
        const std::string wanted = pageRow(eventCatalogue[at]);
        cr_assert(rows[at].starts_with(wanted), "the page says \"%s\"", rows[at].c_str());
    }
}

Test(eventCatalogue, numbersAndNamesAreUniqueAndEachIdHasItsRow)
{
    std::set<EventId> ids;
    std::set<std::string_view> names;
    for (const EventDescription &event : eventCatalogue) {
        cr_assert(ids.insert(event.id).second);
        cr_assert(names.insert(event.name).second);
        cr_assert(describeEvent(event.id).name == event.name);
    }
}

TABLE_TEST(eventLog, valuesStayOnTheirLine, valueRows)
{
    std::string written;
    EventLog log("b1", {}, [&](LogLevel, const std::string &line) { written = line; });
    log.write(EventId::PeerLost, {{"peer", row.value}});
    cr_assert(written == std::string("4002 peer.lost process=b1 peer=") + row.written, "got %s",
              written.c_str());
}

Test(eventLog, levelsBelowTheMinimumAreNotWritten)
{
    int lines = 0;
    EventLog log("b1", {LogLevel::Warning, 20}, [&](LogLevel, const std::string &) { ++lines; });
    log.write(EventId::ProcessStarted, {});
    log.write(EventId::PeerLost, {});
    cr_assert(lines == 1);
}

Test(eventLog, aStormOfOneEventIsCountedAndOtherEventsGetThrough)
{
    Instant now{std::chrono::seconds(100)};
    std::vector<std::string> lines;
    EventLog log(
        "b1", {LogLevel::Info, 3}, [&](LogLevel, const std::string &line) { lines.push_back(line); },
        [&] { return now; });
    for (int count = 0; count < 10; ++count)
        log.write(EventId::PeerLost, {{"count", count}});
    log.write(EventId::MemberDead, {{"member", "b2"}});
    cr_assert(lines.size() == 4);
    now += std::chrono::seconds(1);
    log.write(EventId::PeerLost, {{"count", 11}});
    cr_assert(lines.size() == 6);
    cr_assert(lines[4] == "1007 events.suppressed process=b1 event=peer.lost lines=7", "got %s",
              lines[4].c_str());
    cr_assert(lines[5] == "4002 peer.lost process=b1 count=11");
}
