// sagecrank-caller: many visitors that book and look up through running nodes, for proof runs. It writes
// history events to standard output and ends by itself once every call is answered or lost.
// Exit codes: 0 ended, 2 wrong usage.
#include "SimulatedCaller.h"

#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <iostream>

using namespace Sagecrank;
namespace options = boost::program_options;

namespace {

struct Settings
{
    SimulatedCallerSettings visitor;
    std::uint32_t visitors = 16;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::int64_t longestPauseMilliseconds = 20;
    std::int64_t deadlineMilliseconds = 400;
};

options::options_description describe(Settings &settings)
{
    options::options_description description("sagecrank-caller: visitors that book and look up");
    SimulatedCallerSettings &visitor = settings.visitor;
    auto add = description.add_options();
    add("node", options::value(&visitor.nodes)->required(),
        "a node's address for callers; given once for each");
    add("name", options::value(&visitor.name)->default_value("caller"), "process name in the history");
    add("visitors", options::value(&settings.visitors)->default_value(settings.visitors),
        "how many are there at once");
    add("seconds", options::value(&settings.seconds)->default_value(settings.seconds), "how long they come");
    add("seed", options::value(&settings.seed)->default_value(settings.seed), "for what each of them does");
    add("keyed-share", options::value(&visitor.keyedShare)->default_value(visitor.keyedShare),
        "share of bookings with a key");
    add("keyless-share", options::value(&visitor.keylessShare)->default_value(visitor.keylessShare),
        "share of bookings without one");
    add("pause-ms", options::value(&settings.longestPauseMilliseconds)->default_value(20),
        "longest pause between two errands of one visitor");
    add("deadline-ms", options::value(&settings.deadlineMilliseconds)->default_value(400),
        "deadline of the calls that are in a hurry");
    add("book", options::value(&visitor.bookTargets)->required(), "target of bookings; may be given often");
    add("look-up", options::value(&visitor.lookupTargets)->required(),
        "target of lookups; may be given often");
    return description;
}

void run(const Settings &settings)
{
    boost::asio::io_context context(1);
    HistoryRecorder history(settings.visitor.name, true);
    HttpClientSettings clientSettings;
    clientSettings.maximumIdleConnections = settings.visitors;
    HttpClient client(context, clientSettings);
    const Instant end =
        SteadyClock::now()
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings.seconds));
    for (std::uint32_t number = 0; number < settings.visitors; ++number) {
        std::make_shared<SimulatedCaller>(context, client, history, settings.visitor, number,
                                          settings.seed + number)
            ->start(end);
    }
    context.run();
}

} // namespace

int main(int count, char **arguments)
{
    Settings settings;
    options::variables_map values;
    if (const auto exitCode =
            readCommandLine(CommandLine{"", describe(settings), {}}, count, arguments, values))
        return *exitCode;
    settings.visitor.longestPause = Milliseconds(settings.longestPauseMilliseconds);
    settings.visitor.deadline = Milliseconds(settings.deadlineMilliseconds);
    run(settings);
    return 0;
}
