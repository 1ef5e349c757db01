// Implements FakeNode.h.
#include <PolicyBench/FakeNode.h>

#include <algorithm>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t maximumAttempts = 3;
constexpr double retryBudgetShare = 0.2;
constexpr double retryBudgetReserve = 10;
constexpr double hedgeBudgetShare = 0.05;

} // namespace

FakeNode::FakeNode(Timeline &timeline, const Policy &policy, std::uint64_t seed, std::size_t services)
    : timeline(timeline)
    , limitsRetries(policy.limitsRetries)
    , hedgesCalls(policy.hedgesCalls)
    , budget(retryBudgetShare, retryBudgetReserve)
    , hedgeBudget(hedgeBudgetShare, retryBudgetReserve)
    , services(services)
{
    for (std::size_t service = 0; service < services; ++service)
        this->services[service].loadBalancer = policy.makeLoadBalancer(seed * 31 + service);
}

void FakeNode::addCandidate(std::uint32_t service, const UpstreamCandidate &candidate,
                            const UpstreamLink &link)
{
    this->services[service].candidates.push_back(candidate);
    this->services[service].links.push_back(link);
}

void FakeNode::setCondition(std::uint32_t service, std::size_t index, UpstreamCondition condition)
{
    Service &upstreams = this->services[service];
    for (std::size_t position = 0; position < upstreams.links.size(); ++position) {
        if (upstreams.links[position].index == index)
            upstreams.candidates[position].condition = condition;
    }
}

void FakeNode::receive(const std::shared_ptr<Call> &call)
{
    this->budget.recordFirstAttempt(this->timeline.now());
    this->timeline.at(call->deadline, [this, call] {
        if (!call->finished)
            this->timeOut(call);
    });
    this->send(call);
    this->scheduleHedge(call);
}

void FakeNode::scheduleHedge(const std::shared_ptr<Call> &call)
{
    if (!this->hedgesCalls || call->callClass != CallClass::Interactive)
        return;
    this->hedgeBudget.recordFirstAttempt(this->timeline.now());
    const std::optional<Duration> delay = this->hedgeDelay.delay();
    if (!delay)
        return;
    this->timeline.after(*delay, [this, call] {
        const std::size_t upstreamCount = this->services[call->service].candidates.size();
        if (call->finished || call->tried.size() > 1 || upstreamCount < 2
            || !this->hasOutstandingAttempt(call))
            return;
        if (this->hedgeBudget.tryAcquireRetry(this->timeline.now()))
            this->send(call);
    });
}

void FakeNode::send(const std::shared_ptr<Call> &call)
{
    Service &service = this->services[call->service];
    const Instant now = this->timeline.now();
    const auto position = service.loadBalancer.pick(now, service.candidates, call->callClass, call->tried);
    if (!position) {
        if (this->hasOutstandingAttempt(call))
            return;
        this->finish(call, Response{ResponseKind::NotRun, 250ms, 0, 0, false, false});
        return;
    }
    call->tried.push_back(*position);
    const UpstreamLink link = service.links[*position];
    const auto attempt = std::make_shared<UpstreamAttempt>();
    attempt->call = call;
    attempt->upstream = link.index;
    attempt->sentAt = now;
    attempt->onResponse = [this, weak = std::weak_ptr(attempt), at = *position,
                           link](const Response &response) {
        const auto answeredAttempt = weak.lock();
        if (!answeredAttempt)
            return;
        this->timeline.after(link.latency, [this, answeredAttempt, at, response] {
            this->onResponse(answeredAttempt, at, response);
        });
    };
    service.loadBalancer.recordStart(service.candidates[*position].id, now);
    this->attempts.emplace_back(attempt, *position);
    this->timeline.after(link.latency, [link, attempt] { link.upstream->receive(attempt); });
}

void FakeNode::onResponse(const std::shared_ptr<UpstreamAttempt> &attempt, std::size_t position,
                          const Response &response)
{
    const std::shared_ptr<Call> call = attempt->call;
    Service &service = this->services[call->service];
    const std::string_view id = service.candidates[position].id;
    const Instant now = this->timeline.now();
    if (!attempt->finished) {
        attempt->finished = true;
        std::erase_if(this->attempts, [&](const auto &entry) { return entry.first == attempt; });
        AttemptOutcome end = AttemptOutcome::Succeeded;
        if (response.kind == ResponseKind::Failed)
            end = AttemptOutcome::Failed;
        if (response.kind == ResponseKind::NotRun)
            end = AttemptOutcome::RefusedNotRun;
        service.loadBalancer.recordEnd(id, now, call->callClass, now - attempt->sentAt, end);
        if (end == AttemptOutcome::Succeeded && call->callClass == CallClass::Interactive)
            this->hedgeDelay.observe(now - attempt->sentAt);
    }
    if (response.hasReportedLoad)
        service.loadBalancer.recordReportedLoad(id, now, response.freeSlots, response.queued,
                                                response.draining);
    if (call->finished || (response.kind != ResponseKind::Done && this->hasOutstandingAttempt(call)))
        return;
    if (this->shouldRetry(*call, response.kind))
        this->send(call);
    else
        this->finish(call, response);
}

bool FakeNode::shouldRetry(const Call &call, ResponseKind kind)
{
    if (kind == ResponseKind::Done || call.tried.size() >= maximumAttempts
        || this->timeline.now() >= call.deadline)
        return false;
    if (!isRetrySafe(CallPhase::Answered, call.idempotent(), kind == ResponseKind::NotRun))
        return false;
    const std::vector<UpstreamCandidate> &candidates = this->services[call.service].candidates;
    if (call.tried.size() >= candidates.size())
        return false;
    return !this->limitsRetries || this->budget.tryAcquireRetry(this->timeline.now());
}

bool FakeNode::hasOutstandingAttempt(const std::shared_ptr<Call> &call) const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [&](const auto &entry) { return entry.first->call == call; });
}

// Ends the outstanding attempts of the call and cancels them at their upstreams.
void FakeNode::cancelAttempts(const std::shared_ptr<Call> &call, AttemptOutcome end)
{
    Service &service = this->services[call->service];
    for (const auto &[attempt, position] : this->attempts) {
        if (attempt->call != call)
            continue;
        const Instant now = this->timeline.now();
        const UpstreamLink link = service.links[position];
        attempt->finished = true;
        service.loadBalancer.recordEnd(service.candidates[position].id, now, call->callClass,
                                       now - attempt->sentAt, end);
        this->timeline.after(link.latency, [link, cancelled = attempt] { link.upstream->cancel(cancelled); });
    }
    std::erase_if(this->attempts, [&](const auto &entry) { return entry.first->call == call; });
}

void FakeNode::timeOut(const std::shared_ptr<Call> &call)
{
    this->cancelAttempts(call, AttemptOutcome::Unknown);
    this->finish(call, Response{});
}

void FakeNode::finish(const std::shared_ptr<Call> &call, const Response &response)
{
    call->finished = true;
    this->cancelAttempts(call, AttemptOutcome::Cancelled);
    call->onResponse(response);
}

} // namespace Sagecrank
