// Indexes the events of a history by call, attempt and idempotency key, for the checkers that trace requests.
#pragma once

#include <LibHistory/History.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sagecrank {

// Call id and attempt id; attempt ids are unique only within their call.
using AttemptKey = std::pair<std::string_view, std::string_view>;

// Holds pointers into the history, which must outlive the index. Each list is ordered by time.
struct CallIndex
{
    using Records = std::vector<const HistoryRecord *>;

    explicit CallIndex(const History &history);

    // Returns an empty list when the key is not found.
    static const Records &find(const std::map<std::string_view, Records> &index, std::string_view key);
    static const Records &find(const std::map<AttemptKey, Records> &index, const AttemptKey &key);

    std::map<std::string_view, Records> sentByCall;
    std::map<std::string_view, Records> completedByCall; // Answered or lost.
    std::map<std::string_view, Records> beganByCall;
    std::map<std::string_view, Records> beganByKey; // Only attempts with an idempotency key.
    std::map<AttemptKey, Records> beganByAttempt;
    std::map<std::string_view, Records> endedByCall;
    std::map<AttemptKey, Records> endedByAttempt;
};

// The period during which the driver injected a fault into a process. A fault that never ended lasts until
// the end of the history.
struct FaultWindow
{
    std::string_view fault;
    std::string_view target;
    std::uint64_t began = 0;
    std::uint64_t ended = 0;
    const HistoryRecord *record = nullptr; // The record of its start.
};

std::vector<FaultWindow> faultWindows(const History &history);

} // namespace Sagecrank
