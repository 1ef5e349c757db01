// Measures the load balancer and the gate over several rounds, and prints the fastest and the median round,
// since other processes may disturb single rounds.
#include <PolicyBench/Cost.h>

#include <LibDecide/Gate.h>
#include <LibDecide/LoadBalancer.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr int rounds = 15;
constexpr int callsPerRound = 100'000;

// `call` gets the number of the call.
void printCost(std::ostream &out, const char *name, const std::function<void(int)> &call)
{
    std::vector<double> costs;
    for (int round = 0; round < rounds; ++round) {
        const auto start = SteadyClock::now();
        for (int index = 0; index < callsPerRound; ++index)
            call(round * callsPerRound + index);
        const std::chrono::duration<double, std::nano> elapsed = SteadyClock::now() - start;
        costs.push_back(elapsed.count() / callsPerRound);
    }
    std::sort(costs.begin(), costs.end());
    out << "| " << name << " | " << static_cast<int>(costs.front()) << " | "
        << static_cast<int>(costs[costs.size() / 2]) << " |\n";
}

void printLoadBalancerCost(std::ostream &out, const char *name, std::size_t count)
{
    std::vector<std::string> ids;
    for (std::size_t index = 0; index < count; ++index)
        ids.push_back("upstream-host-" + std::to_string(index));
    std::vector<UpstreamCandidate> candidates;
    for (std::size_t index = 0; index < count; ++index)
        candidates.push_back(
            UpstreamCandidate{ids[index], index % 4 == 0, false, UpstreamCondition::Ready, 6});
    LoadBalancer loadBalancer(LoadBalancerSettings{},
                              [random = std::mt19937_64(1)]() mutable { return random(); });
    for (const std::string &id : ids)
        loadBalancer.recordReportedLoad(id, Instant{}, {3, 0, false});
    std::array<std::size_t, 1> picked{};
    printCost(out, name, [&](int number) {
        const Instant now = Instant{} + number * 10us;
        const auto index = loadBalancer.pick(now, candidates, CallClass::Interactive, {});
        picked[0] = *index;
        loadBalancer.recordStart(candidates[*index].id, now);
        loadBalancer.recordEnd(candidates[*index].id, now + 1ms, CallClass::Interactive, 1ms,
                               AttemptOutcome::Succeeded);
        loadBalancer.recordReportedLoad(candidates[*index].id, now + 1ms, {3, 0, false});
    });
    printCost(out, (std::string(name) + ", place() alone").c_str(), [&](int number) {
        picked[0] = *loadBalancer.pick(Instant{} + number * 10us, candidates, CallClass::Interactive, {});
    });
}

} // namespace

void printCosts(std::ostream &out)
{
    out << "| decision | quickest ns | median ns |\n| --- | ---: | ---: |\n";
    printLoadBalancerCost(out, "place, started, ended, told; 16 candidates", 16);
    printLoadBalancerCost(out, "place, started, ended, told; 60 candidates", 60);

    Gate gate(GateSettings{});
    std::vector<GateAction> actions;
    gate.setState(Instant{}, UpstreamCondition::Ready, 6, actions);
    printCost(out, "gate offer and finish, free slot", [&](int number) {
        const Instant now = Instant{} + number * 1ms;
        actions.clear();
        const GateDecision decision =
            gate.offer(now, CallAttributes{CallClass::Interactive, now + 1s}, actions);
        gate.finish(now + 500us, decision.ticket, CallOutcome::Succeeded, actions);
    });

    std::vector<Ticket> running;
    const Instant full = Instant{} + 1h * 24;
    while (gate.queued() < 100) {
        const GateDecision decision =
            gate.offer(full, CallAttributes{CallClass::Interactive, full + 24h}, actions);
        if (decision.verdict == GateVerdict::Start)
            running.push_back(decision.ticket);
    }
    printCost(out, "gate offer and finish, 100 queued", [&](int number) {
        const Instant now = full + number * 10us;
        actions.clear();
        gate.offer(now, CallAttributes{CallClass::Interactive, now + 24h}, actions);
        gate.finish(now, running[number % running.size()], CallOutcome::Succeeded, actions);
        running[number % running.size()] = actions.front().ticket;
    });
    printCost(out, "gate nextDeadline, 100 queued",
              [&](int) { running.reserve(gate.nextDeadline() ? 1 : 0); });
}

} // namespace Sagecrank
