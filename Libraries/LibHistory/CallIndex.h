// Finds the events of one call, attempt or key in a history, for the checkers that follow requests.
#pragma once

#include <LibHistory/History.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sagecrank {

// Call id and attempt id; attempts are only unique within their call.
using AttemptKey = std::pair<std::string_view, std::string_view>;

// Views into the history, which must outlive the index. Lists are in order of time.
struct CallIndex
{
    using Records = std::vector<const HistoryRecord *>;

    explicit CallIndex(const History &history);

    // An empty list when there is nothing under the key.
    static const Records &find(const std::map<std::string_view, Records> &index, std::string_view key);
    static const Records &find(const std::map<AttemptKey, Records> &index, const AttemptKey &key);

    std::map<std::string_view, Records> sentByCall;
    std::map<std::string_view, Records> completedByCall; // Answered or lost.
    std::map<std::string_view, Records> beganByCall;
    std::map<std::string_view, Records> beganByKey; // Only attempts that carried a key.
    std::map<AttemptKey, Records> beganByAttempt;
    std::map<std::string_view, Records> endedByCall;
    std::map<AttemptKey, Records> endedByAttempt;
};

// From the time that the driver disturbed a process until it stopped doing so, or the end of the history.
struct FaultWindow
{
    std::string_view fault;
    std::string_view target;
    std::uint64_t began = 0;
    std::uint64_t ended = 0;
    const HistoryRecord *record = nullptr; // Where it began.
};

std::vector<FaultWindow> faultWindows(const History &history);

} // namespace Sagecrank
