// The gate of one upstream: which calls start now, which wait, which are refused. Only the node beside the
// upstream holds its gate, so slots, queue and drain are exact here. Runs without sockets or clocks.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace Sagecrank {

using Ticket = std::uint64_t;

enum class RefusalReason : std::uint8_t {
    None,
    Draining,       // The upstream takes nothing new.
    NotReady,       // No upstream is announced, or it is gone.
    QueueFull,
    DeadlineTooNear, // It could not start and finish in time.
    Displaced,       // A call of a class that goes first took its place in the queue.
    DeadlinePassed,  // It waited, and its time ran out before it started.
};

inline constexpr EnumNames<RefusalReason, 7> refusalReasonNames { {
    { RefusalReason::None, "none" },
    { RefusalReason::Draining, "draining" },
    { RefusalReason::NotReady, "not_ready" },
    { RefusalReason::QueueFull, "queue_full" },
    { RefusalReason::DeadlineTooNear, "deadline_too_near" },
    { RefusalReason::Displaced, "displaced" },
    { RefusalReason::DeadlinePassed, "deadline_passed" },
} };

enum class CallEnd : std::uint8_t {
    Succeeded,
    Failed,    // The upstream answered with a failure of its own or broke the connection.
    Shed,      // The upstream said that it is overloaded.
    Cancelled, // The caller gave up.
};

struct CallFacts
{
    CallClass callClass = CallClass::Interactive;
    Instant deadline;
};

enum class GateVerdict : std::uint8_t { Start, Queue, Refuse };

struct GateDecision
{
    GateVerdict verdict = GateVerdict::Refuse;
    Ticket ticket = 0; // Zero when refused.
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter {}; // When a refused caller should come back; positive whenever it is refused.
};

// What became of a call that waited.
struct GateAction
{
    Ticket ticket = 0;
    bool start = false; // Otherwise it is refused, and it did not run.
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter {};
};

struct GateSettings
{
    std::uint32_t slots = 1;
    std::uint32_t maximumQueue = 64;
};

} // namespace Sagecrank
