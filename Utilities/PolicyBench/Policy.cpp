// Implements Policy.h. Ablations disable a mechanism by the settings or inputs of the gate or the load
// balancer, not by a switch in them.
#include <PolicyBench/Policy.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace Sagecrank {

namespace {

using namespace std::chrono_literals;

// Starts calls while slots are free, and queues the rest without a limit in order of arrival.
class FifoGate
{
public:
    GateDecision offer(Instant, const CallAttributes &, std::vector<GateAction> &)
    {
        if (!this->open)
            return GateDecision{GateVerdict::Refuse, 0, RefusalReason::NotReady, 1s};
        const Ticket ticket = this->nextTicket++;
        if (this->free() == 0) {
            this->queue.push_back(ticket);
            return GateDecision{GateVerdict::Queue, ticket, RefusalReason::None, Duration::zero()};
        }
        this->running.insert(ticket);
        return GateDecision{GateVerdict::Start, ticket, RefusalReason::None, Duration::zero()};
    }

    void finish(Ticket ticket, std::vector<GateAction> &actions)
    {
        this->running.erase(ticket);
        while (this->free() > 0 && !this->queue.empty()) {
            this->running.insert(this->queue.front());
            actions.push_back(GateAction{this->queue.front(), true, RefusalReason::None, Duration::zero()});
            this->queue.pop_front();
        }
    }

    void cancel(Ticket ticket) { std::erase(this->queue, ticket); }

    void setState(UpstreamCondition condition, std::uint32_t newSlots, std::vector<GateAction> &actions)
    {
        this->slots = newSlots;
        this->open = condition == UpstreamCondition::Ready || condition == UpstreamCondition::Warming;
        if (condition != UpstreamCondition::NotReady)
            return;
        for (const Ticket ticket : this->queue)
            actions.push_back(GateAction{ticket, false, RefusalReason::NotReady, 1s});
        this->queue.clear();
    }

    std::uint32_t free() const
    {
        return this->slots - std::min(this->slots, static_cast<std::uint32_t>(this->running.size()));
    }

    std::uint32_t queued() const { return static_cast<std::uint32_t>(this->queue.size()); }

private:
    bool open = false;
    std::uint32_t slots = 0;
    Ticket nextTicket = 1;
    std::set<Ticket> running;
    std::deque<Ticket> queue;
};

GateHooks fifoGate(std::uint64_t)
{
    const auto gate = std::make_shared<FifoGate>();
    GateHooks hooks;
    hooks.offer = [gate](Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions) {
        return gate->offer(now, attributes, actions);
    };
    hooks.finish = [gate](Instant, Ticket ticket, CallOutcome, std::vector<GateAction> &actions) {
        gate->finish(ticket, actions);
    };
    hooks.cancel = [gate](Instant, Ticket ticket, std::vector<GateAction> &) { gate->cancel(ticket); };
    hooks.advance = [](Instant, std::vector<GateAction> &) {};
    hooks.setState = [gate](Instant, UpstreamCondition condition, std::uint32_t slots,
                            std::vector<GateAction> &actions) { gate->setState(condition, slots, actions); };
    hooks.nextDeadline = [] { return std::optional<Instant>(); };
    hooks.freeSlots = [gate](Instant) { return gate->free(); };
    hooks.queued = [gate] { return gate->queued(); };
    return hooks;
}

GateHooks sagecrankGateWithStartBurst(std::uint64_t seed, Duration burst)
{
    GateSettings settings;
    settings.slots = 0;
    settings.jitterSeed = seed;
    settings.startBurst = burst;
    return makeAdmissionHooks(std::make_shared<Gate>(settings));
}

GateHooks sagecrankGateWithQueue(std::uint64_t seed, std::uint32_t maximumQueue)
{
    return makeAdmissionHooks(std::make_shared<Gate>(GateSettings{0, maximumQueue, seed}));
}

GateHooks sagecrankGate(std::uint64_t seed)
{
    return sagecrankGateWithQueue(seed, GateSettings{}.maximumQueue);
}

LoadBalancerHooks sagecrankLoadBalancer(std::uint64_t seed, LoadBalancerSettings settings)
{
    const auto random = std::make_shared<std::mt19937_64>(seed);
    const auto loadBalancer = std::make_shared<LoadBalancer>(settings, [random] { return (*random)(); });
    LoadBalancerHooks hooks;
    hooks.pick = [loadBalancer](Instant now, std::span<const UpstreamCandidate> candidates,
                                CallClass callClass, std::span<const std::size_t> tried) {
        return loadBalancer->pick(now, candidates, callClass, tried);
    };
    hooks.recordStart = [loadBalancer](std::string_view id, Instant now) {
        loadBalancer->recordStart(id, now);
    };
    hooks.recordEnd = [loadBalancer](std::string_view id, Instant now, CallClass callClass, Duration took,
                                     AttemptOutcome end) {
        loadBalancer->recordEnd(id, now, callClass, took, end);
    };
    hooks.recordReportedLoad = [loadBalancer](std::string_view id, Instant now, std::uint32_t freeSlots,
                                              std::uint32_t queued, bool draining) {
        loadBalancer->recordReportedLoad(id, now, {freeSlots, queued, draining});
    };
    return hooks;
}

bool eligible(const UpstreamCandidate &candidate, std::span<const std::size_t> tried, std::size_t index)
{
    const bool acceptsCalls =
        candidate.condition == UpstreamCondition::Ready || candidate.condition == UpstreamCondition::Warming;
    return acceptsCalls && std::find(tried.begin(), tried.end(), index) == tried.end();
}

LoadBalancerHooks statelessHooks()
{
    LoadBalancerHooks hooks;
    hooks.recordStart = [](std::string_view, Instant) {};
    hooks.recordEnd = [](std::string_view, Instant, CallClass, Duration, AttemptOutcome) {};
    hooks.recordReportedLoad = [](std::string_view, Instant, std::uint32_t, std::uint32_t, bool) {};
    return hooks;
}

LoadBalancerHooks roundRobinLoadBalancer(std::uint64_t seed)
{
    LoadBalancerHooks hooks = statelessHooks();
    const auto next = std::make_shared<std::size_t>(seed % 97);
    hooks.pick = [next](Instant, std::span<const UpstreamCandidate> candidates, CallClass,
                        std::span<const std::size_t> tried) -> std::optional<std::size_t> {
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = (*next)++ % candidates.size();
            if (eligible(candidates[index], tried, index))
                return index;
        }
        return std::nullopt;
    };
    return hooks;
}

LoadBalancerHooks leastOutstandingLoadBalancer(std::uint64_t seed)
{
    LoadBalancerHooks hooks = statelessHooks();
    const auto counts = std::make_shared<std::map<std::string, int, std::less<>>>();
    const auto random = std::make_shared<std::mt19937_64>(seed);
    hooks.recordStart = [counts](std::string_view id, Instant) { (*counts)[std::string(id)] += 1; };
    hooks.recordEnd = [counts](std::string_view id, Instant, CallClass, Duration, AttemptOutcome) {
        (*counts)[std::string(id)] -= 1;
    };
    hooks.pick = [counts, random](Instant, std::span<const UpstreamCandidate> candidates, CallClass,
                                  std::span<const std::size_t> tried) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        int fewest = std::numeric_limits<int>::max();
        const std::size_t start = (*random)() % candidates.size(); // Breaks ties at random.
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = (start + step) % candidates.size();
            const int count = (*counts)[std::string(candidates[index].id)];
            if (!eligible(candidates[index], tried, index) || count >= fewest)
                continue;
            fewest = count;
            best = index;
        }
        return best;
    };
    return hooks;
}

Policy ablation(std::string name, LoadBalancerSettings settings)
{
    Policy policy = sagecrankPolicy();
    policy.name = std::move(name);
    policy.makeLoadBalancer = [settings](std::uint64_t seed) {
        return sagecrankLoadBalancer(seed, settings);
    };
    return policy;
}

// Passes a deadline to the gate that is never missed.
GateHooks withoutDeadlines(std::uint64_t seed)
{
    GateHooks hooks = sagecrankGate(seed);
    const auto offer = hooks.offer;
    hooks.offer = [offer](Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions) {
        return offer(now, CallAttributes{attributes.callClass, now + 1h}, actions);
    };
    return hooks;
}

// Passes every call to the gate as interactive.
GateHooks withoutClasses(std::uint64_t seed)
{
    GateHooks hooks = sagecrankGate(seed);
    const auto offer = hooks.offer;
    hooks.offer = [offer](Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions) {
        return offer(now, CallAttributes{CallClass::Interactive, attributes.deadline}, actions);
    };
    return hooks;
}

// Hides from the gate that the upstream sheds load.
GateHooks withoutAdaptiveLimit(std::uint64_t seed)
{
    GateHooks hooks = sagecrankGate(seed);
    const auto finish = hooks.finish;
    hooks.finish = [finish](Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions) {
        finish(now, ticket, end == CallOutcome::Shed ? CallOutcome::Failed : end, actions);
    };
    return hooks;
}

// Gives every refused caller the same retry delay.
GateHooks withFixedRetryDelay(std::uint64_t seed)
{
    static constexpr Duration fixedRetryDelay = 100ms;
    GateHooks hooks = sagecrankGate(seed);
    const auto offer = hooks.offer;
    hooks.offer = [offer](Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions) {
        GateDecision decision = offer(now, attributes, actions);
        if (decision.verdict == GateVerdict::Refuse)
            decision.retryAfter = fixedRetryDelay;
        return decision;
    };
    return hooks;
}

// Refuses a call that would have to wait for the start limit.
GateHooks withoutWaitForLimit(std::uint64_t seed)
{
    GateHooks hooks = sagecrankGate(seed);
    const auto limited = std::make_shared<bool>(false);
    const auto setStartLimit = hooks.setStartLimit;
    hooks.setStartLimit = [setStartLimit, limited](Instant now, std::optional<double> callsPerSecond,
                                                   std::vector<GateAction> &actions) {
        *limited = callsPerSecond.has_value();
        setStartLimit(now, callsPerSecond, actions);
    };
    const auto offer = hooks.offer;
    hooks.offer = [offer, limited, freeSlots = hooks.freeSlots](Instant now, const CallAttributes &attributes,
                                                                std::vector<GateAction> &actions) {
        if (*limited && freeSlots(now) == 0)
            return GateDecision{GateVerdict::Refuse, 0, RefusalReason::QueueFull, 50ms};
        return offer(now, attributes, actions);
    };
    return hooks;
}

Policy ablation(std::string name, std::function<GateHooks(std::uint64_t)> makeGate)
{
    Policy policy = sagecrankPolicy();
    policy.name = std::move(name);
    policy.makeGate = std::move(makeGate);
    return policy;
}

// Changes the maximum queue length.
Policy ablationWithQueue(std::uint32_t length)
{
    return ablation("queue-" + std::to_string(length),
                    [length](std::uint64_t seed) { return sagecrankGateWithQueue(seed, length); });
}

} // namespace

Policy roundRobinPolicy()
{
    return Policy{"round-robin", fifoGate, roundRobinLoadBalancer, false, false};
}

Policy leastOutstandingPolicy()
{
    return Policy{"least-outstanding", fifoGate, leastOutstandingLoadBalancer, false, false};
}

Policy sagecrankPolicy()
{
    return Policy{"sagecrank", sagecrankGate,
                  [](std::uint64_t seed) { return sagecrankLoadBalancer(seed, LoadBalancerSettings{}); },
                  true};
}

std::vector<Policy> ablationPolicies()
{
    std::vector<Policy> policies;
    LoadBalancerSettings settings;
    settings.maximumEjectedShare = 0;
    policies.push_back(ablation("no-ejection", settings));

    for (const std::size_t choices : {1, 4, 16}) {
        settings = LoadBalancerSettings{};
        settings.choices = choices;
        policies.push_back(ablation("choices-" + std::to_string(choices), settings));
    }

    settings = LoadBalancerSettings{};
    settings.reportedLoadDecay = 1ns;
    policies.push_back(ablation("no-told-load", settings));

    settings = LoadBalancerSettings{};
    settings.crossZoneCost = Duration::zero();
    policies.push_back(ablation("no-zone-cost", settings));

    Policy noLoadBalancer = sagecrankPolicy();
    noLoadBalancer.name = "no-placer";
    noLoadBalancer.makeLoadBalancer = roundRobinLoadBalancer;
    policies.push_back(noLoadBalancer);

    policies.push_back(ablation("no-deadlines", withoutDeadlines));
    policies.push_back(ablation("no-classes", withoutClasses));
    policies.push_back(ablation("no-adaptive-limit", withoutAdaptiveLimit));
    policies.push_back(ablation("fixed-return", withFixedRetryDelay));
    for (const std::uint32_t length : {64U, 96U, 128U})
        policies.push_back(ablationWithQueue(length));

    policies.push_back(
        ablation("limit-burst-1", [](std::uint64_t seed) { return sagecrankGateWithStartBurst(seed, 0ms); }));
    policies.push_back(
        ablation("limit-burst-1s", [](std::uint64_t seed) { return sagecrankGateWithStartBurst(seed, 1s); }));
    policies.push_back(ablation("limit-refuses", withoutWaitForLimit));

    Policy hedged = sagecrankPolicy();
    hedged.name = "hedges";
    hedged.hedgesCalls = true;
    policies.push_back(hedged);

    Policy noRetryBudget = sagecrankPolicy();
    noRetryBudget.name = "no-retry-budget";
    noRetryBudget.limitsRetries = false;
    policies.push_back(noRetryBudget);
    return policies;
}

} // namespace Sagecrank
