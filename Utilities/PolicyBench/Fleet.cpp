// Implements Fleet.h: builds the fleet and simulates its callers.
#include <PolicyBench/Fleet.h>

#include <cmath>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr Duration sameHostLatency = 50us;
constexpr Duration sameZoneLatency = 100us;
constexpr Duration warmupTime = 500ms;

// Sigma of the lognormal run times, which have a long tail.
constexpr double runTimeSigma = 0.6;

// Including the first attempt of a caller.
constexpr std::uint32_t maximumAttempts = 3;

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
    this->outcome.unanswered += this->startedAttempts - this->finishedAttempts;
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
                        host.node->setCondition(service, index, condition);
                });
            };
            const auto makeGate = [policy, seed, index] { return policy.makeGate(seed * 1009 + index); };
            Host host;
            host.service = service;
            host.zone = static_cast<std::uint32_t>(index) % this->shape.zones;
            host.id = "host-" + std::to_string(index);
            host.upstream =
                std::make_unique<FakeUpstream>(this->timeline, this->outcome, makeGate, this->shape.slots,
                                               this->scenario.meanRunTime(), announce);
            host.node = std::make_unique<FakeNode>(this->timeline, policy, seed * 2003 + index, services);
            host.connections = std::make_unique<CallerConnections>(this->timeline, this->shape.connections);
            for (const Fault &fault : this->scenario.faults) {
                if (fault.service != service || fault.server != server)
                    continue;
                host.upstream->schedule(fault);
                if (fault.kind == FaultKind::Drains)
                    host.upstream->expectNoCallsAfter(Instant{} + fault.from + this->scenario.membershipLag
                                                      + 2 * this->shape.crossZoneLatency);
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
    UpstreamCandidate candidate;
    candidate.id = target.id;
    candidate.sameZone = from.zone == target.zone;
    candidate.sameHost = &from == &target;
    candidate.condition = UpstreamCondition::NotReady;
    candidate.slots = this->shape.slots;
    Duration latency = candidate.sameZone ? sameZoneLatency : this->shape.crossZoneLatency;
    if (candidate.sameHost)
        latency = sameHostLatency;
    from.node->addCandidate(target.service, candidate,
                            FakeNode::UpstreamLink{target.upstream.get(), to, latency});
}

void FakeFleet::scheduleArrival(std::uint32_t service)
{
    std::exponential_distribution<double> gap(this->arrivalsPerSecond(service));
    const auto wait =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->arrivals)));
    if (this->timeline.now() + wait > Instant{} + this->scenario.duration)
        return;
    this->timeline.after(wait, [this, service] {
        this->startAttempt(this->drawRequest(service));
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
    if (this->scenario.burstInterval > Duration::zero()
        && time % this->scenario.burstInterval < this->scenario.burstDuration)
        load *= this->scenario.burstFactor;
    return load * slots / meanWork;
}

FakeFleet::CallerRequest FakeFleet::drawRequest(std::uint32_t service)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    double pick = uniform(this->arrivals);
    std::size_t index = 0;
    while (index + 1 < this->scenario.classes.size() && pick >= this->scenario.classes[index].share)
        pick -= this->scenario.classes[index++].share;
    const double mean = std::chrono::duration<double>(this->scenario.classes[index].runTime).count();
    std::lognormal_distribution<double> work(std::log(mean) - runTimeSigma * runTimeSigma / 2, runTimeSigma);
    CallerRequest request;
    request.service = service;
    request.callClass = static_cast<CallClass>(index);
    request.work = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work(this->arrivals)));
    request.number = this->requestCount++;
    request.counted = this->timeline.now() >= Instant{} + warmupTime;
    return request;
}

void FakeFleet::startAttempt(CallerRequest request)
{
    this->startedAttempts += 1;
    request.attempt += 1;
    request.sentAt = this->timeline.now();
    if (request.counted && request.attempt == 1)
        this->outcome.of(request.callClass).callers += 1;
    const Duration callerTimeout =
        this->scenario.classes[static_cast<std::size_t>(request.callClass)].callerTimeout;
    const auto call = std::make_shared<Call>();
    call->service = request.service;
    call->callClass = request.callClass;
    call->work = request.work;
    call->deadline = request.sentAt + callerTimeout - this->shape.callerLatency;
    Host &entry = this->hosts[this->entryHostFor(request)];
    call->onResponse = [this, &entry, request](const Response &response) {
        this->timeline.after(this->shape.callerLatency, [this, &entry, request, response] {
            if (this->scenario.limitedConnections)
                entry.connections->release();
            this->finishAttempt(request, response);
        });
    };
    this->send(entry, request, call);
}

void FakeFleet::send(Host &entry, const CallerRequest &request, const std::shared_ptr<Call> &call)
{
    const auto sendToNode = [this, &entry, call] {
        this->timeline.after(this->shape.callerLatency, [&entry, call] { entry.node->receive(call); });
    };
    if (!this->scenario.limitedConnections)
        return sendToNode();
    // Without a connection the call did not run.
    entry.connections->acquire(call->deadline, sendToNode, [this, request] {
        Response response;
        response.kind = ResponseKind::NotRun;
        response.retryAfter = 1ms;
        this->finishAttempt(request, response);
    });
}

void FakeFleet::finishAttempt(CallerRequest request, const Response &response)
{
    this->finishedAttempts += 1;
    if (request.counted)
        this->count(request, response, this->timeline.now() - request.sentAt);
    if (response.kind == ResponseKind::Done || request.attempt >= maximumAttempts)
        return;
    if (response.kind == ResponseKind::NotRun) {
        this->timeline.after(response.retryAfter, [this, request] { this->startAttempt(request); });
        return;
    }
    // The call may have run, so it is retried only if it may run twice, and without delay.
    if (request.callClass != CallClass::NonIdempotent)
        this->startAttempt(request);
}

void FakeFleet::count(const CallerRequest &request, const Response &response, Duration took)
{
    ClassOutcome &counted = this->outcome.of(request.callClass);
    counted.served += response.kind == ResponseKind::Done ? 1 : 0;
    if (request.attempt > 1)
        return;
    switch (response.kind) {
    case ResponseKind::Done:
        counted.inTime += 1;
        counted.servedLatencies.push_back(took);
        return;
    case ResponseKind::NotRun:
        counted.refused += 1;
        counted.refusalLatencies.push_back(took);
        return;
    case ResponseKind::Failed:
        counted.failed += 1;
        return;
    case ResponseKind::Unknown:
        counted.timedOut += 1;
        return;
    }
}

// A retry may enter through another node.
std::size_t FakeFleet::entryHostFor(const CallerRequest &request) const
{
    const std::uint64_t mixed = (request.number * 3 + request.attempt) * 0x9E3779B97F4A7C15ULL;
    const std::size_t count = this->hosts.size();
    std::size_t index = (mixed >> 32U) % count;
    while (this->scenario.singleEntryZone && this->hosts[index].zone != 0)
        index = (index + 1) % count;
    return index;
}

} // namespace Sagecrank
