// Judges that an accepted version is in force on every node in time, and stays.
#include <LibHistory/CallIndex.h>
#include <LibHistory/Checkers.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace Sagecrank {

namespace {

// One launch of one node, from the driver's record of it until its exit or the end of the history.
struct NodeRun
{
    std::string_view name;
    std::uint64_t launched = 0;
    std::uint64_t exited = 0;
    std::vector<const HistoryRecord *> swaps;
};

struct Run
{
    std::vector<NodeRun> nodes;
    std::vector<const HistoryRecord *> accepted;
    std::vector<FaultWindow> platformFaults;
    std::vector<FaultWindow> otherFaults;
};

NodeRun *openRun(std::vector<NodeRun> &nodes, std::string_view name, std::uint64_t time)
{
    for (NodeRun &node : nodes) {
        if (node.name == name && node.launched <= time && time <= node.exited)
            return &node;
    }
    return nullptr;
}

// A driver writes down at the end what the platform says was accepted; most of that the operators said
// before.
bool isRepeated(const Run &run, const PublishAccepted &accepted)
{
    return std::any_of(run.accepted.begin(), run.accepted.end(), [&](const HistoryRecord *record) {
        const auto &earlier = std::get<PublishAccepted>(record->event);
        return earlier.version == accepted.version && earlier.publish == accepted.publish;
    });
}

Run collectRun(const History &history)
{
    Run run;
    std::vector<std::string_view> platforms;
    for (const HistoryRecord &record : history.records) {
        if (const auto *launched = std::get_if<ProcessLaunched>(&record.event)) {
            if (launched->role == "node")
                run.nodes.push_back({launched->target, record.time, history.endTime(), {}});
            else if (launched->role == "platform")
                platforms.push_back(launched->target);
        } else if (const auto *exited = std::get_if<ProcessExited>(&record.event)) {
            if (NodeRun *node = openRun(run.nodes, exited->target, record.time))
                node->exited = record.time;
        } else if (std::holds_alternative<NodeSwapped>(record.event)) {
            if (NodeRun *node = openRun(run.nodes, record.process, record.time))
                node->swaps.push_back(&record);
        } else if (const auto *accepted = std::get_if<PublishAccepted>(&record.event)) {
            if (!isRepeated(run, *accepted))
                run.accepted.push_back(&record);
        }
    }
    for (const FaultWindow &window : faultWindows(history)) {
        const bool platform = std::find(platforms.begin(), platforms.end(), window.target) != platforms.end();
        (platform ? run.platformFaults : run.otherFaults).push_back(window);
    }
    return run;
}

// From when on the node could be expected to hold the version. The promised time starts again at the end of
// each fault that kept the node from hearing of it: one of the node itself, or of the platform, which alone
// knows of a version that was accepted a moment ago. A fault of any other node gives no respite.
std::uint64_t undisturbedSince(const Run &run, const NodeRun &node, std::uint64_t from, std::uint64_t allowed)
{
    bool moved = true;
    while (moved) {
        moved = false;
        const auto consider = [&](const FaultWindow &window) {
            if (window.began <= from + allowed && window.ended > from) {
                from = window.ended;
                moved = true;
            }
        };
        std::for_each(run.platformFaults.begin(), run.platformFaults.end(), consider);
        for (const FaultWindow &window : run.otherFaults) {
            if (window.target == node.name)
                consider(window);
        }
    }
    return from;
}

struct ConvergenceFigures
{
    std::uint64_t slowest = 0; // Among nodes that no fault touched meanwhile, in nanoseconds.
    std::size_t undisturbed = 0;
};

void judgeNode(CheckResult &verdict, const Run &run, const NodeRun &node, const HistoryRecord &acceptance,
               std::uint64_t allowed, ConvergenceFigures &figures)
{
    const std::uint64_t version = std::get<PublishAccepted>(acceptance.event).version;
    const std::uint64_t from = std::max(acceptance.time, node.launched);
    const std::uint64_t since = undisturbedSince(run, node, from, allowed);
    const std::uint64_t due = since + allowed;
    if (due > node.exited)
        return; // It ended, or the history did, before its time was up.
    ++verdict.eventsChecked;
    const HistoryRecord *first = nullptr;
    for (const HistoryRecord *swap : node.swaps) {
        const bool holds = std::get<NodeSwapped>(swap->event).version >= version;
        if (holds && first == nullptr)
            first = swap;
        if (!holds && swap->time > due) {
            verdict.violations.push_back(
                {std::string(node.name) + " reverted accepted version " + std::to_string(version),
                 {&acceptance, swap}});
        }
    }
    if (first == nullptr || first->time > due) {
        std::vector evidence{&acceptance};
        if (first != nullptr)
            evidence.push_back(first);
        verdict.violations.push_back({std::string(node.name) + " did not hold accepted version "
                                          + std::to_string(version) + " in time",
                                      std::move(evidence)});
    } else if (since == acceptance.time) {
        ++figures.undisturbed;
        if (first->time > acceptance.time)
            figures.slowest = std::max(figures.slowest, first->time - acceptance.time);
    }
}

// One version number is accepted once; a second acceptance would overwrite the first.
void judgeDoubleAcceptance(CheckResult &verdict, const Run &run)
{
    std::map<std::uint64_t, const HistoryRecord *> firstByVersion;
    for (const HistoryRecord *acceptance : run.accepted) {
        const auto &accepted = std::get<PublishAccepted>(acceptance->event);
        const auto [first, inserted] = firstByVersion.try_emplace(accepted.version, acceptance);
        if (!inserted && std::get<PublishAccepted>(first->second->event).publish != accepted.publish) {
            verdict.violations.push_back(
                {"version " + std::to_string(accepted.version) + " was accepted for two publishes",
                 {first->second, acceptance}});
        }
    }
}

// An operator who was told "refused" must not find the same publish accepted.
void judgeFalseRefusal(CheckResult &verdict, const History &history, const Run &run)
{
    for (const HistoryRecord &record : history.records) {
        const auto *refused = std::get_if<PublishRefused>(&record.event);
        if (refused == nullptr)
            continue;
        for (const HistoryRecord *acceptance : run.accepted) {
            if (std::get<PublishAccepted>(acceptance->event).publish == refused->publish) {
                verdict.violations.push_back(
                    {"publish " + refused->publish + " was both accepted and refused",
                     {acceptance, &record}});
            }
        }
        if (!refused->winner.empty() && refused->winner == refused->publish) {
            verdict.violations.push_back(
                {"publish " + refused->publish + " was refused for its own success", {&record}});
        }
    }
}

std::string describeFigures(const ConvergenceFigures &figures)
{
    constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
    if (figures.undisturbed == 0)
        return "none undisturbed";
    return "slowest of " + std::to_string(figures.undisturbed)
           + " undisturbed: " + std::to_string(figures.slowest / nanosecondsPerMillisecond) + " ms";
}

} // namespace

CheckResult checkAcceptedInForce(const History &history, const CheckLimits &limits)
{
    CheckResult verdict{Invariant::AcceptedInForce, 0, {}, {}};
    const Run run = collectRun(history);
    ConvergenceFigures figures;
    for (const HistoryRecord *acceptance : run.accepted) {
        for (const NodeRun &node : run.nodes)
            judgeNode(verdict, run, node, *acceptance, std::uint64_t(limits.convergence.count()), figures);
    }
    judgeDoubleAcceptance(verdict, run);
    judgeFalseRefusal(verdict, history, run);
    verdict.note = describeFigures(figures);
    return verdict;
}

} // namespace Sagecrank
