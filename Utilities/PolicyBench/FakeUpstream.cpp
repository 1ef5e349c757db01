// The upstream's side of the fake fleet.
#include <PolicyBench/FakeUpstream.h>

#include <algorithm>
#include <utility>

namespace Sagecrank {

using namespace std::chrono_literals;

namespace {

constexpr Duration failingTakes = 200us;
constexpr Duration sheddingTakes = 100us;
constexpr Duration absentOnRestart = 500ms;

} // namespace

FakeUpstream::FakeUpstream(Timeline &timeline, Outcome &outcome, std::function<GateHooks()> makeGate,
                           std::uint32_t slots, std::function<void(UpstreamCondition)> announce)
    : timeline(timeline)
    , outcome(outcome)
    , makeGate(std::move(makeGate))
    , gate(this->makeGate())
    , slots(slots)
    , bears(slots)
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
            this->bears = std::max(1U, static_cast<std::uint32_t>(this->slots * fault.factor));
        });
        this->timeline.at(until, [this] { this->bears = this->slots; });
        return;
    case FaultKind::Restarts:
        this->timeline.at(from, [this] {
            this->breakOff();
            this->setCondition(UpstreamCondition::NotReady);
        });
        this->timeline.at(from + absentOnRestart, [this, fault] {
            this->warmingUp = fault;
            this->setCondition(UpstreamCondition::Warming);
        });
        this->timeline.at(until, [this] {
            this->warmingUp.reset();
            this->setCondition(UpstreamCondition::Ready);
        });
        return;
    case FaultKind::Drains:
        this->timeline.at(from, [this] { this->setCondition(UpstreamCondition::Draining); });
        this->timeline.at(until, [this] {
            this->outcome.cutByDrain += this->active.size() + this->waiting.size();
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
            this->watched.reset();
            this->setCondition(UpstreamCondition::Ready);
        });
        return;
    }
}

void FakeUpstream::receive(const std::shared_ptr<Sending> &sending)
{
    if (this->silent)
        return;
    if (this->nothingNewAfter && this->timeline.now() > *this->nothingNewAfter
        && this->condition != UpstreamCondition::Ready)
        this->outcome.lateToDraining += 1;
    std::vector<GateAction> actions;
    const CallAttributes facts{sending->call->callClass, sending->call->deadline};
    const GateDecision decision = this->gate.offer(this->timeline.now(), facts, actions);
    switch (decision.verdict) {
    case GateVerdict::Start:
        this->begin(decision.ticket, sending);
        break;
    case GateVerdict::Queue:
        this->waiting[decision.ticket] = sending;
        break;
    case GateVerdict::Refuse:
        this->respond(sending, Reply::NotRun, decision.retryAfter);
        break;
    }
    this->apply(actions);
}

void FakeUpstream::cancel(const std::shared_ptr<Sending> &sending)
{
    std::vector<GateAction> actions;
    for (const auto &[ticket, queued] : this->waiting) {
        if (queued != sending)
            continue;
        const Ticket cancelled = ticket;
        this->waiting.erase(cancelled);
        this->gate.cancel(this->timeline.now(), cancelled, actions);
        this->apply(actions);
        return;
    }
    for (const auto &[ticket, running] : this->active) {
        // What is not idempotent runs on: stopped half way it would be neither done nor not run.
        if (running.sending != sending || !sending->call->idempotent())
            continue;
        this->end(ticket, CallOutcome::Cancelled);
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

void FakeUpstream::begin(Ticket ticket, const std::shared_ptr<Sending> &sending)
{
    Call &call = *sending->call;
    call.runs += 1;
    this->outcome.ranAfterRefusal += sending->refused ? 1 : 0;
    this->active[ticket] = Active{sending, this->timeline.now()};
    this->outcome.overSlots += this->active.size() > this->slots ? 1 : 0;

    Duration takes = std::chrono::duration_cast<Duration>(call.work * this->slowdown());
    CallOutcome how = CallOutcome::Succeeded;
    if (this->failsFast) {
        takes = failingTakes;
        how = CallOutcome::Failed;
    } else if (this->active.size() > this->bears) {
        takes = sheddingTakes;
        how = CallOutcome::Shed;
        call.runs -= 1; // The upstream says that it did not run.
    }
    this->outcome.ranTwice += call.runs > 1 && !call.idempotent() ? 1 : 0;
    const std::uint64_t born = this->generation;
    this->timeline.after(takes, [this, ticket, how, born] {
        if (born == this->generation)
            this->end(ticket, how);
    });
}

void FakeUpstream::end(Ticket ticket, CallOutcome how)
{
    const auto found = this->active.find(ticket);
    if (found == this->active.end())
        return;
    const Active ended = found->second;
    this->active.erase(found);
    this->countWork(ended);
    std::vector<GateAction> actions;
    this->gate.finish(this->timeline.now(), ticket, how, actions);
    if (how == CallOutcome::Succeeded)
        this->respond(ended.sending, Reply::Done, Duration::zero());
    if (how == CallOutcome::Failed)
        this->respond(ended.sending, Reply::Failed, Duration::zero());
    if (how == CallOutcome::Shed)
        this->respond(ended.sending, Reply::NotRun, 50ms);
    this->apply(actions);
}

void FakeUpstream::apply(const std::vector<GateAction> &actions)
{
    for (const GateAction &action : actions) {
        const auto found = this->waiting.find(action.ticket);
        if (found == this->waiting.end())
            continue;
        const std::shared_ptr<Sending> sending = found->second;
        this->waiting.erase(found);
        if (action.start)
            this->begin(action.ticket, sending);
        else
            this->respond(sending, Reply::NotRun, action.retryAfter);
    }
    this->watchDeadline();
}

void FakeUpstream::respond(const std::shared_ptr<Sending> &sending, Reply reply, Duration retryAfter)
{
    if (reply == Reply::NotRun) {
        sending->refused = true;
        this->outcome.refusedWithoutReturn += retryAfter <= Duration::zero() ? 1 : 0;
    }
    Answer answer;
    answer.reply = reply;
    answer.retryAfter = retryAfter;
    answer.freeSlots = this->gate.freeSlots();
    answer.queued = this->gate.queued();
    answer.draining = this->condition == UpstreamCondition::Draining;
    answer.loadTold = true;
    sending->answer(answer);
}

void FakeUpstream::watchDeadline()
{
    const std::optional<Instant> next = this->gate.nextDeadline();
    if (!next || (this->watched && *this->watched <= *next))
        return;
    this->watched = *next;
    this->timeline.at(*next, [this, when = *next] {
        if (this->watched != when)
            return;
        this->watched.reset();
        std::vector<GateAction> actions;
        this->gate.advance(this->timeline.now(), actions);
        this->apply(actions);
    });
}

// The process is lost and its connections break, so its callers' nodes know at once.
void FakeUpstream::breakOff()
{
    const std::map<Ticket, Active> lost = std::exchange(this->active, {});
    this->generation += 1;
    for (const auto &[ticket, running] : lost) {
        this->countWork(running);
        std::vector<GateAction> actions;
        this->gate.finish(this->timeline.now(), ticket, CallOutcome::Failed, actions);
        this->respond(running.sending, Reply::Failed, Duration::zero());
        for (const GateAction &action : actions) {
            const std::shared_ptr<Sending> sending = this->waiting.at(action.ticket);
            this->waiting.erase(action.ticket);
            this->respond(sending, Reply::NotRun, 1s);
            std::vector<GateAction> none;
            this->gate.finish(this->timeline.now(), action.ticket, CallOutcome::Failed, none);
        }
    }
}

// A cold upstream is slower by the factor at first and warms up evenly.
double FakeUpstream::slowdown() const
{
    if (!this->warmingUp)
        return this->slowFactor;
    const Duration from = this->warmingUp->from + absentOnRestart;
    const double whole = std::chrono::duration<double>(this->warmingUp->until - from).count();
    const double gone = std::chrono::duration<double>(this->timeline.now() - Instant{} - from).count();
    return this->warmingUp->factor + (1 - this->warmingUp->factor) * std::clamp(gone / whole, 0.0, 1.0);
}

void FakeUpstream::countWork(const Active &ended)
{
    const double seconds = std::chrono::duration<double>(this->timeline.now() - ended.startedAt).count();
    this->outcome.busySeconds += seconds;
    if (ended.sending->call->over)
        this->outcome.wastedSeconds += seconds;
}

} // namespace Sagecrank
