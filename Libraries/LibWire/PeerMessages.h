// What nodes say to each other about calls. A connection carries many calls at a time; callId pairs an answer
// with its request, so answers may come late and in any order.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/EnumNames.h>
#include <LibWire/Archive.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

// What is known of a call's effect when it ends.
enum class Outcome : std::uint8_t {
    Done,    // The upstream answered.
    NotRun,  // Proven not to have begun; safe to send again.
    Unknown, // May have run.
};

inline constexpr EnumNames<Outcome, 3> outcomeNames{{
    {Outcome::Done, "done"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

struct Header
{
    std::string name;
    std::string value;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->value);
    }
};

// From this one on, a node that answers a Hello with its own takes CallHead and grants bodies.
inline constexpr std::uint32_t bodyGrantProtocolVersion = 2;

// A body from this size on waits for its grant; a smaller one is not worth the round trip.
inline constexpr std::size_t minimumGrantedBodySize = std::size_t{16} << 10;

struct HelloMessage
{
    std::string nodeId;
    std::uint32_t protocol = bodyGrantProtocolVersion;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->nodeId, this->protocol);
    }
};

struct CallRequest
{
    std::uint64_t callId = 0; // Unique on its connection.
    std::string cluster;
    CallClass callClass = CallClass::Interactive;
    bool idempotent = false;
    std::uint64_t remainingMicroseconds =
        0; // Until the caller's deadline, by the sender's clock; clocks are not compared.
    std::uint32_t priority = 1;                    // Rank among the calls of one upstream; 0 goes first.
    std::uint64_t remainingTargetMicroseconds = 0; // Until the answer is worth less; 0 when not stated.
    std::uint64_t kind = 0;     // Names the route: its calls run about as long as each other.
    bool lateAccepted = true;   // An answer after the target is wanted too: there is no better place left.
    std::string attemptId;      // Unique for each time that a call is sent to a gate.
    std::string idempotencyKey; // Empty when the caller gave none.
    std::string callerCallId;   // The caller's own name for the call, passed through.
    std::string traceParent;
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId, this->cluster, this->callClass, this->idempotent, this->remainingMicroseconds,
                this->priority, this->remainingTargetMicroseconds, this->kind, this->lateAccepted,
                this->attemptId, this->idempotencyKey, this->callerCallId, this->traceParent, this->method,
                this->target, this->headers, this->body);
    }
};

struct CallHead
{
    CallRequest call; // Without its body.
    std::uint64_t bodyBytes = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->call, this->bodyBytes);
    }
};

struct CallGrant
{
    std::uint64_t callId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId);
    }
};

struct CallBody
{
    std::uint64_t callId = 0;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId, this->body);
    }
};

struct CallResponse
{
    std::uint64_t callId = 0;
    Outcome outcome = Outcome::Unknown;
    std::string reason; // Empty when done.
    std::uint32_t retryAfterMilliseconds = 0;
    bool replayed = false;  // The recorded answer of an earlier attempt with the same key.
    bool claimHeld = false; // Refused after its key was claimed: only the caller may send it again, later.
    bool reachedUpstream = false; // It was sent to the upstream, whatever became of it there.
    std::uint32_t status = 0;
    std::vector<Header> headers;
    std::string body;
    // The gate's load when it answered, for placing.
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    std::uint64_t executionMicroseconds = 0; // At the upstream; 0 when it did not run.
    std::uint64_t expectedWaitMicroseconds =
        0; // Until a slot is free for a call of this kind, if it came now.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId, this->outcome, this->reason, this->retryAfterMilliseconds, this->replayed,
                this->claimHeld, this->reachedUpstream, this->status, this->headers, this->body,
                this->freeSlots, this->queued, this->draining, this->executionMicroseconds,
                this->expectedWaitMicroseconds);
    }
};

struct CallCancel
{
    std::uint64_t callId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId);
    }
};

// Calls of a higher number have not run there and will not. Those up to it have been answered before, or
// nobody knows how they end.
struct GoAway
{
    std::uint64_t lastCallId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->lastCallId);
    }
};

struct Heartbeat
{
    std::uint64_t sequence = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->sequence);
    }
};

} // namespace Sagecrank
