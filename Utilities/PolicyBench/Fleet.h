// A small discrete-event fake of one user's fleet: callers, nodes, and upstreams with their gates, with time
// that is passed in and no sockets. It stands at the decisions' interfaces only; messages take their way and
// are never lost unless a fault says so.
#pragma once

#include <PolicyBench/CallerConnections.h>
#include <PolicyBench/FakeNode.h>
#include <PolicyBench/FakeUpstream.h>
#include <PolicyBench/Outcome.h>
#include <PolicyBench/Policy.h>
#include <PolicyBench/Scenario.h>
#include <PolicyBench/Timeline.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

class FakeFleet
{
public:
    FakeFleet(const FleetShape &shape, const Scenario &scenario, const Policy &policy, std::uint64_t seed);

    // Runs the scenario to its end. The same arguments give the same outcome.
    Outcome run();

private:
    struct Host
    {
        std::uint32_t service;
        std::uint32_t zone;
        std::string id;
        std::unique_ptr<FakeUpstream> upstream;
        std::unique_ptr<FakeNode> node;
        std::unique_ptr<CallerConnections> connections;
    };

    // What a caller wants; it may attempt it more than once.
    struct CallerRequest
    {
        std::uint32_t service;
        CallClass callClass;
        Duration work;
        std::uint64_t number;
        bool counted; // Not of the first moments, in which estimates are still guesses.
        std::uint32_t attempt = 0;
        Instant sentAt;
    };

    void build(const Policy &policy, std::uint64_t seed);
    void connect(Host &from, std::size_t to);
    void scheduleArrival(std::uint32_t service);
    double arrivalsPerSecond(std::uint32_t service) const;
    CallerRequest drawRequest(std::uint32_t service);
    void startAttempt(CallerRequest request);
    void send(Host &entry, const CallerRequest &request, const std::shared_ptr<Call> &call);
    void finishAttempt(CallerRequest request, const Response &response);
    void count(const CallerRequest &request, const Response &response, Duration took);
    std::size_t entryHostFor(const CallerRequest &request) const;

    FleetShape shape;
    Scenario scenario;
    Timeline timeline;
    Outcome outcome;
    std::mt19937_64 arrivals; // Independent of the policy, so that all policies meet the same callers.
    std::vector<Host> hosts;
    std::uint64_t requestCount = 0;
    std::uint64_t finishedAttempts = 0;
    std::uint64_t startedAttempts = 0;
};

} // namespace Sagecrank
