// Types of admission control at one upstream (requests, decisions, refusal reasons), and the hooks through
// which an admission policy is called. Uses no sockets or clocks.
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
    Draining, // The upstream accepts no new calls.
    NotReady, // No upstream is announced, or it has gone.
    QueueFull,
    DeadlineTooNear, // The call could not start and finish before its deadline.
    Displaced,       // A call of a class with higher precedence took its place in the queue.
    DeadlinePassed,  // The deadline passed while the call was queued.
    TargetTooNear,   // The answer would miss the latency target; another gate may meet it.
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
    Failed,    // The upstream returned an error or broke the connection.
    Shed,      // The upstream rejected the call as overloaded.
    Cancelled, // The caller gave up.
};

struct CallAttributes
{
    CallClass callClass = CallClass::Interactive;
    Instant deadline;
    // Identifies calls with similar run times, such as those of one route. Zero if calls are not told apart.
    std::uint64_t kind = 0;
    std::uint32_t priority = 1; // 0 is the highest.
    // Latency target: a later answer is worth less to the caller.
    std::optional<Instant> target = std::nullopt;
    bool lateAccepted = true; // No other gate is likely to meet the target, so a late answer is accepted.
};

enum class GateVerdict : std::uint8_t { Start, Queue, Refuse };

struct GateDecision
{
    GateVerdict verdict = GateVerdict::Refuse;
    Ticket ticket = 0; // Zero if refused.
    RefusalReason reason = RefusalReason::None;
    // How long a refused caller should wait before it retries; positive for every refusal.
    Duration retryAfter{};
};

// The outcome of a queued call.
struct GateAction
{
    Ticket ticket = 0;
    bool start = false; // If false, the call is refused and has not run.
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter{};
};

enum class UpstreamCondition : std::uint8_t {
    NotReady, // Not announced, or gone.
    Warming,  // Accepts calls but is slower than usual, which shows in its run times.
    Ready,
    Draining, // Finishes its running calls and accepts no new ones.
};

inline constexpr EnumNames<UpstreamCondition, 4> upstreamConditionNames{{
    {UpstreamCondition::NotReady, "not_ready"},
    {UpstreamCondition::Warming, "warming"},
    {UpstreamCondition::Ready, "ready"},
    {UpstreamCondition::Draining, "draining"},
}};

// Type-erased admission policy. Gate documents what each function does.
struct AdmissionHooks
{
    // Commands.
    std::function<GateDecision(Instant, const CallAttributes &, std::vector<GateAction> &)> offer;
    std::function<void(Instant, Ticket, CallOutcome, std::vector<GateAction> &)> finish;
    std::function<void(Instant, Ticket, std::vector<GateAction> &)> cancel;
    std::function<void(Instant, std::vector<GateAction> &)> advance;
    std::function<void(Instant, UpstreamCondition, std::uint32_t, std::vector<GateAction> &)> setState;
    std::function<void(std::uint32_t)> setMaximumQueue;
    std::function<void(Instant, std::optional<double>, std::vector<GateAction> &)> setStartLimit;
    // Queries.
    std::function<bool(Instant, const CallAttributes &)> wouldAdmit;
    std::function<std::optional<Instant>()> nextDeadline;
    std::function<std::optional<Instant>(Instant)> nextStart;
    std::function<std::uint32_t(Instant)> freeSlots;
    std::function<std::uint32_t()> queued;
    std::function<std::uint32_t()> running;
    std::function<UpstreamCondition()> condition;
    std::function<Duration(Instant, const CallAttributes &)> expectedWait;
};

template <typename Policy>
AdmissionHooks makeAdmissionHooks(std::shared_ptr<Policy> policy)
{
    AdmissionHooks hooks;
    hooks.offer = [policy](Instant now, const CallAttributes &attributes, std::vector<GateAction> &actions) {
        return policy->offer(now, attributes, actions);
    };
    hooks.finish = [policy](Instant now, Ticket ticket, CallOutcome outcome,
                            std::vector<GateAction> &actions) {
        policy->finish(now, ticket, outcome, actions);
    };
    hooks.cancel = [policy](Instant now, Ticket ticket, std::vector<GateAction> &actions) {
        policy->cancel(now, ticket, actions);
    };
    hooks.advance = [policy](Instant now, std::vector<GateAction> &actions) {
        policy->advance(now, actions);
    };
    hooks.setState = [policy](Instant now, UpstreamCondition condition, std::uint32_t slots,
                              std::vector<GateAction> &actions) {
        policy->setState(now, condition, slots, actions);
    };
    hooks.setMaximumQueue = [policy](std::uint32_t maximumQueue) { policy->setMaximumQueue(maximumQueue); };
    hooks.setStartLimit = [policy](Instant now, std::optional<double> callsPerSecond,
                                   std::vector<GateAction> &actions) {
        policy->setStartLimit(now, callsPerSecond, actions);
    };
    hooks.wouldAdmit = [policy](Instant now, const CallAttributes &attributes) {
        return policy->wouldAdmit(now, attributes);
    };
    hooks.nextDeadline = [policy] { return policy->nextDeadline(); };
    hooks.nextStart = [policy](Instant now) { return policy->nextStart(now); };
    hooks.freeSlots = [policy](Instant now) { return policy->freeSlots(now); };
    hooks.queued = [policy] { return policy->queued(); };
    hooks.running = [policy] { return policy->running(); };
    hooks.condition = [policy] { return policy->condition(); };
    hooks.expectedWait = [policy](Instant now, const CallAttributes &attributes) {
        return policy->expectedWait(now, attributes);
    };
    return hooks;
}

} // namespace Sagecrank
