// One thread's part of a run: starts calls at the scheduled instants, puts each on a free connection to its
// target, retries as a polite caller does, and counts.
#pragma once

#include <Load/LoadConnection.h>
#include <Load/LoadStatistics.h>
#include <Load/Settings.h>

#include <LibHistory/HistoryRecorder.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

class Generator
{
public:
    // `index` of `settings.threads`; all start at the same instant.
    Generator(const LoadSettings &settings, unsigned index, HistoryRecorder &history);
    ~Generator();
    Generator(const Generator &) = delete;
    Generator &operator=(const Generator &) = delete;

    // Returns when every call has ended or was given up on.
    void run(Instant start);
    const LoadStatistics &statistics() const { return this->results; }

private:
    struct Call
    {
        TrafficPath trafficPath = TrafficPath::ThroughNode;
        std::size_t kind = 0;
        std::size_t target = 0; // Index into the way's targets.
        Instant intended{};     // Of the first attempt; latency counts from here.
        Instant sent{};         // Or since when it waits for a connection.
        unsigned retriesLeft = 0;
        bool counted = false; // Meant to start after the warm-up.
        bool active = false;
        std::string path;
        std::string callId;
        std::string key;
    };

    struct Target
    {
        boost::asio::ip::tcp::endpoint endpoint;
        std::string address;
        std::vector<std::shared_ptr<LoadConnection>> connections;
        std::vector<LoadConnection *> idle;
        std::deque<std::size_t> waiting; // Calls without a connection, oldest first.
    };

    struct Retry
    {
        Instant due;
        std::size_t call;
        bool operator>(const Retry &other) const { return this->due > other.due; }
    };

    void buildTargets(TrafficPath trafficPath, const std::vector<std::string> &addresses);
    void startDueCalls(Instant now);
    void startCall(Instant intended);
    void startAttempt(std::size_t index);
    void assignConnection(std::size_t index);
    void sendOn(LoadConnection &connection, std::size_t index);
    void onResponse(Target &target, LoadConnection &connection, const Response &response);
    void onFailure(Target &target, LoadConnection &connection, const std::string &reason);
    void releaseConnection(Target &target, LoadConnection &connection);
    bool scheduleRetry(std::size_t index, FinalOutcome outcome, Milliseconds after);
    void finish(std::size_t index, FinalOutcome outcome, const std::string &reason, bool replayed);
    void startDueRetries(Instant now);
    void failOverdueCalls(Instant now);
    void waitForNextEvent(Instant now);
    bool matchesCall(const Call &call, const Response &response) const;
    void recordSent(const Call &call, const std::string &address);
    void recordResponse(const Call &call, const Response &response);
    Target &targetOf(const Call &call);

    const LoadSettings &settings;
    const unsigned index;
    HistoryRecorder &history;
    boost::asio::io_context context{1};
    boost::asio::steady_timer timer;
    std::mt19937_64 random;
    ArrivalSchedule schedule;
    WeightedChoice kinds;
    ZipfChoice numbers;
    std::vector<ZipfChoice> targetChoice;     // By TrafficPath; empty when the way is not used.
    std::vector<std::vector<Target>> targets; // By TrafficPath; never resized once built.
    std::string body;
    std::string bodyDigest;
    std::vector<Call> calls; // Slots, used again.
    std::vector<std::size_t> freeCalls;
    std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries;
    std::size_t active = 0;
    std::uint64_t numbered = 0; // Call ids given out.
    Instant start{};
    Instant nextDue{};
    Instant nextSweep{};
    LoadStatistics results;
};

} // namespace Sagecrank
