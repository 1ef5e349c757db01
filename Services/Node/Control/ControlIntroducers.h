// Bootstraps membership through the platform's table: a bounded number of introducers in each zone keep a
// row with their gossip address, and a node that knows no other node reads these rows. Used on the control
// thread only.
//
// A start costs one read of a few rows for each zone; their number does not grow with the fleet. A node
// writes its row at most once in half of `introducerRenewalInterval`.
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
    std::function<std::uint32_t()> rank; // Among the zone's members, as an introducer.
    std::function<bool()> knowsOthers;
    std::function<void(const std::vector<std::string> &addresses, bool ownZone)> found;
    std::function<void()> isIntroducer; // A row names this node, or it writes one. May be empty.
};

class ControlIntroducers
{
public:
    ControlIntroducers(boost::asio::io_context &context, std::string zone, std::string gossipAddress,
                       TablePort table, IntroducerTiming timing, IntroducerHooks hooks, std::uint64_t seed);

    // Commands.
    void start();
    void stop();
    void rewriteRow(); // The table was restored from an older copy and may have lost the row of this node.

    // Queries.
    const IntroducerCounters &counters() const { return this->counts; }

private:
    void scheduleRound(Duration delay);
    void round();
    void writeIfDue(std::uint32_t place);
    void write(std::uint32_t place);
    void read(const IntroducerRound &round);
    void processRows(const IntroducerRound &round, const std::vector<Row> &rows);
    std::uint32_t pickRandom(const std::vector<std::uint32_t> &places);

    boost::asio::steady_timer timer;
    std::string zone;
    std::string gossipAddress;
    TablePort table;
    const IntroducerTiming timing;
    IntroducerHooks hooks;
    std::mt19937_64 random;
    IntroducerCounters counts;
    IntroducerSchedule schedule;
    Instant writtenAt = Instant::min(); // The row of this node.
    bool rewritePending = false;        // The row may be lost and has not been rewritten yet.
    bool stopped = false;
};

} // namespace Sagecrank
