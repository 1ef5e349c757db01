// A merged history: the events of all processes of a run, ordered by the clock that they share.
#pragma once

#include <LibCore/Error.h>
#include <LibHistory/HistoryEvents.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

struct HistoryRecord
{
    std::uint64_t time = 0; // CLOCK_MONOTONIC, nanoseconds.
    std::string process;
    std::uint64_t sequence = 0;
    std::size_t lifetime = 0; // Identifies one run of one process; unique in the whole history.
    HistoryEvent event;
};

struct History
{
    std::vector<HistoryRecord> records; // Ordered by time, and within a lifetime also by sequence.
    std::size_t lifetimes = 0;
    std::size_t truncatedLines = 0; // Incomplete last lines of processes that were killed.

    std::uint64_t endTime() const { return this->records.empty() ? 0 : this->records.back().time; }
};

// Appends the stream of one process, which may hold several lifetimes one after the other. An incomplete last
// line is skipped and counted. Malformed lines, unknown events, missing fields and gaps in the sequence are
// errors that name the stream and the line, since checking an incomplete history proves nothing.
Result<void> readHistoryStream(History &history, const std::string &streamName, std::string_view text);

// Sorts the records by time. Call it once after the last stream was read.
void sortHistory(History &history);

// Reads, merges and sorts the files.
Result<History> readHistoryFiles(const std::vector<std::string> &paths);

// Formats a record as one readable line: the milliseconds since `origin` and the recorded JSON line.
std::string describeRecord(const HistoryRecord &record, std::uint64_t origin);

} // namespace Sagecrank
