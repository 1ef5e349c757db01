// Checks draining upstreams: they receive no new work after a few seconds, and their running work is not
// aborted.
#include <LibHistory/CallIndex.h>
#include <LibHistory/Checkers.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace Sagecrank {

namespace {

// One upstream process that was told to drain.
struct Drain
{
    const HistoryRecord *record = nullptr;
    std::string_view upstream;             // Process name.
    std::string_view node;                 // The node on its host; empty when the driver did not record it.
    std::uint64_t replaced = 0;            // When the next upstream of the same node was launched.
    const HistoryRecord *exited = nullptr; // The driver's record of its exit.
};

std::vector<Drain> collectDrains(const History &history)
{
    std::vector<Drain> drains;
    std::map<std::string_view, std::string_view> nodeByUpstream;
    for (const HistoryRecord &record : history.records) {
        if (const auto *launched = std::get_if<ProcessLaunched>(&record.event)) {
            if (launched->role != "upstream")
                continue;
            nodeByUpstream[launched->target] = launched->node;
            for (Drain &drain : drains) {
                if (drain.node == launched->node && drain.replaced == history.endTime())
                    drain.replaced = record.time;
            }
        } else if (std::holds_alternative<UpstreamDraining>(record.event)) {
            drains.push_back(
                {&record, record.process, nodeByUpstream[record.process], history.endTime(), nullptr});
        } else if (const auto *exited = std::get_if<ProcessExited>(&record.event)) {
            for (Drain &drain : drains) {
                if (drain.upstream == exited->target && drain.exited == nullptr)
                    drain.exited = &record;
            }
        }
    }
    return drains;
}

void checkLateWork(CheckResult &result, const History &history, const Drain &drain, std::uint64_t allowed)
{
    const std::uint64_t deadline = drain.record->time + allowed;
    bool hadLoad = false;
    for (const HistoryRecord &record : history.records) {
        if (record.time <= deadline)
            continue;
        if (std::holds_alternative<CallerSent>(record.event)) {
            hadLoad = true;
        } else if (std::holds_alternative<UpstreamBegan>(record.event)) {
            if (record.lifetime == drain.record->lifetime)
                result.violations.push_back(
                    {std::string(drain.upstream) + " was given work after it had left",
                     {drain.record, &record}});
        } else if (std::holds_alternative<GateStarted>(record.event)) {
            if (!drain.node.empty() && record.process == drain.node && record.time < drain.replaced)
                result.violations.push_back({std::string(drain.node) + " started work for "
                                                 + std::string(drain.upstream) + " after it had left",
                                             {drain.record, &record}});
        }
    }
    // Without load nothing could have been sent to the upstream, so such a drain proves nothing.
    if (hadLoad)
        ++result.eventsChecked;
}

class ShutdownChecker
{
public:
    explicit ShutdownChecker(const History &history)
        : history(history)
        , index(history)
        , faults(faultWindows(history))
    {
        for (const HistoryRecord &record : history.records) {
            const auto *launched = std::get_if<ProcessLaunched>(&record.event);
            if (launched != nullptr && !launched->address.empty())
                this->nodeByAddress[launched->address] = launched->target;
        }
    }

    // Returns the attempts that were running when the upstream began to drain, or that started later.
    CallIndex::Records openAttempts(const Drain &drain) const
    {
        CallIndex::Records open;
        for (const HistoryRecord &record : this->history.records) {
            const auto *began = std::get_if<UpstreamBegan>(&record.event);
            if (began == nullptr || record.lifetime != drain.record->lifetime)
                continue;
            const HistoryRecord *ended = this->endOf(*began);
            if (ended == nullptr || ended->time > drain.record->time)
                open.push_back(&record);
        }
        return open;
    }

    void checkAttempt(CheckResult &result, const Drain &drain, const HistoryRecord &record) const
    {
        ++result.eventsChecked;
        const auto &began = std::get<UpstreamBegan>(record.event);
        const HistoryRecord *ended = this->endOf(began);
        const HistoryRecord *sent = first(CallIndex::find(this->index.sentByCall, began.call));
        const HistoryRecord *closed = first(CallIndex::find(this->index.completedByCall, began.call));
        const auto *answered = closed ? std::get_if<CallerAnswered>(&closed->event) : nullptr;
        const bool answeredDone = answered != nullptr && answered->outcome == "done";
        if (answeredDone && ended != nullptr)
            return; // The caller got its response; if this attempt was cancelled, a hedged attempt won.
        if (sent != nullptr && closed != nullptr && this->mayEndEarly(drain, *sent, *closed))
            return;
        std::vector<const HistoryRecord *> evidence;
        for (const HistoryRecord *candidate : {sent, &record, drain.record, ended, closed}) {
            if (candidate != nullptr)
                evidence.push_back(candidate);
        }
        std::sort(evidence.begin(), evidence.end(),
                  [](const auto *left, const auto *right) { return left->time < right->time; });
        result.violations.push_back(
            {"call " + began.call + " was cut when " + std::string(drain.upstream) + " left",
             std::move(evidence)});
    }

    void checkExit(CheckResult &result, const Drain &drain) const
    {
        if (drain.exited == nullptr || std::get<ProcessExited>(drain.exited->event).status == 0)
            return;
        if (!this->hadFault(drain.upstream, drain.record->time, drain.exited->time))
            result.violations.push_back(
                {std::string(drain.upstream) + " did not end in good order", {drain.record, drain.exited}});
    }

private:
    static const HistoryRecord *first(const CallIndex::Records &records)
    {
        return records.empty() ? nullptr : records.front();
    }

    const HistoryRecord *endOf(const UpstreamBegan &began) const
    {
        return first(CallIndex::find(this->index.endedByAttempt, {began.call, began.attempt}));
    }

    bool hadFault(std::string_view process, std::uint64_t from, std::uint64_t until) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(), [&](const FaultWindow &window) {
            const bool covers = window.target == process && window.began <= until && window.ended >= from;
            return covers && window.fault != leavingFault;
        });
    }

    // A call may end early because of its own deadline or a fault of a process on its path, but not because
    // the upstream drains.
    bool mayEndEarly(const Drain &drain, const HistoryRecord &sentRecord, const HistoryRecord &closed) const
    {
        constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
        // Each hop forwards the remaining time in whole milliseconds, and the gate subtracts one more so that
        // its response arrives in time.
        constexpr std::uint64_t roundingLoss = 5 * nanosecondsPerMillisecond;
        const auto &sent = std::get<CallerSent>(sentRecord.event);
        const std::uint64_t allowed = sent.deadlineMilliseconds * nanosecondsPerMillisecond;
        if (allowed != 0 && closed.time + roundingLoss >= sentRecord.time + allowed)
            return true;
        const auto entry = this->nodeByAddress.find(sent.node);
        const auto from = sentRecord.time;
        return this->hadFault(drain.upstream, from, closed.time)
               || this->hadFault(drain.node, from, closed.time)
               || (entry != this->nodeByAddress.end() && this->hadFault(entry->second, from, closed.time));
    }

    const History &history;
    CallIndex index;
    std::vector<FaultWindow> faults;
    std::map<std::string_view, std::string_view> nodeByAddress;
};

} // namespace

CheckResult checkLeavingGetsNoWork(const History &history, const CheckLimits &limits)
{
    CheckResult result{Invariant::LeavingGetsNoWork, 0, {}, {}};
    for (const Drain &drain : collectDrains(history))
        checkLateWork(result, history, drain, std::uint64_t(limits.drain.count()));
    return result;
}

CheckResult checkShutdownCutsNothing(const History &history, const CheckLimits &)
{
    CheckResult result{Invariant::ShutdownCutsNothing, 0, {}, {}};
    const ShutdownChecker checker(history);
    const std::vector<Drain> drains = collectDrains(history);
    for (const Drain &drain : drains) {
        for (const HistoryRecord *attempt : checker.openAttempts(drain))
            checker.checkAttempt(result, drain, *attempt);
        checker.checkExit(result, drain);
    }
    result.note = std::to_string(drains.size()) + " drains";
    return result;
}

} // namespace Sagecrank
