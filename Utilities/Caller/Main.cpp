// sagecrank-caller: simulates callers that send bookings and lookups through running nodes, for tests of
// whole clusters. It writes history events to standard output and exits once every call is answered or lost.
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
    SimulatedCallerSettings caller;
    std::uint32_t callerCount = 16;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::int64_t maximumPauseMilliseconds = 20;
    std::int64_t shortDeadlineMilliseconds = 400;
};

options::options_description describe(Settings &settings)
{
    options::options_description description("sagecrank-caller: visitors that book and look up");
    SimulatedCallerSettings &caller = settings.caller;
    auto add = description.add_options();
    add("node", options::value(&caller.nodes)->required(),
        "a node's address for callers; given once for each");
    add("name", options::value(&caller.name)->default_value("caller"), "process name in the history");
    add("visitors", options::value(&settings.callerCount)->default_value(settings.callerCount),
        "how many are there at once");
    add("seconds", options::value(&settings.seconds)->default_value(settings.seconds), "how long they come");
    add("seed", options::value(&settings.seed)->default_value(settings.seed), "for what each of them does");
    add("keyed-share", options::value(&caller.keyedShare)->default_value(caller.keyedShare),
        "share of bookings with a key");
    add("keyless-share", options::value(&caller.keylessShare)->default_value(caller.keylessShare),
        "share of bookings without one");
    add("pause-ms", options::value(&settings.maximumPauseMilliseconds)->default_value(20),
        "longest pause between two errands of one visitor");
    add("deadline-ms", options::value(&settings.shortDeadlineMilliseconds)->default_value(400),
        "deadline of the calls that are in a hurry");
    add("book", options::value(&caller.bookingTargets)->required(), "target of bookings; may be given often");
    add("look-up", options::value(&caller.lookupTargets)->required(),
        "target of lookups; may be given often");
    return description;
}

void run(const Settings &settings)
{
    boost::asio::io_context context(1);
    HistoryRecorder history(settings.caller.name, true);
    HttpClientSettings clientSettings;
    clientSettings.maximumIdleConnections = settings.callerCount;
    HttpClient client(context, clientSettings);
    const Instant end =
        SteadyClock::now()
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings.seconds));
    for (std::uint32_t number = 0; number < settings.callerCount; ++number) {
        std::make_shared<SimulatedCaller>(context, client, history, settings.caller, number,
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
    settings.caller.maximumPause = Milliseconds(settings.maximumPauseMilliseconds);
    settings.caller.shortDeadline = Milliseconds(settings.shortDeadlineMilliseconds);
    run(settings);
    return 0;
}
