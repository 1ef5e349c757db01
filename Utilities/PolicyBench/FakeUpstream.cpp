// Implements FakeUpstream.h.
#include <PolicyBench/FakeUpstream.h>

#include <algorithm>
#include <utility>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr Duration failureTime = 200us;
constexpr Duration shedTime = 100us;
constexpr Duration restartTime = 500ms;

} // namespace

FakeUpstream::FakeUpstream(Timeline &timeline, Outcome &outcome, std::function<GateHooks()> makeGate,
                           std::uint32_t slots, Duration meanRunTime,
                           std::function<void(UpstreamCondition)> announce)
    : timeline(timeline)
    , outcome(outcome)
    , makeGate(std::move(makeGate))
    , gate(this->makeGate())
    , slots(slots)
    , meanRunTime(meanRunTime)
    , capacity(slots)
    , announce(std::move(announce))
{
}

void FakeUpstream::start()
{
    this->setCondition(UpstreamCondition::Ready);
}

void FakeUpstream::schedule(const Fault &fault)
{
    const Instant from = Instant{} + fault.from;
    const Instant until = Instant{} + fault.until;
    switch (fault.kind) {
    case FaultKind::Slow:
        this->timeline.at(from, [this, fault] { this->slowFactor = fault.factor; });
        this->timeline.at(until, [this] { this->slowFactor = 1; });
        return;
    case FaultKind::FailsFast:
        this->timeline.at(from, [this] { this->failsFast = true; });
        this->timeline.at(until, [this] { this->failsFast = false; });
        return;
    case FaultKind::Sheds:
        this->timeline.at(from, [this, fault] {
            this->capacity = std::max(1U, static_cast<std::uint32_t>(this->slots * fault.factor));
        });
        this->timeline.at(until, [this] { this->capacity = this->slots; });
        return;
    case FaultKind::Restarts:
        this->timeline.at(from, [this] {
            this->crash();
            this->setCondition(UpstreamCondition::NotReady);
        });
        this->timeline.at(from + restartTime, [this, fault] {
            this->warmupFault = fault;
            this->setCondition(UpstreamCondition::Warming);
        });
        this->timeline.at(until, [this] {
            this->warmupFault.reset();
            this->setCondition(UpstreamCondition::Ready);
        });
        return;
    case FaultKind::Drains:
        this->timeline.at(from, [this] { this->setCondition(UpstreamCondition::Draining); });
        this->timeline.at(until, [this] {
            this->outcome.interruptedByDrain += this->active.size() + this->waiting.size();
            this->setCondition(UpstreamCondition::NotReady);
        });
        return;
    case FaultKind::Silent:
        this->timeline.at(from, [this] {
            this->silent = true;
            this->active.clear();
            this->waiting.clear();
            this->generation += 1;
            this->announce(UpstreamCondition::NotReady);
        });
        this->timeline.at(until, [this] {
            this->silent = false;
            this->gate = this->makeGate();
            this->scheduledDeadline.reset();
            this->setCondition(UpstreamCondition::Ready);
        });
        return;
    case FaultKind::NamesLimit:
        this->timeline.at(from, [this, fault] {
            const double served = this->slots / std::chrono::duration<double>(this->meanRunTime).count();
            this->setNamedLimit(fault.factor * served);
        });
        this->timeline.at(until, [this] { this->setNamedLimit(std::nullopt); });
        return;
    }
}

void FakeUpstream::setNamedLimit(std::optional<double> callsPerSecond)
{
    this->namedLimit = callsPerSecond;
    this->recentStarts.clear();
    if (!this->gate.setStartLimit)
        return;
    std::vector<GateAction> actions;
    this->gate.setStartLimit(this->timeline.now(), callsPerSecond, actions);
    this->apply(actions);
}

void FakeUpstream::countAgainstNamedLimit()
{
    constexpr double allowedFactor = 1.5;
    constexpr double allowedExtra = 5;
    if (!this->namedLimit)
        return;
    const Instant now = this->timeline.now();
    this->recentStarts.push_back(now);
    while (now - this->recentStarts.front() > 1s)
        this->recentStarts.pop_front();
    const double allowed = allowedFactor * *this->namedLimit + allowedExtra;
    this->outcome.overNamedLimit += static_cast<double>(this->recentStarts.size()) > allowed ? 1 : 0;
}

void FakeUpstream::receive(const std::shared_ptr<UpstreamAttempt> &attempt)
{
    if (this->silent)
        return;
    if (this->noCallsExpectedAfter && this->timeline.now() > *this->noCallsExpectedAfter
        && this->condition != UpstreamCondition::Ready)
        this->outcome.sentToDraining += 1;
    std::vector<GateAction> actions;
    const CallAttributes attributes{attempt->call->callClass, attempt->call->deadline};
    const GateDecision decision = this->gate.offer(this->timeline.now(), attributes, actions);
    switch (decision.verdict) {
    case GateVerdict::Start:
        this->beginRun(decision.ticket, attempt);
        break;
    case GateVerdict::Queue:
        this->waiting[decision.ticket] = attempt;
        break;
    case GateVerdict::Refuse:
        this->respond(attempt, ResponseKind::NotRun, decision.retryAfter);
        break;
    }
    this->apply(actions);
}

void FakeUpstream::cancel(const std::shared_ptr<UpstreamAttempt> &attempt)
{
    std::vector<GateAction> actions;
    for (const auto &[ticket, queued] : this->waiting) {
        if (queued != attempt)
            continue;
        const Ticket cancelled = ticket;
        this->waiting.erase(cancelled);
        this->gate.cancel(this->timeline.now(), cancelled, actions);
        this->apply(actions);
        return;
    }
    for (const auto &[ticket, running] : this->active) {
        // Non-idempotent calls run to the end: if stopped half way, they would be neither done nor not run.
        if (running.attempt != attempt || !attempt->call->idempotent())
            continue;
        this->endRun(ticket, CallOutcome::Cancelled);
        return;
    }
}

void FakeUpstream::setCondition(UpstreamCondition next)
{
    this->condition = next;
    std::vector<GateAction> actions;
    this->gate.setState(this->timeline.now(), next, this->slots, actions);
    this->apply(actions);
    this->announce(next);
}

void FakeUpstream::beginRun(Ticket ticket, const std::shared_ptr<UpstreamAttempt> &attempt)
{
    Call &call = *attempt->call;
    call.runs += 1;
    this->countAgainstNamedLimit();
    this->outcome.ranAfterRefusal += attempt->refused ? 1 : 0;
    this->active[ticket] = Active{attempt, this->timeline.now()};
    this->outcome.overSlots += this->active.size() > this->slots ? 1 : 0;

    Duration runTime = std::chrono::duration_cast<Duration>(call.work * this->slowdown());
    CallOutcome callOutcome = CallOutcome::Succeeded;
    if (this->failsFast) {
        runTime = failureTime;
        callOutcome = CallOutcome::Failed;
    } else if (this->active.size() > this->capacity) {
        runTime = shedTime;
        callOutcome = CallOutcome::Shed;
        call.runs -= 1; // A call that was shed did not run.
    }
    this->outcome.ranTwice += call.runs > 1 && !call.idempotent() ? 1 : 0;
    const std::uint64_t startGeneration = this->generation;
    this->timeline.after(runTime, [this, ticket, callOutcome, startGeneration] {
        if (startGeneration == this->generation)
            this->endRun(ticket, callOutcome);
    });
}

void FakeUpstream::endRun(Ticket ticket, CallOutcome callOutcome)
{
    const auto found = this->active.find(ticket);
    if (found == this->active.end())
        return;
    const Active ended = found->second;
    this->active.erase(found);
    this->recordBusyTime(ended);
    std::vector<GateAction> actions;
    this->gate.finish(this->timeline.now(), ticket, callOutcome, actions);
    if (callOutcome == CallOutcome::Succeeded)
        this->respond(ended.attempt, ResponseKind::Done, Duration::zero());
    if (callOutcome == CallOutcome::Failed)
        this->respond(ended.attempt, ResponseKind::Failed, Duration::zero());
    if (callOutcome == CallOutcome::Shed)
        this->respond(ended.attempt, ResponseKind::NotRun, 50ms);
    this->apply(actions);
}

void FakeUpstream::apply(const std::vector<GateAction> &actions)
{
    for (const GateAction &action : actions) {
        const auto found = this->waiting.find(action.ticket);
        if (found == this->waiting.end())
            continue;
        const std::shared_ptr<UpstreamAttempt> attempt = found->second;
        this->waiting.erase(found);
        if (action.start)
            this->beginRun(action.ticket, attempt);
        else
            this->respond(attempt, ResponseKind::NotRun, action.retryAfter);
    }
    this->scheduleGateDeadline();
}

void FakeUpstream::respond(const std::shared_ptr<UpstreamAttempt> &attempt, ResponseKind kind,
                           Duration retryAfter)
{
    if (kind == ResponseKind::NotRun) {
        attempt->refused = true;
        this->outcome.refusedWithoutRetryAfter += retryAfter <= Duration::zero() ? 1 : 0;
    }
    Response response;
    response.kind = kind;
    response.retryAfter = retryAfter;
    response.freeSlots = this->gate.freeSlots(this->timeline.now());
    response.queued = this->gate.queued();
    response.draining = this->condition == UpstreamCondition::Draining;
    response.hasReportedLoad = true;
    attempt->onResponse(response);
}

void FakeUpstream::scheduleGateDeadline()
{
    std::optional<Instant> next = this->gate.nextDeadline();
    if (const auto start = this->gate.nextStart ? this->gate.nextStart(this->timeline.now()) : std::nullopt)
        next = std::min(next.value_or(Instant::max()), *start);
    if (!next || (this->scheduledDeadline && *this->scheduledDeadline <= *next))
        return;
    this->scheduledDeadline = *next;
    this->timeline.at(*next, [this, when = *next] {
        if (this->scheduledDeadline != when)
            return;
        this->scheduledDeadline.reset();
        std::vector<GateAction> actions;
        this->gate.advance(this->timeline.now(), actions);
        this->apply(actions);
    });
}

// The process dies and its connections break, so the nodes notice at once.
void FakeUpstream::crash()
{
    const std::map<Ticket, Active> lost = std::exchange(this->active, {});
    this->generation += 1;
    for (const auto &[ticket, running] : lost) {
        this->recordBusyTime(running);
        std::vector<GateAction> actions;
        this->gate.finish(this->timeline.now(), ticket, CallOutcome::Failed, actions);
        this->respond(running.attempt, ResponseKind::Failed, Duration::zero());
        for (const GateAction &action : actions) {
            const std::shared_ptr<UpstreamAttempt> attempt = this->waiting.at(action.ticket);
            this->waiting.erase(action.ticket);
            this->respond(attempt, ResponseKind::NotRun, 1s);
            std::vector<GateAction> none;
            this->gate.finish(this->timeline.now(), action.ticket, CallOutcome::Failed, none);
        }
    }
}

// After a restart, an upstream is slower by the factor at first, which then falls linearly to 1.
double FakeUpstream::slowdown() const
{
    if (!this->warmupFault)
        return this->slowFactor;
    const Duration from = this->warmupFault->from + restartTime;
    const double total = std::chrono::duration<double>(this->warmupFault->until - from).count();
    const double elapsed = std::chrono::duration<double>(this->timeline.now() - Instant{} - from).count();
    return this->warmupFault->factor
           + (1 - this->warmupFault->factor) * std::clamp(elapsed / total, 0.0, 1.0);
}

void FakeUpstream::recordBusyTime(const Active &ended)
{
    const double seconds = std::chrono::duration<double>(this->timeline.now() - ended.startedAt).count();
    this->outcome.busySeconds += seconds;
    if (ended.attempt->call->finished)
        this->outcome.wastedSeconds += seconds;
}

} // namespace Sagecrank
