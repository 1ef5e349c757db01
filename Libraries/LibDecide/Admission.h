// What admission at one upstream is asked and answers, whichever rule decides, and the hooks behind which a
// rule stands. Runs without sockets or clocks.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Sagecrank {

using Ticket = std::uint64_t;

enum class RefusalReason : std::uint8_t {
    None,
    Draining, // The upstream takes nothing new.
    NotReady, // No upstream is announced, or it is gone.
    QueueFull,
    DeadlineTooNear, // It could not start and finish in time.
    Displaced,       // A call of a class that goes first took its place in the queue.
    DeadlinePassed,  // It waited, and its time ran out before it started.
    TargetTooNear,   // It would be answered, but later than it is worth most; another gate may do better.
};

inline constexpr EnumNames<RefusalReason, 8> refusalReasonNames{{
    {RefusalReason::None, "none"},
    {RefusalReason::Draining, "draining"},
    {RefusalReason::NotReady, "not_ready"},
    {RefusalReason::QueueFull, "queue_full"},
    {RefusalReason::DeadlineTooNear, "deadline_too_near"},
    {RefusalReason::Displaced, "displaced"},
    {RefusalReason::DeadlinePassed, "deadline_passed"},
    {RefusalReason::TargetTooNear, "target_too_near"},
}};

enum class CallOutcome : std::uint8_t {
    Succeeded,
    Failed,    // The upstream answered with a failure of its own or broke the connection.
    Shed,      // The upstream said that it is overloaded.
    Cancelled, // The caller gave up.
};

struct CallAttributes
{
    CallClass callClass = CallClass::Interactive;
    Instant deadline;
    // Calls of one kind run about as long as each other: a route's. Zero where kinds are not told apart.
    std::uint64_t kind = 0;
    std::uint32_t priority = 1;                   // 0 goes first.
    std::optional<Instant> target = std::nullopt; // An answer after it is worth less to the caller.
    bool lateAccepted = true; // There is no better place left, so a late answer is wanted too.
};

enum class GateVerdict : std::uint8_t { Start, Queue, Refuse };

struct GateDecision
{
    GateVerdict verdict = GateVerdict::Refuse;
    Ticket ticket = 0; // Zero when refused.
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter{}; // When a refused caller should come back; positive whenever it is refused.
};

// What became of a call that waited.
struct GateAction
{
    Ticket ticket = 0;
    bool start = false; // Otherwise it is refused, and it did not run.
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter{};
};

enum class UpstreamCondition : std::uint8_t {
    NotReady, // Not announced, or gone.
    Warming,  // Takes calls and is slow; that shows in its run times.
    Ready,
    Draining, // Finishes what it runs and takes nothing new.
};

inline constexpr EnumNames<UpstreamCondition, 4> upstreamConditionNames{{
    {UpstreamCondition::NotReady, "not_ready"},
    {UpstreamCondition::Warming, "warming"},
    {UpstreamCondition::Ready, "ready"},
    {UpstreamCondition::Draining, "draining"},
}};

// One rule of admission. See Gate for what each call means.
struct AdmissionHooks
{
    // Commands.
    std::function<GateDecision(Instant, const CallAttributes &, std::vector<GateAction> &)> offer;
    std::function<void(Instant, Ticket, CallOutcome, std::vector<GateAction> &)> finish;
    std::function<void(Instant, Ticket, std::vector<GateAction> &)> cancel;
    std::function<void(Instant, std::vector<GateAction> &)> advance;
    std::function<void(Instant, UpstreamCondition, std::uint32_t, std::vector<GateAction> &)> setState;
    std::function<void(std::uint32_t)> setMaximumQueue;
    // Queries.
    std::function<bool(Instant, const CallAttributes &)> wouldAdmit;
    std::function<std::optional<Instant>()> nextDeadline;
    std::function<std::uint32_t()> freeSlots;
    std::function<std::uint32_t()> queued;
    std::function<std::uint32_t()> running;
    std::function<UpstreamCondition()> condition;
    std::function<Duration(Instant, const CallAttributes &)> expectedWait;
};

template <typename Rule>
AdmissionHooks makeAdmissionHooks(std::shared_ptr<Rule> rule)
{
    AdmissionHooks hooks;
    hooks.offer = [rule](Instant now, const CallAttributes &facts, std::vector<GateAction> &actions) {
        return rule->offer(now, facts, actions);
    };
    hooks.finish = [rule](Instant now, Ticket ticket, CallOutcome end, std::vector<GateAction> &actions) {
        rule->finish(now, ticket, end, actions);
    };
    hooks.cancel = [rule](Instant now, Ticket ticket, std::vector<GateAction> &actions) {
        rule->cancel(now, ticket, actions);
    };
    hooks.advance = [rule](Instant now, std::vector<GateAction> &actions) { rule->advance(now, actions); };
    hooks.setState = [rule](Instant now, UpstreamCondition condition, std::uint32_t slots,
                            std::vector<GateAction> &actions) {
        rule->setState(now, condition, slots, actions);
    };
    hooks.setMaximumQueue = [rule](std::uint32_t most) { rule->setMaximumQueue(most); };
    hooks.wouldAdmit = [rule](Instant now, const CallAttributes &facts) {
        return rule->wouldAdmit(now, facts);
    };
    hooks.nextDeadline = [rule] { return rule->nextDeadline(); };
    hooks.freeSlots = [rule] { return rule->freeSlots(); };
    hooks.queued = [rule] { return rule->queued(); };
    hooks.running = [rule] { return rule->running(); };
    hooks.condition = [rule] { return rule->condition(); };
    hooks.expectedWait = [rule](Instant now, const CallAttributes &facts) {
        return rule->expectedWait(now, facts);
    };
    return hooks;
}

} // namespace Sagecrank
