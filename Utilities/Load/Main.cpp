// sagecrank-load: an open-loop load generator for nodes. Reports what callers observe: the latency from the
// intended start, the outcomes by call kind, and the latency that the nodes add.
#include <Load/Generator.h>
#include <Load/Report.h>

#include <LibCommandLine/CommandLine.h>

#include <boost/program_options.hpp>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace Sagecrank;
namespace options = boost::program_options;

namespace {

constexpr int exitWrongResponses = 3; // At least one response was for another request or incomplete.

struct LoadArguments
{
    LoadSettings load;
    std::vector<std::string> mix;
    std::string mixFile;
    std::string arrivals;
    long deadlineMilliseconds = 1000;
    bool json = false;
    bool noSpin = false;
    bool noCheck = false;
};

options::options_description makeOptions(LoadArguments &line)
{
    LoadSettings &load = line.load;
    options::options_description description(
        "sagecrank-load: open-loop load on running nodes, with what their callers got");
    auto add = description.add_options();
    add("target", options::value(&load.targets), "caller's address of a node, ip:port; may be given often");
    add("direct", options::value(&load.direct), "an upstream's address; half of the calls go straight there");
    add("rate", options::value(&load.rate)->default_value(load.rate), "calls a second in all");
    add("duration", options::value(&load.seconds)->default_value(load.seconds), "seconds that are counted");
    add("warmup", options::value(&load.warmupSeconds)->default_value(load.warmupSeconds),
        "seconds before them");
    add("arrivals", options::value(&line.arrivals)->default_value("poisson"), "poisson or uniform");
    add("mix", options::value(&line.mix), "name:share:method:path:class[:keyed]; may be given often");
    add("mix-file", options::value(&line.mixFile), "the same, one a line");
    add("skew", options::value(&load.skew)->default_value(load.skew), "zipf exponent over targets and {n}");
    add("numbers", options::value(&load.numbers)->default_value(load.numbers), "{n} in a path is below this");
    add("seed", options::value(&load.seed)->default_value(load.seed), "seed of arrivals and choices");
    add("threads", options::value(&load.threads)->default_value(load.threads), "threads that send");
    add("connections", options::value(&load.connections)->default_value(load.connections),
        "connections for each way");
    add("deadline-ms", options::value(&line.deadlineMilliseconds)->default_value(line.deadlineMilliseconds),
        "deadline of each call; 0: the routes' own");
    add("retries", options::value(&load.retries)->default_value(load.retries),
        "retries of a call, when the refusal says");
    add("body-bytes", options::value(&load.bodyBytes)->default_value(load.bodyBytes),
        "body of calls other than GET");
    add("no-spin", options::bool_switch(&line.noSpin),
        "sleep until calls are due: less processor time, later sends");
    add("no-check", options::bool_switch(&line.noCheck),
        "do not compare answers with what the upstream emulator says");
    add("run-id", options::value(&load.runId), "begins call ids and keys; differs for each run unless given");
    add("history", options::bool_switch(&load.history),
        "write history events to standard output and the report to standard error");
    add("json", options::bool_switch(&line.json), "report as JSON");
    return description;
}

Result<std::vector<MixEntry>> readMix(const LoadArguments &line)
{
    std::string text;
    std::string source = "--mix";
    for (const std::string &entry : line.mix)
        text += entry + "\n";
    if (!line.mixFile.empty()) {
        std::ifstream file(line.mixFile);
        if (!file)
            return makeError(ErrorKind::NotFound, "read mix", line.mixFile, "cannot be opened");
        std::stringstream content;
        content << file.rdbuf();
        text += content.str();
        source = line.mixFile;
    }
    if (text.empty())
        text = "get:1:GET:/:interactive";
    return parseMix(text, source);
}

Result<LoadSettings> makeSettings(LoadArguments line)
{
    const auto invalid = [](const char *message) {
        return makeError(ErrorKind::InvalidInput, "read options", "", message);
    };
    LoadSettings load = std::move(line.load);
    const auto arrivals = arrivalKindNames.value(line.arrivals);
    if (!arrivals)
        return invalid("--arrivals is poisson or uniform");
    if (load.targets.empty() && load.direct.empty())
        return invalid("give --target, --direct or both");
    if (!(load.rate > 0) || !(load.seconds > 0) || load.warmupSeconds < 0 || load.threads < 1
        || load.threads > 64)
        return invalid("rate and duration must be above zero and threads between 1 and 64");
    if (line.deadlineMilliseconds < 0)
        return invalid("--deadline-ms must not be below zero");
    load.arrivals = *arrivals;
    load.mix = TRY(readMix(line));
    load.deadline = Milliseconds(line.deadlineMilliseconds);
    load.spin = !line.noSpin;
    load.checkResponses = !line.noCheck;
    if (load.runId.empty())
        load.runId = "load" + std::to_string(::getpid()) + "-"
                     + std::to_string(SteadyClock::now().time_since_epoch().count() % 1'000'000'000);
    return load;
}

LoadStatistics runGenerators(const LoadSettings &settings)
{
    HistoryRecorder history("load", settings.history);
    std::vector<std::unique_ptr<Generator>> generators;
    for (unsigned index = 0; index < settings.threads; ++index)
        generators.push_back(std::make_unique<Generator>(settings, index, history));
    const Instant start = SteadyClock::now() + Milliseconds(50);
    std::vector<std::thread> threads;
    for (const auto &generator : generators)
        threads.emplace_back([&generator, start] { generator->run(start); });
    for (std::thread &thread : threads)
        thread.join();
    LoadStatistics statistics(settings.mix.size());
    for (const auto &generator : generators)
        statistics.merge(generator->statistics());
    return statistics;
}

int run(LoadArguments line)
{
    const bool json = line.json;
    const Result<LoadSettings> settings = makeSettings(std::move(line));
    if (!settings) {
        std::cerr << settings.error().describe() << "\n";
        return exitUsage;
    }
    const LoadStatistics statistics = runGenerators(settings.value());
    std::ostream &out = settings.value().history ? std::cerr : std::cout;
    out << (json ? formatJsonReport(settings.value(), statistics)
                 : formatTextReport(settings.value(), statistics));
    const bool wrong = statistics.mergedKinds(TrafficPath::ThroughNode).count(FinalOutcome::Wrong) != 0
                       || statistics.mergedKinds(TrafficPath::Direct).count(FinalOutcome::Wrong) != 0;
    return wrong ? exitWrongResponses : 0;
}

} // namespace

int main(int count, char **arguments)
{
    LoadArguments line;
    options::variables_map values;
    const char *exitCodeHelp = "Exit: 0, 2 for bad options, 3 if an answer was wrong.\n";
    if (const auto exitCode =
            readCommandLine(CommandLine{exitCodeHelp, makeOptions(line), {}}, count, arguments, values))
        return *exitCode;
    try {
        return run(std::move(line));
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return exitUsage;
    }
}
