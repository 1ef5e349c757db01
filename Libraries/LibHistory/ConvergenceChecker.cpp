// Checks that an accepted version is in force on every node in time and is never reverted.
#include <LibHistory/CallIndex.h>
#include <LibHistory/Checkers.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace Sagecrank {

namespace {

// One run of a node, from its launch by the driver until its exit or the end of the history.
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

NodeRun *findNodeRun(std::vector<NodeRun> &nodes, std::string_view name, std::uint64_t time)
{
    for (NodeRun &node : nodes) {
        if (node.name == name && node.launched <= time && time <= node.exited)
            return &node;
    }
    return nullptr;
}

// At the end of a run the driver records which versions the platform accepted. Most of these records repeat
// those of the operators.
bool isDuplicate(const Run &run, const PublishAccepted &accepted)
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
            if (NodeRun *node = findNodeRun(run.nodes, exited->target, record.time))
                node->exited = record.time;
        } else if (std::holds_alternative<NodeSwapped>(record.event)) {
            if (NodeRun *node = findNodeRun(run.nodes, record.process, record.time))
                node->swaps.push_back(&record);
        } else if (const auto *accepted = std::get_if<PublishAccepted>(&record.event)) {
            if (!isDuplicate(run, *accepted))
                run.accepted.push_back(&record);
        }
    }
    for (const FaultWindow &window : faultWindows(history)) {
        const bool platform = std::find(platforms.begin(), platforms.end(), window.target) != platforms.end();
        (platform ? run.platformFaults : run.otherFaults).push_back(window);
    }
    return run;
}

// Returns the time from which the convergence limit counts. The limit starts again at the end of each fault
// that could keep the version from the node: a fault of the node itself, or of the platform, which is the
// only source of a version that was just accepted. Faults of other nodes do not extend it.
std::uint64_t convergenceStart(const Run &run, const NodeRun &node, std::uint64_t from, std::uint64_t limit)
{
    bool moved = true;
    while (moved) {
        moved = false;
        const auto extendPast = [&](const FaultWindow &window) {
            if (window.began <= from + limit && window.ended > from) {
                from = window.ended;
                moved = true;
            }
        };
        std::for_each(run.platformFaults.begin(), run.platformFaults.end(), extendPast);
        for (const FaultWindow &window : run.otherFaults) {
            if (window.target == node.name)
                extendPast(window);
        }
    }
    return from;
}

struct ConvergenceStatistics
{
    std::uint64_t slowest = 0; // Of the nodes without a fault in that time; nanoseconds.
    std::size_t withoutFault = 0;
};

void checkNode(CheckResult &result, const Run &run, const NodeRun &node, const HistoryRecord &acceptance,
               std::uint64_t limit, ConvergenceStatistics &statistics)
{
    const std::uint64_t version = std::get<PublishAccepted>(acceptance.event).version;
    const std::uint64_t from = std::max(acceptance.time, node.launched);
    const std::uint64_t since = convergenceStart(run, node, from, limit);
    const std::uint64_t deadline = since + limit;
    if (deadline > node.exited)
        return; // The node exited or the history ended before the limit passed.
    ++result.eventsChecked;
    const HistoryRecord *first = nullptr;
    for (const HistoryRecord *swap : node.swaps) {
        const bool holds = std::get<NodeSwapped>(swap->event).version >= version;
        if (holds && first == nullptr)
            first = swap;
        if (!holds && swap->time > deadline) {
            result.violations.push_back(
                {std::string(node.name) + " reverted accepted version " + std::to_string(version),
                 {&acceptance, swap}});
        }
    }
    if (first == nullptr || first->time > deadline) {
        std::vector evidence{&acceptance};
        if (first != nullptr)
            evidence.push_back(first);
        result.violations.push_back({std::string(node.name) + " did not hold accepted version "
                                         + std::to_string(version) + " in time",
                                     std::move(evidence)});
    } else if (since == acceptance.time) {
        ++statistics.withoutFault;
        if (first->time > acceptance.time)
            statistics.slowest = std::max(statistics.slowest, first->time - acceptance.time);
    }
}

// Checks that a version number is accepted only once; a second acceptance would overwrite the first.
void checkAcceptedOnce(CheckResult &result, const Run &run)
{
    std::map<std::uint64_t, const HistoryRecord *> firstByVersion;
    for (const HistoryRecord *acceptance : run.accepted) {
        const auto &accepted = std::get<PublishAccepted>(acceptance->event);
        const auto [first, inserted] = firstByVersion.try_emplace(accepted.version, acceptance);
        if (!inserted && std::get<PublishAccepted>(first->second->event).publish != accepted.publish) {
            result.violations.push_back(
                {"version " + std::to_string(accepted.version) + " was accepted for two publishes",
                 {first->second, acceptance}});
        }
    }
}

// Checks that no publish was reported to its operator as refused although it was accepted.
void checkRefusalIsTrue(CheckResult &result, const History &history, const Run &run)
{
    for (const HistoryRecord &record : history.records) {
        const auto *refused = std::get_if<PublishRefused>(&record.event);
        if (refused == nullptr)
            continue;
        for (const HistoryRecord *acceptance : run.accepted) {
            if (std::get<PublishAccepted>(acceptance->event).publish == refused->publish) {
                result.violations.push_back({"publish " + refused->publish + " was both accepted and refused",
                                             {acceptance, &record}});
            }
        }
        if (!refused->winner.empty() && refused->winner == refused->publish) {
            result.violations.push_back(
                {"publish " + refused->publish + " was refused for its own success", {&record}});
        }
    }
}

std::string describeStatistics(const ConvergenceStatistics &statistics)
{
    constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
    if (statistics.withoutFault == 0)
        return "none undisturbed";
    return "slowest of " + std::to_string(statistics.withoutFault)
           + " undisturbed: " + std::to_string(statistics.slowest / nanosecondsPerMillisecond) + " ms";
}

} // namespace

CheckResult checkAcceptedInForce(const History &history, const CheckLimits &limits)
{
    CheckResult result{Invariant::AcceptedInForce, 0, {}, {}};
    const Run run = collectRun(history);
    ConvergenceStatistics statistics;
    for (const HistoryRecord *acceptance : run.accepted) {
        for (const NodeRun &node : run.nodes)
            checkNode(result, run, node, *acceptance, std::uint64_t(limits.convergence.count()), statistics);
    }
    checkAcceptedOnce(result, run);
    checkRefusalIsTrue(result, history, run);
    result.note = describeStatistics(statistics);
    return result;
}

} // namespace Sagecrank
