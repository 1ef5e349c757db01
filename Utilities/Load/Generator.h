// The load of one thread: starts calls at the scheduled instants, sends each on a free connection to its
// target, retries them by the rules of the protocol, and collects the statistics.
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
    // `index` is below `settings.threads`. All generators of a run start at the same instant.
    Generator(const LoadSettings &settings, unsigned index, HistoryRecorder &history);
    ~Generator();
    Generator(const Generator &) = delete;
    Generator &operator=(const Generator &) = delete;

    // Returns when every call has ended or timed out.
    void run(Instant start);
    const LoadStatistics &statistics() const { return this->results; }

private:
    struct Call
    {
        TrafficPath trafficPath = TrafficPath::ThroughNode;
        std::size_t kind = 0;
        std::size_t target = 0;  // Index into the targets of the traffic path.
        Instant intendedStart{}; // Of the first attempt; latency is measured from here.
        Instant sent{};          // Or the start of the wait for a connection.
        unsigned retriesLeft = 0;
        bool counted = false; // Scheduled to start after the warm-up.
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
        std::deque<std::size_t> waiting; // Calls that wait for a connection, oldest first.
    };

    struct Retry
    {
        Instant due;
        std::size_t call;
        bool operator>(const Retry &other) const { return this->due > other.due; }
    };

    void buildTargets(TrafficPath trafficPath, const std::vector<std::string> &addresses);
    void startDueCalls(Instant now);
    void startCall(Instant intendedStart);
    void startAttempt(std::size_t index);
    void assignConnection(std::size_t index);
    void sendOn(LoadConnection &connection, std::size_t index);
    void onResponse(Target &target, LoadConnection &connection, const Response &response);
    void onFailure(Target &target, LoadConnection &connection, const std::string &reason);
    void releaseConnection(Target &target, LoadConnection &connection);
    bool scheduleRetry(std::size_t index, FinalOutcome outcome, Milliseconds delay);
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
    WeightedChoice kindChoice;
    ZipfChoice numberChoice;
    std::vector<ZipfChoice> targetChoice;     // By TrafficPath.
    std::vector<std::vector<Target>> targets; // By TrafficPath; never resized once built.
    std::string body;
    std::string bodyDigest;
    std::vector<Call> calls; // Slots, which are reused.
    std::vector<std::size_t> freeCalls;
    std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries;
    std::size_t activeCalls = 0;
    std::uint64_t nextCallNumber = 0; // Part of call ids and idempotency keys.
    Instant start{};
    Instant nextDue{};
    Instant nextTimeoutCheck{};
    LoadStatistics results;
};

} // namespace Sagecrank
