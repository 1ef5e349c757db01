// A merged history: the events of every process of a run in the order of the one clock they share.
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
    std::size_t lifetime = 0; // Unique to one process from its start to its end, across the whole history.
    HistoryEvent event;
};

struct History
{
    std::vector<HistoryRecord> records; // Ordered by time; those of one lifetime also by sequence.
    std::size_t lifetimes = 0;
    std::size_t truncatedLines = 0; // Last lines that a killed process left unfinished.

    std::uint64_t endTime() const { return this->records.empty() ? 0 : this->records.back().time; }
};

// Adds one process's stream to the history. A stream may hold several lifetimes, one after the other. An
// unfinished last line is left out and counted; any other damage, an unknown event, a missing field and a gap
// in the sequence are errors that name the stream and the line, since a check over a history with holes
// proves nothing.
Result<void> readHistoryStream(History &history, const std::string &streamName, std::string_view text);

// Puts the records in order; to be called once after the last stream.
void sortHistory(History &history);

// Reads and merges the named files.
Result<History> readHistoryFiles(const std::vector<std::string> &paths);

// One line for a person: time in milliseconds since `origin`, process and the event as it was written.
std::string describeRecord(const HistoryRecord &record, std::uint64_t origin);

} // namespace Sagecrank
