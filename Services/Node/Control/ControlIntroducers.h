// The entry point that outlives every node: a bounded set of introducers of each zone keeps a row in the
// platform's table, and a node that knows nobody reads it. Lives on the control thread.
//
// A start costs a node one read of a few rows a zone, whose number does not grow with the fleet.
// A node writes its row once in half of the time after which it is renewed, however often it is its turn.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/IntroducerSchedule.h>
#include <LibSource/Ports.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

struct IntroducerCounters
{
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t failures = 0;
};

struct IntroducerHooks
{
    std::function<std::uint32_t()> rank; // Among the zone's members, for this role.
    std::function<bool()> knowsOthers;
    std::function<void(const std::vector<std::string> &addresses, bool ownZone)> found;
};

class ControlIntroducers
{
public:
    ControlIntroducers(boost::asio::io_context &context, std::string zone, std::string gossipAddress,
                       TablePort table, IntroducerTiming pace, IntroducerHooks hooks, std::uint64_t seed);

    // Commands.
    void start();
    void stop();
    void rewriteRow(); // The table has come back from an older copy, and the node's row may be lost.

    // Queries.
    const IntroducerCounters &counters() const { return this->counts; }

private:
    void later(Duration delay);
    void round();
    void writeWhenDue(std::uint32_t place);
    void write(std::uint32_t place);
    void read(const IntroducerRound &round);
    void take(const IntroducerRound &round, const std::vector<Row> &rows);
    std::uint32_t anyOf(const std::vector<std::uint32_t> &places);

    boost::asio::steady_timer timer;
    std::string zone;
    std::string gossipAddress;
    TablePort table;
    const IntroducerTiming pace;
    IntroducerHooks hooks;
    std::mt19937_64 random;
    IntroducerCounters counts;
    IntroducerSchedule rounds;
    Instant writtenAt = Instant::min(); // The node's own row.
    bool owed = false;                  // The row may be lost and has not been written again.
    bool stopped = false;
};

} // namespace Sagecrank
