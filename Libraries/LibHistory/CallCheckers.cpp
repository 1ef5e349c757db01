// Judges what callers were told against what upstreams recorded: whole answers to their own requests, "not
// run" that never ran, and non-idempotent work that ran at most once.
#include <LibHistory/CallIndex.h>
#include <LibHistory/Checkers.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace Sagecrank {

namespace {

// Names the process that takes callers' requests at an address.
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

class AnswerJudge
{
public:
    explicit AnswerJudge(const History &history)
        : index(history)
        , nodes(nodesByAddress(history))
        , faults(faultWindows(history))
    {
    }

    void judgeCall(CheckResult &verdict, const CallIndex::Records &sentRecords) const
    {
        const HistoryRecord &sentRecord = *sentRecords.front();
        const auto &sent = std::get<CallerSent>(sentRecord.event);
        if (sentRecords.size() > 1)
            verdict.violations.push_back({"call id " + sent.call + " was used twice", sentRecords});
        const CallIndex::Records &closed = CallIndex::find(this->index.completedByCall, sent.call);
        if (closed.empty()) {
            verdict.violations.push_back({"call " + sent.call + " never got an answer", {&sentRecord}});
            return;
        }
        if (closed.size() > 1)
            verdict.violations.push_back({"call " + sent.call + " got two answers", closed});
        if (closed.front()->lifetime != sentRecord.lifetime)
            verdict.violations.push_back(
                {"call " + sent.call + " was answered to another caller", {&sentRecord, closed.front()}});
        if (const auto *answered = std::get_if<CallerAnswered>(&closed.front()->event))
            this->judgeAnswer(verdict, sentRecord, *closed.front(), *answered);
        else if (!this->lossIsExcused(sent, sentRecord.time, *closed.front()))
            verdict.violations.push_back({"call " + sent.call + " was lost though nothing disturbed its node",
                                          {&sentRecord, closed.front()}});
    }

    // The upstream must have received the request that the caller sent.
    void judgeArrival(CheckResult &verdict, const HistoryRecord &record, const UpstreamBegan &began) const
    {
        const CallIndex::Records &sentRecords = CallIndex::find(this->index.sentByCall, began.call);
        if (sentRecords.empty()) {
            verdict.violations.push_back(
                {"an upstream ran call " + began.call + ", which nobody sent", {&record}});
            return;
        }
        const auto &sent = std::get<CallerSent>(sentRecords.front()->event);
        if (sent.body != began.body || sent.key != began.key)
            verdict.violations.push_back(
                {"call " + began.call + " reached its upstream with another body or key",
                 {sentRecords.front(), &record}});
    }

    const CallIndex &records() const { return this->index; }

private:
    void judgeAnswer(CheckResult &verdict, const HistoryRecord &sentRecord, const HistoryRecord &answerRecord,
                     const CallerAnswered &answered) const
    {
        if (answered.outcome != "done") {
            if (answered.outcome != "not-run" && answered.outcome != "unknown")
                verdict.violations.push_back(
                    {"call " + answered.call + " was answered without an outcome", {&answerRecord}});
            return;
        }
        const auto &sent = std::get<CallerSent>(sentRecord.event);
        std::vector evidence{&sentRecord, &answerRecord};
        if (!answered.replayed) {
            const CallIndex::Records &ended = CallIndex::find(this->index.endedByCall, sent.call);
            evidence.insert(evidence.end(), ended.begin(), ended.end());
            if (!answers(ended, answered) || (!answered.echo.empty() && answered.echo != sent.call))
                verdict.violations.push_back(
                    {"call " + sent.call + " got an answer that no upstream gave to it",
                     std::move(evidence)});
            return;
        }
        const CallIndex::Records ended = this->endedUnderKey(sent.key);
        evidence.insert(evidence.end(), ended.begin(), ended.end());
        if (sent.key.empty() || !answers(ended, answered))
            verdict.violations.push_back(
                {"call " + sent.call + " was replayed an answer that no upstream gave under its key",
                 std::move(evidence)});
    }

    // Whether one of the recorded ends is the answer that the caller received.
    static bool answers(const CallIndex::Records &endedRecords, const CallerAnswered &answered)
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

    // Only a fault of the very node that the caller was connected to may leave it without an answer. A node
    // that leaves in good order may refuse connections, and nothing more.
    bool lossIsExcused(const CallerSent &sent, std::uint64_t from, const HistoryRecord &closed) const
    {
        const auto node = this->nodes.find(sent.node);
        if (node == this->nodes.end())
            return false;
        const bool taken = std::get<CallerLost>(closed.event).sent;
        return std::any_of(this->faults.begin(), this->faults.end(), [&](const FaultWindow &window) {
            const bool covers =
                window.target == node->second && window.began <= closed.time && window.ended >= from;
            return covers && (window.fault != leavingFault || !taken);
        });
    }

    CallIndex index;
    std::map<std::string_view, std::string_view> nodes; // Process name by address.
    std::vector<FaultWindow> faults;
};

void judgeNotRun(CheckResult &verdict, const HistoryRecord &promise, const std::string &what,
                 const CallIndex::Records &began)
{
    ++verdict.eventsChecked;
    if (began.empty())
        return;
    std::vector evidence{&promise};
    evidence.insert(evidence.end(), began.begin(), began.end());
    std::sort(evidence.begin(), evidence.end(),
              [](const auto *left, const auto *right) { return left->time < right->time; });
    verdict.violations.push_back({what + " was said not to have run, but it did", std::move(evidence)});
}

bool isNonIdempotent(const CallIndex &index, std::string_view call)
{
    const CallIndex::Records &sent = CallIndex::find(index.sentByCall, call);
    return sent.empty() || !std::get<CallerSent>(sent.front()->event).idempotent;
}

} // namespace

CheckResult checkOwnWholeAnswer(const History &history, const CheckLimits &)
{
    CheckResult verdict{Invariant::OwnWholeAnswer, 0, {}, {}};
    const AnswerJudge judge(history);
    for (const auto &[call, sentRecords] : judge.records().sentByCall) {
        ++verdict.eventsChecked;
        judge.judgeCall(verdict, sentRecords);
    }
    for (const HistoryRecord &record : history.records) {
        if (const auto *began = std::get_if<UpstreamBegan>(&record.event))
            judge.judgeArrival(verdict, record, *began);
    }
    return verdict;
}

CheckResult checkNotRunNeverRan(const History &history, const CheckLimits &)
{
    CheckResult verdict{Invariant::NotRunNeverRan, 0, {}, {}};
    const CallIndex index(history);
    for (const HistoryRecord &record : history.records) {
        if (const auto *answered = std::get_if<CallerAnswered>(&record.event)) {
            if (answered->outcome == "not-run")
                judgeNotRun(verdict, record, "call " + answered->call,
                            CallIndex::find(index.beganByCall, answered->call));
        } else if (const auto *refused = std::get_if<GateRefused>(&record.event)) {
            judgeNotRun(verdict, record, "attempt " + refused->attempt,
                        CallIndex::find(index.beganByAttempt, {refused->call, refused->attempt}));
        } else if (const auto *finished = std::get_if<GateFinished>(&record.event)) {
            if (finished->outcome == "not-run")
                judgeNotRun(verdict, record, "attempt " + finished->attempt,
                            CallIndex::find(index.beganByAttempt, {finished->call, finished->attempt}));
        }
    }
    return verdict;
}

CheckResult checkAtMostOnce(const History &history, const CheckLimits &)
{
    CheckResult verdict{Invariant::AtMostOnce, 0, {}, {}};
    const CallIndex index(history);
    for (const auto &[attempt, began] : index.beganByAttempt) {
        if (began.size() > 1)
            verdict.violations.push_back({"attempt " + std::string(attempt.second) + " ran twice", began});
    }
    for (const auto &[key, began] : index.beganByKey) {
        const bool judged = std::any_of(began.begin(), began.end(), [&index](const HistoryRecord *record) {
            return isNonIdempotent(index, std::get<UpstreamBegan>(record->event).call);
        });
        if (!judged)
            continue;
        ++verdict.eventsChecked;
        if (began.size() > 1)
            verdict.violations.push_back({"key " + std::string(key) + " ran more than once", began});
    }
    for (const auto &[call, began] : index.beganByCall) {
        const bool keyless = std::get<UpstreamBegan>(began.front()->event).key.empty();
        if (!keyless || !isNonIdempotent(index, call))
            continue;
        ++verdict.eventsChecked;
        if (began.size() > 1)
            verdict.violations.push_back({"call " + std::string(call) + " ran more than once", began});
    }
    return verdict;
}

} // namespace Sagecrank
