// Compares the responses that callers received with what upstreams recorded. Checks that each caller got the
// complete response to its own request, that work reported as "not run" never ran, and that non-idempotent
// work ran at most once.
#include <LibHistory/CallIndex.h>
#include <LibHistory/Checkers.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace Sagecrank {

namespace {

// Maps each address that accepts callers' requests to the name of its process.
std::map<std::string_view, std::string_view> nodesByAddress(const History &history)
{
    std::map<std::string_view, std::string_view> nodes;
    for (const HistoryRecord &record : history.records) {
        const auto *launched = std::get_if<ProcessLaunched>(&record.event);
        if (launched != nullptr && !launched->address.empty())
            nodes[launched->address] = launched->target;
    }
    return nodes;
}

class ResponseChecker
{
public:
    explicit ResponseChecker(const History &history)
        : index(history)
        , nodes(nodesByAddress(history))
        , faults(faultWindows(history))
    {
    }

    void checkCall(CheckResult &result, const CallIndex::Records &sentRecords) const
    {
        const HistoryRecord &sentRecord = *sentRecords.front();
        const auto &sent = std::get<CallerSent>(sentRecord.event);
        if (sentRecords.size() > 1)
            result.violations.push_back({"call id " + sent.call + " was used twice", sentRecords});
        const CallIndex::Records &closed = CallIndex::find(this->index.completedByCall, sent.call);
        if (closed.empty()) {
            result.violations.push_back({"call " + sent.call + " never got an answer", {&sentRecord}});
            return;
        }
        if (closed.size() > 1)
            result.violations.push_back({"call " + sent.call + " got two answers", closed});
        if (closed.front()->lifetime != sentRecord.lifetime)
            result.violations.push_back(
                {"call " + sent.call + " was answered to another caller", {&sentRecord, closed.front()}});
        if (const auto *answered = std::get_if<CallerAnswered>(&closed.front()->event))
            this->checkResponse(result, sentRecord, *closed.front(), *answered);
        else if (!this->isLossCausedByFault(sent, sentRecord.time, *closed.front()))
            result.violations.push_back({"call " + sent.call + " was lost though nothing disturbed its node",
                                         {&sentRecord, closed.front()}});
    }

    // Checks that the upstream received the request unchanged.
    void checkUpstreamRequest(CheckResult &result, const HistoryRecord &record,
                              const UpstreamBegan &began) const
    {
        const CallIndex::Records &sentRecords = CallIndex::find(this->index.sentByCall, began.call);
        if (sentRecords.empty()) {
            result.violations.push_back(
                {"an upstream ran call " + began.call + ", which nobody sent", {&record}});
            return;
        }
        const auto &sent = std::get<CallerSent>(sentRecords.front()->event);
        if (sent.body != began.body || sent.key != began.key)
            result.violations.push_back(
                {"call " + began.call + " reached its upstream with another body or key",
                 {sentRecords.front(), &record}});
    }

    const CallIndex &records() const { return this->index; }

private:
    void checkResponse(CheckResult &result, const HistoryRecord &sentRecord,
                       const HistoryRecord &answerRecord, const CallerAnswered &answered) const
    {
        if (answered.outcome != "done") {
            if (answered.outcome != "not-run" && answered.outcome != "unknown")
                result.violations.push_back(
                    {"call " + answered.call + " was answered without an outcome", {&answerRecord}});
            return;
        }
        const auto &sent = std::get<CallerSent>(sentRecord.event);
        std::vector evidence{&sentRecord, &answerRecord};
        if (!answered.replayed) {
            const CallIndex::Records &ended = CallIndex::find(this->index.endedByCall, sent.call);
            evidence.insert(evidence.end(), ended.begin(), ended.end());
            if (!matchesAny(ended, answered) || (!answered.echo.empty() && answered.echo != sent.call))
                result.violations.push_back(
                    {"call " + sent.call + " got an answer that no upstream gave to it",
                     std::move(evidence)});
            return;
        }
        const CallIndex::Records ended = this->endedUnderKey(sent.key);
        evidence.insert(evidence.end(), ended.begin(), ended.end());
        if (sent.key.empty() || !matchesAny(ended, answered))
            result.violations.push_back(
                {"call " + sent.call + " was replayed an answer that no upstream gave under its key",
                 std::move(evidence)});
    }

    // Returns whether one of the recorded responses is the one that the caller received.
    static bool matchesAny(const CallIndex::Records &endedRecords, const CallerAnswered &answered)
    {
        return std::any_of(endedRecords.begin(), endedRecords.end(), [&](const HistoryRecord *record) {
            const auto &ended = std::get<UpstreamEnded>(record->event);
            return !ended.cancelled && ended.status == answered.status && ended.body == answered.body;
        });
    }

    CallIndex::Records endedUnderKey(std::string_view key) const
    {
        CallIndex::Records all;
        for (const HistoryRecord *record : CallIndex::find(this->index.beganByKey, key)) {
            const auto &began = std::get<UpstreamBegan>(record->event);
            const auto &ended = CallIndex::find(this->index.endedByAttempt, {began.call, began.attempt});
            all.insert(all.end(), ended.begin(), ended.end());
        }
        return all;
    }

    // A call may go unanswered only because of a fault of the node that the caller was connected to. A node
    // that shuts down gracefully may only refuse connections.
    bool isLossCausedByFault(const CallerSent &sent, std::uint64_t from, const HistoryRecord &closed) const
    {
        const auto node = this->nodes.find(sent.node);
        if (node == this->nodes.end())
            return false;
        const bool requestSent = std::get<CallerLost>(closed.event).sent;
        return std::any_of(this->faults.begin(), this->faults.end(), [&](const FaultWindow &window) {
            const bool covers =
                window.target == node->second && window.began <= closed.time && window.ended >= from;
            return covers && (window.fault != leavingFault || !requestSent);
        });
    }

    CallIndex index;
    std::map<std::string_view, std::string_view> nodes; // Process names by address.
    std::vector<FaultWindow> faults;
};

void checkNotRun(CheckResult &result, const HistoryRecord &refusal, const std::string &what,
                 const CallIndex::Records &began)
{
    ++result.eventsChecked;
    if (began.empty())
        return;
    std::vector evidence{&refusal};
    evidence.insert(evidence.end(), began.begin(), began.end());
    std::sort(evidence.begin(), evidence.end(),
              [](const auto *left, const auto *right) { return left->time < right->time; });
    result.violations.push_back({what + " was said not to have run, but it did", std::move(evidence)});
}

bool isNonIdempotent(const CallIndex &index, std::string_view call)
{
    const CallIndex::Records &sent = CallIndex::find(index.sentByCall, call);
    return sent.empty() || !std::get<CallerSent>(sent.front()->event).idempotent;
}

} // namespace

CheckResult checkOwnWholeAnswer(const History &history, const CheckLimits &)
{
    CheckResult result{Invariant::OwnWholeAnswer, 0, {}, {}};
    const ResponseChecker checker(history);
    for (const auto &[call, sentRecords] : checker.records().sentByCall) {
        ++result.eventsChecked;
        checker.checkCall(result, sentRecords);
    }
    for (const HistoryRecord &record : history.records) {
        if (const auto *began = std::get_if<UpstreamBegan>(&record.event))
            checker.checkUpstreamRequest(result, record, *began);
    }
    return result;
}

CheckResult checkNotRunNeverRan(const History &history, const CheckLimits &)
{
    CheckResult result{Invariant::NotRunNeverRan, 0, {}, {}};
    const CallIndex index(history);
    for (const HistoryRecord &record : history.records) {
        if (const auto *answered = std::get_if<CallerAnswered>(&record.event)) {
            if (answered->outcome == "not-run")
                checkNotRun(result, record, "call " + answered->call,
                            CallIndex::find(index.beganByCall, answered->call));
        } else if (const auto *refused = std::get_if<GateRefused>(&record.event)) {
            checkNotRun(result, record, "attempt " + refused->attempt,
                        CallIndex::find(index.beganByAttempt, {refused->call, refused->attempt}));
        } else if (const auto *finished = std::get_if<GateFinished>(&record.event)) {
            if (finished->outcome == "not-run")
                checkNotRun(result, record, "attempt " + finished->attempt,
                            CallIndex::find(index.beganByAttempt, {finished->call, finished->attempt}));
        }
    }
    return result;
}

CheckResult checkAtMostOnce(const History &history, const CheckLimits &)
{
    CheckResult result{Invariant::AtMostOnce, 0, {}, {}};
    const CallIndex index(history);
    for (const auto &[attempt, began] : index.beganByAttempt) {
        if (began.size() > 1)
            result.violations.push_back({"attempt " + std::string(attempt.second) + " ran twice", began});
    }
    for (const auto &[key, began] : index.beganByKey) {
        const bool isChecked = std::any_of(began.begin(), began.end(), [&index](const HistoryRecord *record) {
            return isNonIdempotent(index, std::get<UpstreamBegan>(record->event).call);
        });
        if (!isChecked)
            continue;
        ++result.eventsChecked;
        if (began.size() > 1)
            result.violations.push_back({"key " + std::string(key) + " ran more than once", began});
    }
    for (const auto &[call, began] : index.beganByCall) {
        const bool keyless = std::get<UpstreamBegan>(began.front()->event).key.empty();
        if (!keyless || !isNonIdempotent(index, call))
            continue;
        ++result.eventsChecked;
        if (began.size() > 1)
            result.violations.push_back({"call " + std::string(call) + " ran more than once", began});
    }
    return result;
}

} // namespace Sagecrank
