// Builds the index of call events and the list of injected faults.
#include <LibHistory/CallIndex.h>

namespace Sagecrank {

namespace {

const CallIndex::Records noRecords;

template <typename Index, typename Key>
const CallIndex::Records &findIn(const Index &index, const Key &key)
{
    const auto found = index.find(key);
    return found == index.end() ? noRecords : found->second;
}

} // namespace

CallIndex::CallIndex(const History &history)
{
    for (const HistoryRecord &record : history.records) {
        if (const auto *sent = std::get_if<CallerSent>(&record.event)) {
            this->sentByCall[sent->call].push_back(&record);
        } else if (const auto *answered = std::get_if<CallerAnswered>(&record.event)) {
            this->completedByCall[answered->call].push_back(&record);
        } else if (const auto *lost = std::get_if<CallerLost>(&record.event)) {
            this->completedByCall[lost->call].push_back(&record);
        } else if (const auto *began = std::get_if<UpstreamBegan>(&record.event)) {
            this->beganByCall[began->call].push_back(&record);
            this->beganByAttempt[{began->call, began->attempt}].push_back(&record);
            if (!began->key.empty())
                this->beganByKey[began->key].push_back(&record);
        } else if (const auto *ended = std::get_if<UpstreamEnded>(&record.event)) {
            this->endedByCall[ended->call].push_back(&record);
            this->endedByAttempt[{ended->call, ended->attempt}].push_back(&record);
        }
    }
}

const CallIndex::Records &CallIndex::find(const std::map<std::string_view, Records> &index,
                                          std::string_view key)
{
    return findIn(index, key);
}

const CallIndex::Records &CallIndex::find(const std::map<AttemptKey, Records> &index, const AttemptKey &key)
{
    return findIn(index, key);
}

std::vector<FaultWindow> faultWindows(const History &history)
{
    std::vector<FaultWindow> windows;
    for (const HistoryRecord &record : history.records) {
        if (const auto *began = std::get_if<FaultBegan>(&record.event)) {
            windows.push_back({began->fault, began->target, record.time, history.endTime(), &record});
        } else if (const auto *ended = std::get_if<FaultEnded>(&record.event)) {
            for (FaultWindow &window : windows) {
                const bool open = window.ended == history.endTime();
                if (open && window.fault == ended->fault && window.target == ended->target)
                    window.ended = record.time;
            }
        }
    }
    return windows;
}

} // namespace Sagecrank
