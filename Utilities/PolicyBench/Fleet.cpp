// Builds the fake fleet and plays its callers.
#include <PolicyBench/Fleet.h>

#include <cmath>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr Duration sameHostWay = 50us;
constexpr Duration sameZoneWay = 100us;
constexpr Duration settlingTime = 500ms;

// Run times scatter like this around their mean, with a long tail.
constexpr double workSigma = 0.6;

// A refused or disappointed caller comes back so many times at most.
constexpr std::uint32_t mostAttempts = 3;

} // namespace

FakeFleet::FakeFleet(const FleetShape &shape, const Scenario &scenario, const Policy &policy,
                     std::uint64_t seed)
    : shape(shape)
    , scenario(scenario)
    , arrivals(seed)
{
    this->build(policy, seed);
}

Outcome FakeFleet::run()
{
    for (std::uint32_t service = 0; service < this->shape.servers.size(); ++service)
        this->scheduleArrival(service);
    this->timeline.run();
    this->outcome.neverEnded += this->attempts - this->concluded;
    return this->outcome;
}

void FakeFleet::build(const Policy &policy, std::uint64_t seed)
{
    const std::size_t services = this->shape.servers.size();
    for (std::uint32_t service = 0; service < services; ++service) {
        for (std::uint32_t server = 0; server < this->shape.servers[service]; ++server) {
            const auto index = this->hosts.size();
            const auto announce = [this, service, index](UpstreamCondition condition) {
                const Duration lag = this->timeline.now() == Instant{} ? 0ms : this->scenario.membershipLag;
                this->timeline.after(lag, [this, service, index, condition] {
                    for (Host &host : this->hosts)
                        host.node->learn(service, index, condition);
                });
            };
            const auto makeGate = [policy, seed, index] { return policy.makeGate(seed * 1009 + index); };
            Host host;
            host.service = service;
            host.zone = static_cast<std::uint32_t>(index) % this->shape.zones;
            host.id = "host-" + std::to_string(index);
            host.upstream = std::make_unique<FakeUpstream>(this->timeline, this->outcome, makeGate,
                                                           this->shape.slots, announce);
            host.node = std::make_unique<FakeNode>(this->timeline, policy, seed * 2003 + index, services);
            host.connections = std::make_unique<CallerConnections>(this->timeline, this->shape.connections);
            for (const Fault &fault : this->scenario.faults) {
                if (fault.service != service || fault.server != server)
                    continue;
                host.upstream->schedule(fault);
                if (fault.kind == FaultKind::Drains)
                    host.upstream->refuseCallsAfter(Instant{} + fault.from + this->scenario.membershipLag
                                                    + 2 * this->shape.zoneWay);
            }
            this->hosts.push_back(std::move(host));
        }
    }
    for (Host &from : this->hosts) {
        for (std::size_t to = 0; to < this->hosts.size(); ++to)
            this->connect(from, to);
    }
    for (Host &host : this->hosts)
        host.upstream->start();
}

void FakeFleet::connect(Host &from, std::size_t to)
{
    const Host &target = this->hosts[to];
    UpstreamCandidate facts;
    facts.id = target.id;
    facts.sameZone = from.zone == target.zone;
    facts.sameHost = &from == &target;
    facts.condition = UpstreamCondition::NotReady;
    facts.slots = this->shape.slots;
    Duration way = facts.sameZone ? sameZoneWay : this->shape.zoneWay;
    if (facts.sameHost)
        way = sameHostWay;
    from.node->addCandidate(target.service, facts, FakeNode::Candidate{target.upstream.get(), to, way});
}

void FakeFleet::scheduleArrival(std::uint32_t service)
{
    std::exponential_distribution<double> gap(this->arrivalsPerSecond(service));
    const auto wait =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->arrivals)));
    if (this->timeline.now() + wait > Instant{} + this->scenario.duration)
        return;
    this->timeline.after(wait, [this, service] {
        this->attempt(this->draw(service));
        this->scheduleArrival(service);
    });
}

double FakeFleet::arrivalsPerSecond(std::uint32_t service) const
{
    double meanWork = 0;
    for (const ClassLoad &load : this->scenario.classes)
        meanWork += load.share * std::chrono::duration<double>(load.runTime).count();
    const double slots = this->shape.servers[service] * this->shape.slots;
    double load = this->scenario.load;
    const Duration time = this->timeline.now() - Instant{};
    if (this->scenario.burstEvery > Duration::zero()
        && time % this->scenario.burstEvery < this->scenario.burstFor)
        load *= this->scenario.burstFactor;
    return load * slots / meanWork;
}

FakeFleet::Wish FakeFleet::draw(std::uint32_t service)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    double pick = uniform(this->arrivals);
    std::size_t index = 0;
    while (index + 1 < this->scenario.classes.size() && pick >= this->scenario.classes[index].share)
        pick -= this->scenario.classes[index++].share;
    const double mean = std::chrono::duration<double>(this->scenario.classes[index].runTime).count();
    std::lognormal_distribution<double> work(std::log(mean) - workSigma * workSigma / 2, workSigma);
    Wish wish;
    wish.service = service;
    wish.callClass = static_cast<CallClass>(index);
    wish.work = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work(this->arrivals)));
    wish.number = this->wishes++;
    wish.counted = this->timeline.now() >= Instant{} + settlingTime;
    return wish;
}

void FakeFleet::attempt(Wish wish)
{
    this->attempts += 1;
    wish.attempt += 1;
    wish.sentAt = this->timeline.now();
    if (wish.counted && wish.attempt == 1)
        this->outcome.of(wish.callClass).callers += 1;
    const Duration patience = this->scenario.classes[static_cast<std::size_t>(wish.callClass)].patience;
    const auto call = std::make_shared<Call>();
    call->service = wish.service;
    call->callClass = wish.callClass;
    call->work = wish.work;
    call->deadline = wish.sentAt + patience - this->shape.callerWay;
    Host &entry = this->hosts[this->entryFor(wish)];
    call->reply = [this, &entry, wish](const Answer &answer) {
        this->timeline.after(this->shape.callerWay, [this, &entry, wish, answer] {
            if (this->scenario.limitedConnections)
                entry.connections->giveBack();
            this->conclude(wish, answer);
        });
    };
    this->send(entry, wish, call);
}

void FakeFleet::send(Host &entry, const Wish &wish, const std::shared_ptr<Call> &call)
{
    const auto leave = [this, &entry, call] {
        this->timeline.after(this->shape.callerWay, [&entry, call] { entry.node->receive(call); });
    };
    if (!this->scenario.limitedConnections)
        return leave();
    // A caller that got no connection knows that nothing of its call ran.
    entry.connections->obtain(call->deadline, leave, [this, wish] {
        Answer answer;
        answer.reply = Reply::NotRun;
        answer.retryAfter = 1ms;
        this->conclude(wish, answer);
    });
}

void FakeFleet::conclude(Wish wish, const Answer &answer)
{
    this->concluded += 1;
    if (wish.counted)
        this->count(wish, answer, this->timeline.now() - wish.sentAt);
    if (answer.reply == Reply::Done || wish.attempt >= mostAttempts)
        return;
    if (answer.reply == Reply::NotRun) {
        this->timeline.after(answer.retryAfter, [this, wish] { this->attempt(wish); });
        return;
    }
    // Whether it ran is not known: only what may run twice is asked for again, and at once.
    if (wish.callClass != CallClass::NonIdempotent)
        this->attempt(wish);
}

void FakeFleet::count(const Wish &wish, const Answer &answer, Duration took)
{
    ClassOutcome &counted = this->outcome.of(wish.callClass);
    counted.served += answer.reply == Reply::Done ? 1 : 0;
    if (wish.attempt > 1)
        return;
    switch (answer.reply) {
    case Reply::Done:
        counted.inTime += 1;
        counted.answered.push_back(took);
        return;
    case Reply::NotRun:
        counted.refused += 1;
        counted.refusals.push_back(took);
        return;
    case Reply::Failed:
        counted.failed += 1;
        return;
    case Reply::Unknown:
        counted.gaveUp += 1;
        return;
    }
}

// A returning caller may reach another node than before.
std::size_t FakeFleet::entryFor(const Wish &wish) const
{
    const std::uint64_t mixed = (wish.number * 3 + wish.attempt) * 0x9E3779B97F4A7C15ULL;
    const std::size_t count = this->hosts.size();
    std::size_t index = (mixed >> 32U) % count;
    while (this->scenario.oneEntryZone && this->hosts[index].zone != 0)
        index = (index + 1) % count;
    return index;
}

} // namespace Sagecrank
