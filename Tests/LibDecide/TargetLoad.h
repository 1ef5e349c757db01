// Simulates calls with latency targets against one gate, without sockets or clocks, and counts the outcomes
// for callers.
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
    int refusedAfterTarget = 0; // Refused only after the target had passed.

    double inTimeShare() const { return this->offered == 0 ? 1 : double(this->inTime) / this->offered; }
    double servedShare() const
    {
        return this->offered == 0 ? 1 : double(this->inTime + this->late) / this->offered;
    }
};

// Whether refused callers retry, and whether the gate is told that they have been refused before.
enum class RetryMode : std::uint8_t { Never, AsNewCall, AsRetry };

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

    // Offers calls of all kinds for this long, then runs until all calls have ended.
    std::map<std::string, LoadOutcome> run(const std::vector<LoadKind> &kinds, Duration length)
    {
        const Instant end = this->now + length;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            this->scheduleArrival(kinds[kind], kind);
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            if (event.isEnd)
                this->end(event.ticket, kinds);
            else if (event.isRetry)
                this->offer(kinds[event.kind], event.kind, kinds, event.firstArrivedAt);
            else if (this->now < end)
                this->arrive(kinds[event.kind], event.kind, kinds);
            this->advance(kinds);
        }
        return this->outcomes;
    }

    // Offers a call again with lateAccepted, as senders do that know no other gate.
    bool offersAgainAcceptingLate = false;
    RetryMode retryMode = RetryMode::Never; // Each refused caller retries once, at the time it was told.
    std::uint32_t maximumRunning = 0;
    int openTickets = 0; // Tickets that have not ended.

private:
    struct Event
    {
        Instant at;
        bool isEnd = false;
        std::size_t kind = 0;
        Ticket ticket = 0;
        bool isRetry = false;
        Instant firstArrivedAt{};

        bool operator<(const Event &other) const { return this->at > other.at; }
    };

    struct Call
    {
        std::size_t kind = 0;
        Instant firstArrivedAt;
        Instant target; // As the caller measures it, from the first attempt.
        bool isRetry = false;
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

    void scheduleArrival(const LoadKind &kind, std::size_t index)
    {
        this->events.push(
            {this->now + seconds(-std::log(this->uniform()) / kind.perSecond), false, index, 0});
    }

    void arrive(const LoadKind &kind, std::size_t index, const std::vector<LoadKind> &kinds)
    {
        this->scheduleArrival(kind, index);
        ++this->outcomes[kind.name].offered;
        this->offer(kind, index, kinds, this->now);
    }

    // The outcome is measured from the first attempt, whatever the gate is told.
    void offer(const LoadKind &kind, std::size_t index, const std::vector<LoadKind> &kinds,
               Instant firstArrivedAt)
    {
        const bool isRetry = firstArrivedAt != this->now;
        CallAttributes attributes;
        attributes.kind = index + 1;
        attributes.priority = kind.priority;
        attributes.target =
            (this->retryMode == RetryMode::AsRetry ? firstArrivedAt : this->now) + kind.target;
        attributes.deadline = firstArrivedAt + kind.deadline;
        std::vector<GateAction> actions;
        GateDecision decision = this->gate.offer(this->now, attributes, actions);
        if (this->offersAgainAcceptingLate && decision.reason == RefusalReason::TargetTooNear) {
            attributes.lateAccepted = true;
            decision = this->gate.offer(this->now, attributes, actions);
        }
        if (decision.verdict == GateVerdict::Refuse) {
            this->refuse({index, firstArrivedAt, firstArrivedAt + kind.target, isRetry}, kinds,
                         decision.retryAfter);
        } else {
            ++this->openTickets;
            this->calls[decision.ticket] = {index, firstArrivedAt, firstArrivedAt + kind.target, isRetry};
            if (decision.verdict == GateVerdict::Start)
                this->start(decision.ticket, kind);
        }
        this->perform(actions, kinds);
    }

    // Callers wait as told, but for at most a third of their remaining time.
    void refuse(const Call &call, const std::vector<LoadKind> &kinds, Duration retryAfter)
    {
        const LoadKind &kind = kinds[call.kind];
        const Duration remaining = call.firstArrivedAt + kind.deadline - this->now;
        if (this->retryMode != RetryMode::Never && !call.isRetry && remaining > Duration::zero()) {
            this->events.push({this->now + std::min(retryAfter, remaining / 3), false, call.kind, 0, true,
                               call.firstArrivedAt});
            return;
        }
        LoadOutcome &outcome = this->outcomes[kind.name];
        ++outcome.refused;
        outcome.refusedAfterTarget += this->now > call.target ? 1 : 0;
    }

    void start(Ticket ticket, const LoadKind &kind)
    {
        ++this->running;
        this->maximumRunning = std::max(this->maximumRunning, this->running);
        this->events.push({this->now + this->runTime(kind), true, 0, ticket});
    }

    void end(Ticket ticket, const std::vector<LoadKind> &kinds)
    {
        const Call call = this->calls.at(ticket);
        this->calls.erase(ticket);
        --this->openTickets;
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
            --this->openTickets;
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
