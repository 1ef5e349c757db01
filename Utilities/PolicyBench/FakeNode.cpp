// The node's side of the fake fleet.
#include <PolicyBench/FakeNode.h>

#include <algorithm>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t mostTries = 3;
constexpr double retryShare = 0.2;
constexpr double retryReserve = 10;
constexpr double hedgeShare = 0.05;

} // namespace

FakeNode::FakeNode(Timeline &timeline, const Policy &policy, std::uint64_t seed, std::size_t services)
    : timeline(timeline)
    , budgetsRetries(policy.budgetsRetries)
    , hedges(policy.hedges)
    , budget(retryShare, retryReserve)
    , hedgeBudget(hedgeShare, retryReserve)
    , services(services)
{
    for (std::size_t service = 0; service < services; ++service)
        this->services[service].placer = policy.makePlacer(seed * 31 + service);
}

void FakeNode::addCandidate(std::uint32_t service, const UpstreamCandidate &facts, const Candidate &candidate)
{
    this->services[service].facts.push_back(facts);
    this->services[service].candidates.push_back(candidate);
}

void FakeNode::learn(std::uint32_t service, std::size_t index, UpstreamCondition condition)
{
    Service &known = this->services[service];
    for (std::size_t position = 0; position < known.candidates.size(); ++position) {
        if (known.candidates[position].index == index)
            known.facts[position].condition = condition;
    }
}

void FakeNode::receive(const std::shared_ptr<Call> &call)
{
    this->budget.recordFirstAttempt(this->timeline.now());
    this->timeline.at(call->deadline, [this, call] {
        if (!call->over)
            this->giveUp(call);
    });
    this->send(call);
    this->hedge(call);
}

void FakeNode::hedge(const std::shared_ptr<Call> &call)
{
    if (!this->hedges || call->callClass != CallClass::Interactive)
        return;
    this->hedgeBudget.recordFirstAttempt(this->timeline.now());
    const std::optional<Duration> delay = this->hedgeDelay.delay();
    if (!delay)
        return;
    this->timeline.after(*delay, [this, call] {
        const std::size_t known = this->services[call->service].facts.size();
        if (call->over || call->tried.size() > 1 || known < 2 || !this->waitsElsewhere(call))
            return;
        if (this->hedgeBudget.tryAcquireRetry(this->timeline.now()))
            this->send(call);
    });
}

void FakeNode::send(const std::shared_ptr<Call> &call)
{
    Service &service = this->services[call->service];
    const Instant now = this->timeline.now();
    const auto position = service.placer.place(now, service.facts, call->callClass, call->tried);
    if (!position) {
        if (this->waitsElsewhere(call))
            return;
        this->finish(call, Answer{Reply::NotRun, 250ms, 0, 0, false, false});
        return;
    }
    call->tried.push_back(*position);
    const Candidate candidate = service.candidates[*position];
    const auto sending = std::make_shared<Sending>();
    sending->call = call;
    sending->upstream = candidate.index;
    sending->sentAt = now;
    sending->answer = [this, weak = std::weak_ptr(sending), at = *position, candidate](const Answer &answer) {
        const auto answeredSending = weak.lock();
        if (!answeredSending)
            return;
        this->timeline.after(candidate.way, [this, answeredSending, at, answer] {
            this->answered(answeredSending, at, answer);
        });
    };
    service.placer.started(service.facts[*position].id, now);
    this->sendings.emplace_back(sending, *position);
    this->timeline.after(candidate.way, [candidate, sending] { candidate.upstream->receive(sending); });
}

void FakeNode::answered(const std::shared_ptr<Sending> &sending, std::size_t position, const Answer &answer)
{
    const std::shared_ptr<Call> call = sending->call;
    Service &service = this->services[call->service];
    const std::string_view id = service.facts[position].id;
    const Instant now = this->timeline.now();
    if (!sending->over) {
        sending->over = true;
        std::erase_if(this->sendings, [&](const auto &entry) { return entry.first == sending; });
        AttemptOutcome end = AttemptOutcome::Succeeded;
        if (answer.reply == Reply::Failed)
            end = AttemptOutcome::Failed;
        if (answer.reply == Reply::NotRun)
            end = AttemptOutcome::RefusedNotRun;
        service.placer.ended(id, now, call->callClass, now - sending->sentAt, end);
        if (end == AttemptOutcome::Succeeded && call->callClass == CallClass::Interactive)
            this->hedgeDelay.observe(now - sending->sentAt);
    }
    if (answer.loadTold)
        service.placer.told(id, now, answer.freeSlots, answer.queued, answer.draining);
    if (call->over || (answer.reply != Reply::Done && this->waitsElsewhere(call)))
        return;
    if (this->sendsAgain(*call, answer.reply))
        this->send(call);
    else
        this->finish(call, answer);
}

bool FakeNode::sendsAgain(const Call &call, Reply reply)
{
    if (reply == Reply::Done || call.tried.size() >= mostTries || this->timeline.now() >= call.deadline)
        return false;
    if (!isRetrySafe(CallPhase::Answered, call.idempotent(), reply == Reply::NotRun))
        return false;
    const std::vector<UpstreamCandidate> &facts = this->services[call.service].facts;
    if (call.tried.size() >= facts.size())
        return false;
    return !this->budgetsRetries || this->budget.tryAcquireRetry(this->timeline.now());
}

bool FakeNode::waitsElsewhere(const std::shared_ptr<Call> &call) const
{
    return std::any_of(this->sendings.begin(), this->sendings.end(),
                       [&](const auto &entry) { return entry.first->call == call; });
}

// Ends what is still out for the call and cancels it there.
void FakeNode::dropSendings(const std::shared_ptr<Call> &call, AttemptOutcome end)
{
    Service &service = this->services[call->service];
    for (const auto &[sending, position] : this->sendings) {
        if (sending->call != call)
            continue;
        const Instant now = this->timeline.now();
        const Candidate candidate = service.candidates[position];
        sending->over = true;
        service.placer.ended(service.facts[position].id, now, call->callClass, now - sending->sentAt, end);
        this->timeline.after(candidate.way,
                             [candidate, cancelled = sending] { candidate.upstream->cancel(cancelled); });
    }
    std::erase_if(this->sendings, [&](const auto &entry) { return entry.first->call == call; });
}

void FakeNode::giveUp(const std::shared_ptr<Call> &call)
{
    this->dropSendings(call, AttemptOutcome::Unknown);
    this->finish(call, Answer{});
}

void FakeNode::finish(const std::shared_ptr<Call> &call, const Answer &answer)
{
    call->over = true;
    this->dropSendings(call, AttemptOutcome::Cancelled);
    call->reply(answer);
}

} // namespace Sagecrank
