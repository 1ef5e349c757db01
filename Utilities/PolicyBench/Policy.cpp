// Policies as hooks. A mechanism of ours is taken out by what the gate or load balancer is told, not by a
// switch in it.
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

// Starts what fits into the slots and queues the rest for ever, in order of arrival.
class PlainGate
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

GateHooks plainGate(std::uint64_t)
{
    const auto gate = std::make_shared<PlainGate>();
    GateHooks hooks;
    hooks.offer = [gate](Instant now, const CallAttributes &facts, std::vector<GateAction> &actions) {
        return gate->offer(now, facts, actions);
    };
    hooks.finish = [gate](Instant, Ticket ticket, CallOutcome, std::vector<GateAction> &actions) {
        gate->finish(ticket, actions);
    };
    hooks.cancel = [gate](Instant, Ticket ticket, std::vector<GateAction> &) { gate->cancel(ticket); };
    hooks.advance = [](Instant, std::vector<GateAction> &) {};
    hooks.setState = [gate](Instant, UpstreamCondition condition, std::uint32_t slots,
                            std::vector<GateAction> &actions) { gate->setState(condition, slots, actions); };
    hooks.nextDeadline = [] { return std::optional<Instant>(); };
    hooks.freeSlots = [gate] { return gate->free(); };
    hooks.queued = [gate] { return gate->queued(); };
    return hooks;
}

GateHooks ourGateWith(std::uint64_t seed, std::uint32_t maximumQueue)
{
    return makeAdmissionHooks(std::make_shared<Gate>(GateSettings{0, maximumQueue, seed}));
}

GateHooks ourGate(std::uint64_t seed)
{
    return ourGateWith(seed, GateSettings{}.maximumQueue);
}

PlacerHooks ourPlacer(std::uint64_t seed, LoadBalancerSettings settings)
{
    const auto numbers = std::make_shared<std::mt19937_64>(seed);
    const auto placer = std::make_shared<LoadBalancer>(settings, [numbers] { return (*numbers)(); });
    PlacerHooks hooks;
    hooks.place = [placer](Instant now, std::span<const UpstreamCandidate> candidates, CallClass callClass,
                           std::span<const std::size_t> tried) {
        return placer->pick(now, candidates, callClass, tried);
    };
    hooks.started = [placer](std::string_view id, Instant now) { placer->recordStart(id, now); };
    hooks.ended = [placer](std::string_view id, Instant now, CallClass callClass, Duration took,
                           AttemptOutcome end) { placer->recordEnd(id, now, callClass, took, end); };
    hooks.told = [placer](std::string_view id, Instant now, std::uint32_t freeSlots, std::uint32_t queued,
                          bool draining) {
        placer->recordReportedLoad(id, now, {freeSlots, queued, draining});
    };
    return hooks;
}

bool eligible(const UpstreamCandidate &facts, std::span<const std::size_t> tried, std::size_t index)
{
    const bool takes =
        facts.condition == UpstreamCondition::Ready || facts.condition == UpstreamCondition::Warming;
    return takes && std::find(tried.begin(), tried.end(), index) == tried.end();
}

PlacerHooks quietHooks()
{
    PlacerHooks hooks;
    hooks.started = [](std::string_view, Instant) {};
    hooks.ended = [](std::string_view, Instant, CallClass, Duration, AttemptOutcome) {};
    hooks.told = [](std::string_view, Instant, std::uint32_t, std::uint32_t, bool) {};
    return hooks;
}

PlacerHooks roundRobinPlacer(std::uint64_t seed)
{
    PlacerHooks hooks = quietHooks();
    const auto turn = std::make_shared<std::size_t>(seed % 97);
    hooks.place = [turn](Instant, std::span<const UpstreamCandidate> candidates, CallClass,
                         std::span<const std::size_t> tried) -> std::optional<std::size_t> {
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = (*turn)++ % candidates.size();
            if (eligible(candidates[index], tried, index))
                return index;
        }
        return std::nullopt;
    };
    return hooks;
}

PlacerHooks leastOutstandingPlacer(std::uint64_t seed)
{
    PlacerHooks hooks = quietHooks();
    const auto counts = std::make_shared<std::map<std::string, int, std::less<>>>();
    const auto numbers = std::make_shared<std::mt19937_64>(seed);
    hooks.started = [counts](std::string_view id, Instant) { (*counts)[std::string(id)] += 1; };
    hooks.ended = [counts](std::string_view id, Instant, CallClass, Duration, AttemptOutcome) {
        (*counts)[std::string(id)] -= 1;
    };
    hooks.place = [counts, numbers](Instant, std::span<const UpstreamCandidate> candidates, CallClass,
                                    std::span<const std::size_t> tried) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        int fewest = std::numeric_limits<int>::max();
        const std::size_t start = (*numbers)() % candidates.size(); // Ties go to a random one.
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

Policy oursWith(std::string name, LoadBalancerSettings settings)
{
    Policy policy = ours();
    policy.name = std::move(name);
    policy.makePlacer = [settings](std::uint64_t seed) { return ourPlacer(seed, settings); };
    return policy;
}

// The gate is told that every call may take as long as it likes.
GateHooks withoutDeadlines(std::uint64_t seed)
{
    GateHooks hooks = ourGate(seed);
    const auto offer = hooks.offer;
    hooks.offer = [offer](Instant now, const CallAttributes &facts, std::vector<GateAction> &actions) {
        return offer(now, CallAttributes{facts.callClass, now + 1h}, actions);
    };
    return hooks;
}

// The gate is told that every call is interactive.
GateHooks withoutClasses(std::uint64_t seed)
{
    GateHooks hooks = ourGate(seed);
    const auto offer = hooks.offer;
    hooks.offer = [offer](Instant now, const CallAttributes &facts, std::vector<GateAction> &actions) {
        return offer(now, CallAttributes{CallClass::Interactive, facts.deadline}, actions);
    };
    return hooks;
}

// The gate does not learn that the upstream sheds.
GateHooks withoutAdaptiveLimit(std::uint64_t seed)
{
    GateHooks hooks = ourGate(seed);
    const auto finish = hooks.finish;
    hooks.finish = [finish](Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions) {
        finish(now, ticket, end == CallOutcome::Shed ? CallOutcome::Failed : end, actions);
    };
    return hooks;
}

// Every refused caller is told the same time to come back.
GateHooks withFixedReturn(std::uint64_t seed)
{
    static constexpr Duration fixedReturn = 100ms;
    GateHooks hooks = ourGate(seed);
    const auto offer = hooks.offer;
    hooks.offer = [offer](Instant now, const CallAttributes &facts, std::vector<GateAction> &actions) {
        GateDecision decision = offer(now, facts, actions);
        if (decision.verdict == GateVerdict::Refuse)
            decision.retryAfter = fixedReturn;
        return decision;
    };
    return hooks;
}

Policy oursWith(std::string name, std::function<GateHooks(std::uint64_t)> makeGate)
{
    Policy policy = ours();
    policy.name = std::move(name);
    policy.makeGate = std::move(makeGate);
    return policy;
}

// Ours with another length of queue.
Policy oursWithQueue(std::uint32_t length)
{
    return oursWith("queue-" + std::to_string(length),
                    [length](std::uint64_t seed) { return ourGateWith(seed, length); });
}

} // namespace

Policy roundRobin()
{
    return Policy{"round-robin", plainGate, roundRobinPlacer, false, false};
}

Policy leastOutstanding()
{
    return Policy{"least-outstanding", plainGate, leastOutstandingPlacer, false, false};
}

Policy ours()
{
    return Policy{"sagecrank", ourGate,
                  [](std::uint64_t seed) { return ourPlacer(seed, LoadBalancerSettings{}); }, true};
}

std::vector<Policy> ablations()
{
    std::vector<Policy> policies;
    LoadBalancerSettings settings;
    settings.maximumEjectedShare = 0;
    policies.push_back(oursWith("no-ejection", settings));

    for (const std::size_t choices : {1, 4, 16}) {
        settings = LoadBalancerSettings{};
        settings.choices = choices;
        policies.push_back(oursWith("choices-" + std::to_string(choices), settings));
    }

    settings = LoadBalancerSettings{};
    settings.reportedLoadDecay = 1ns;
    policies.push_back(oursWith("no-told-load", settings));

    settings = LoadBalancerSettings{};
    settings.crossZoneCost = Duration::zero();
    policies.push_back(oursWith("no-zone-cost", settings));

    Policy plainPlacing = ours();
    plainPlacing.name = "no-placer";
    plainPlacing.makePlacer = roundRobinPlacer;
    policies.push_back(plainPlacing);

    policies.push_back(oursWith("no-deadlines", withoutDeadlines));
    policies.push_back(oursWith("no-classes", withoutClasses));
    policies.push_back(oursWith("no-adaptive-limit", withoutAdaptiveLimit));
    policies.push_back(oursWith("fixed-return", withFixedReturn));
    for (const std::uint32_t length : {64U, 96U, 128U})
        policies.push_back(oursWithQueue(length));

    Policy hedged = ours();
    hedged.name = "hedges";
    hedged.hedges = true;
    policies.push_back(hedged);

    Policy freeRetries = ours();
    freeRetries.name = "no-retry-budget";
    freeRetries.budgetsRetries = false;
    policies.push_back(freeRetries);
    return policies;
}

} // namespace Sagecrank
