// Simulates a caller that runs one operation after the other: a lookup, a booking without an idempotency key,
// or a booking with a key. A keyed booking is retried through random nodes until it is known to be done, and
// is sometimes sent twice at once. Every request and response is recorded in the history.
#pragma once

#include <LibCore/Time.h>
#include <LibHistory/HistoryRecorder.h>
#include <LibNet/HttpClient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

struct SimulatedCallerSettings
{
    std::vector<std::string> nodes; // "ip:port" of the ports for callers.
    std::string name;
    double keyedShare = 0.5;
    double keylessShare = 0.1;       // Bookings without a key; the rest are lookups.
    double duplicateShare = 0.1;     // Of keyed bookings: sent twice at once.
    double resendShare = 0.1;        // Of done keyed bookings: sent again, like a user who returns.
    double shortDeadlineShare = 0.3; // Of calls: have the short deadline.
    Milliseconds shortDeadline{400};
    Milliseconds longDeadline{2000};
    Milliseconds responseTimeout{10000};     // A call without a response for this long is recorded as lost.
    Milliseconds maximumPause{20};           // Between two operations of one caller.
    std::vector<std::string> bookingTargets; // One is picked at random for each booking; never empty.
    std::vector<std::string> lookupTargets;  // The same for lookups.
};

struct Operation
{
    std::string key; // Empty for operations without a key.
    std::string method;
    std::string target;
    std::string body;
    bool idempotent = false;
    std::uint32_t sendCount = 0;
};

class SimulatedCaller : public std::enable_shared_from_this<SimulatedCaller>
{
public:
    SimulatedCaller(boost::asio::io_context &context, HttpClient &client, HistoryRecorder &history,
                    const SimulatedCallerSettings &settings, std::uint32_t number, std::uint64_t seed);

    // Starts operations and decides on retries until `end`; calls that are in flight then still complete.
    void start(Instant end);

private:
    void startNextOperation();
    void pause(Duration time, void (SimulatedCaller::*then)());
    void send();
    void callEnded(bool done, Duration retryAfter);
    bool shouldSendAgain();
    void sendAgain();
    bool drawWithProbability(double probability);
    const std::string &pickRandom(const std::vector<std::string> &choices);

    boost::asio::steady_timer timer;
    HttpClient &client;
    HistoryRecorder &history;
    const SimulatedCallerSettings &settings;
    const std::string prefix; // Of the call ids and keys of this caller.
    std::mt19937_64 random;
    Instant end;
    Operation operation;
    std::uint64_t operationCount = 0;
    std::uint64_t callCount = 0;
    std::uint32_t callsInFlight = 0; // Of the current operation: at most two, when it was sent twice.
    bool operationDone = false;
    Duration retryDelay{};
};

} // namespace Sagecrank
