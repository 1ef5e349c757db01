// A discrete-event simulation of one user's fleet: callers, nodes, and upstreams with their gates, with
// simulated time and without sockets. It uses only the interfaces of LibDecide. Messages arrive after the
// latency of their path and are lost only by a fault.
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

    // Runs the scenario to its end. Deterministic for the same arguments.
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

    // A request of a caller, which may make several attempts.
    struct CallerRequest
    {
        std::uint32_t service;
        CallClass callClass;
        Duration work;
        std::uint64_t number;
        bool counted; // After the warm-up, in which estimates are still inaccurate.
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
    std::mt19937_64 arrivals; // Independent of the policy, so that all policies get the same callers.
    std::vector<Host> hosts;
    std::uint64_t requestCount = 0;
    std::uint64_t finishedAttempts = 0;
    std::uint64_t startedAttempts = 0;
};

} // namespace Sagecrank
