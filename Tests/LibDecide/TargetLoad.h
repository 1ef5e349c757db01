// Plays a load of calls with targets against one gate, without sockets or clocks, and counts what callers
// got.
#pragma once

#include <LibDecide/Admission.h>

#include <cmath>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

struct LoadKind
{
    std::string name;
    double perSecond = 0;
    double runMilliseconds = 0; // Mean; run times are lognormal.
    double spread = 0.5;
    std::uint32_t priority = 0;
    Milliseconds target{0};
    Milliseconds deadline{0};
};

struct LoadOutcome
{
    int offered = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int refusedAfterTarget = 0; // Of the refused: held in vain for longer than an answer is worth most.

    double inTimeShare() const { return this->offered == 0 ? 1 : double(this->inTime) / this->offered; }
    double servedShare() const
    {
        return this->offered == 0 ? 1 : double(this->inTime + this->late) / this->offered;
    }
};

// What refused callers do, and whether the gate is told that they came before.
enum class Return : std::uint8_t { Never, TakenForNew, Recognised };

class TargetLoad
{
public:
    TargetLoad(AdmissionHooks gate, std::uint32_t slots, std::uint64_t seed)
        : gate(std::move(gate))
        , slots(slots)
        , random(seed)
    {
        std::vector<GateAction> actions;
        this->gate.setState(this->now, UpstreamCondition::Ready, slots, actions);
    }

    // Offers all kinds for this long, then lets what is inside end.
    std::map<std::string, LoadOutcome> play(const std::vector<LoadKind> &kinds, Duration length)
    {
        const Instant end = this->now + length;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            this->arriveLater(kinds[kind], kind);
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            if (event.ends)
                this->end(event.ticket, kinds);
            else if (event.returned)
                this->offer(kinds[event.kind], event.kind, kinds, event.firstCame);
            else if (this->now < end)
                this->arrive(kinds[event.kind], event.kind, kinds);
            this->advance(kinds);
        }
        return this->outcomes;
    }

    bool offersAgainForLate = false; // As senders do that know no other gate.
    Return returns = Return::Never;  // Once, when they were told to.
    std::uint32_t mostRunning = 0;
    int open = 0; // Tickets given out and not ended.

private:
    struct Event
    {
        Instant at;
        bool ends = false;
        std::size_t kind = 0;
        Ticket ticket = 0;
        bool returned = false;
        Instant firstCame{};

        bool operator<(const Event &other) const { return this->at > other.at; }
    };

    struct Call
    {
        std::size_t kind = 0;
        Instant firstCame;
        Instant target; // As its caller counts.
        bool returned = false;
    };

    double uniform() { return std::uniform_real_distribution<double>(1e-9, 1.0)(this->random); }

    static Duration seconds(double count)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
    }

    Duration runTime(const LoadKind &kind)
    {
        const double sigma = std::sqrt(std::log(1 + kind.spread * kind.spread));
        const double mu = std::log(kind.runMilliseconds / 1000) - sigma * sigma / 2;
        return seconds(std::lognormal_distribution<double>(mu, sigma)(this->random));
    }

    void arriveLater(const LoadKind &kind, std::size_t index)
    {
        this->events.push(
            {this->now + seconds(-std::log(this->uniform()) / kind.perSecond), false, index, 0});
    }

    void arrive(const LoadKind &kind, std::size_t index, const std::vector<LoadKind> &kinds)
    {
        this->arriveLater(kind, index);
        ++this->outcomes[kind.name].offered;
        this->offer(kind, index, kinds, this->now);
    }

    // An answer counts as in time from the first try on, whatever the gate is told.
    void offer(const LoadKind &kind, std::size_t index, const std::vector<LoadKind> &kinds, Instant firstCame)
    {
        const bool returned = firstCame != this->now;
        CallAttributes facts;
        facts.kind = index + 1;
        facts.priority = kind.priority;
        facts.target = (this->returns == Return::Recognised ? firstCame : this->now) + kind.target;
        facts.deadline = firstCame + kind.deadline;
        std::vector<GateAction> actions;
        GateDecision decision = this->gate.offer(this->now, facts, actions);
        if (this->offersAgainForLate && decision.reason == RefusalReason::TargetTooNear) {
            facts.lateAccepted = true;
            decision = this->gate.offer(this->now, facts, actions);
        }
        if (decision.verdict == GateVerdict::Refuse) {
            this->refuse({index, firstCame, firstCame + kind.target, returned}, kinds, decision.retryAfter);
        } else {
            ++this->open;
            this->calls[decision.ticket] = {index, firstCame, firstCame + kind.target, returned};
            if (decision.verdict == GateVerdict::Start)
                this->start(decision.ticket, kind);
        }
        this->perform(actions, kinds);
    }

    // Callers wait as told, but at most a third of the time that they have left.
    void refuse(const Call &call, const std::vector<LoadKind> &kinds, Duration retryAfter)
    {
        const LoadKind &kind = kinds[call.kind];
        const Duration left = call.firstCame + kind.deadline - this->now;
        if (this->returns != Return::Never && !call.returned && left > Duration::zero()) {
            this->events.push(
                {this->now + std::min(retryAfter, left / 3), false, call.kind, 0, true, call.firstCame});
            return;
        }
        LoadOutcome &outcome = this->outcomes[kind.name];
        ++outcome.refused;
        outcome.refusedAfterTarget += this->now > call.target ? 1 : 0;
    }

    void start(Ticket ticket, const LoadKind &kind)
    {
        ++this->running;
        this->mostRunning = std::max(this->mostRunning, this->running);
        this->events.push({this->now + this->runTime(kind), true, 0, ticket});
    }

    void end(Ticket ticket, const std::vector<LoadKind> &kinds)
    {
        const Call call = this->calls.at(ticket);
        this->calls.erase(ticket);
        --this->open;
        --this->running;
        LoadOutcome &outcome = this->outcomes[kinds[call.kind].name];
        ++(this->now <= call.target ? outcome.inTime : outcome.late);
        std::vector<GateAction> actions;
        this->gate.finish(this->now, ticket, CallOutcome::Succeeded, actions);
        this->perform(actions, kinds);
    }

    void advance(const std::vector<LoadKind> &kinds)
    {
        const auto next = this->gate.nextDeadline();
        if (!next || *next > this->now)
            return;
        std::vector<GateAction> actions;
        this->gate.advance(this->now, actions);
        this->perform(actions, kinds);
    }

    void perform(const std::vector<GateAction> &actions, const std::vector<LoadKind> &kinds)
    {
        for (const GateAction &action : actions) {
            const Call call = this->calls.at(action.ticket);
            const LoadKind &kind = kinds[call.kind];
            if (action.start) {
                this->start(action.ticket, kind);
                continue;
            }
            this->refuse(call, kinds, action.retryAfter);
            this->calls.erase(action.ticket);
            --this->open;
        }
    }

    AdmissionHooks gate;
    std::uint32_t slots;
    std::mt19937_64 random;
    Instant now = Instant() + std::chrono::hours(1);
    std::uint32_t running = 0;
    std::priority_queue<Event> events;
    std::map<Ticket, Call> calls;
    std::map<std::string, LoadOutcome> outcomes;
};

} // namespace Sagecrank
