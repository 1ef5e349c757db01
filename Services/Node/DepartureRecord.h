// What this node has confirmed about the leaving of the upstream beside it, kept where it outlives the
// process.
//
// Failure: an upstream says that it drains, the node confirms, and is killed. The next process knows nothing;
// an announcement of before the drain, held up on its way, says "ready". Symptom: calls reach an upstream
// that was promised to get none and ends in a moment. The confirmation therefore waits until a row names the
// start that leaves, and a new process reads that row before it believes a first "ready".
#pragma once

#include "UpstreamPresence.h"

#include <LibSource/Ports.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

// An upstream takes a confirmation that comes within a second. What is left goes to its way there and back.
inline constexpr Duration departureWait = Milliseconds(600);

// Between two reads of a table that does not answer: one in the time of an announcement.
inline constexpr Duration departureReadPause = std::chrono::seconds(1);

struct DepartureRecordHooks
{
    // Once, when the table has answered: the start whose leaving an earlier process of this node confirmed.
    std::function<void(const std::optional<Departure> &)> recalled;
    std::function<void(const Departure &)> kept;
    std::function<void(const Error &)> failed; // A read or a write; it is tried again.
};

// For one io_context that one thread runs. One row a node, written once a leaving upstream.
class DepartureRecord
{
public:
    DepartureRecord(boost::asio::io_context &context, TablePort table, std::string node,
                    DepartureRecordHooks hooks);

    void recall(); // Reads the row, until the table answers.

    // Writes the row. Saying the same again costs nothing unless the write before it has failed.
    void note(const Departure &departure);

    // Runs `confirm` when nothing noted is on its way any more, after `departureWait` at the latest: with the
    // table away, an upstream that gets no word would only go on asking.
    void whenKept(std::function<void()> confirm);

private:
    void write();
    void written(const Departure &departure, const Result<void> &result);
    void release();

    const TablePort table;
    const RowKey key;
    const DepartureRecordHooks hooks;
    boost::asio::steady_timer readTimer;
    boost::asio::steady_timer waitTimer;
    std::optional<Departure> noted;
    std::optional<Departure> keptNow; // What the row is known to say.
    bool writing = false;
    std::vector<std::function<void()>> waiting; // Not empty only while `writing`.
};

} // namespace Sagecrank
