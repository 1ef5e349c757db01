// The entry point that outlives every node: a bounded set of introducers of each zone keeps a row in the
// platform's table, and a node that knows nobody reads it. Lives on the control thread.
//
// Load: 6,500 nodes, 1,100 restarts a day, and a table with several hundred writes a second. Three rows a
// zone, renewed about once a minute, and one row a zone for the mesh make two writes a second at 25 zones,
// whatever the number of nodes.
// A node writes a row once in half of the time after which it is renewed, however often it is its turn.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/IntroducerRounds.h>
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
    ControlIntroducers(boost::asio::io_context &context, std::string id, std::string zone,
                       std::string gossipAddress, TablePort table, IntroducerPace pace, IntroducerHooks hooks,
                       std::uint64_t seed);

    // Commands.
    void start();
    void stop();

    // Queries.
    const IntroducerCounters &counters() const { return this->counts; }

private:
    void later(Duration delay);
    void round();
    void writeWhenDue(Instant &writtenAt, const std::string &partition, const std::string &sort);
    void read(const std::string &partition);

    boost::asio::steady_timer timer;
    std::string id;
    std::string zone;
    std::string gossipAddress;
    TablePort table;
    const IntroducerPace pace;
    IntroducerHooks hooks;
    std::mt19937_64 random;
    IntroducerCounters counts;
    IntroducerRounds rounds;
    Instant zoneWrittenAt = Instant::min();
    Instant meshWrittenAt = Instant::min();
    bool stopped = false;
};

} // namespace Sagecrank
