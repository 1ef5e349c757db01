// One caller after the other as people and their apps behave: a lookup, a booking without a key, or a booking
// with a key that is sent again through another node until it is known to be done, and now and then sent
// twice at once. Everything it does and sees goes into the history.
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
    std::vector<std::string> nodes; // "ip:port" of callers' ports.
    std::string name;
    double keyedShare = 0.5;
    double keylessShare = 0.1; // Bookings without a key; the rest are lookups.
    double doubleShare = 0.1;  // Of keyed bookings: sent twice at the same moment.
    double repeatShare =
        0.1; // Of keyed bookings that are done: sent once more, as by a person who came back.
    double deadlineShare = 0.3; // Of calls: have the shorter of the two deadlines.
    Milliseconds deadline{400};
    Milliseconds longDeadline{2000};
    Milliseconds patience{10000};           // Without any answer for so long, a call is given up as lost.
    Milliseconds longestPause{20};          // Between two errands of one visitor.
    std::vector<std::string> bookTargets;   // One is drawn for each booking; never empty.
    std::vector<std::string> lookupTargets; // The same for lookups.
};

struct Booking
{
    std::string key; // Empty for one without a key.
    std::string method;
    std::string target;
    std::string body;
    bool idempotent = false;
    std::uint32_t sendings = 0;
};

class SimulatedCaller : public std::enable_shared_from_this<SimulatedCaller>
{
public:
    SimulatedCaller(boost::asio::io_context &context, HttpClient &client, HistoryRecorder &history,
                    const SimulatedCallerSettings &settings, std::uint32_t number, std::uint64_t seed);

    // Goes on with one errand after the other until `end`, and finishes the one under way.
    void start(Instant end);

private:
    void nextErrand();
    void pause(Duration time, void (SimulatedCaller::*then)());
    void send();
    void closed(bool settled, Duration comeBack);
    bool wantsAgain();
    void sendAgain();
    bool draw(double share);
    const std::string &drawOne(const std::vector<std::string> &choices);

    boost::asio::steady_timer timer;
    HttpClient &client;
    HistoryRecorder &history;
    const SimulatedCallerSettings &settings;
    const std::string prefix; // Of this visitor's call ids and keys.
    std::mt19937_64 random;
    Instant end;
    Booking errand;
    std::uint64_t errands = 0;
    std::uint64_t calls = 0;
    std::uint32_t openCalls = 0; // Of the errand: one, or two when it was sent twice.
    bool errandSettled = false;
    Duration waitBeforeAgain{};
};

} // namespace Sagecrank
