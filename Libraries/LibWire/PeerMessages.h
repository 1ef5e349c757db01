// Messages between nodes about calls. A connection multiplexes many calls: callId matches a response to its
// request, so responses may arrive late and in any order.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/EnumNames.h>
#include <LibWire/Archive.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

// What is known about a call's effect when it ends.
enum class Outcome : std::uint8_t {
    Done,    // The upstream responded.
    NotRun,  // Proven not to have started; safe to retry.
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

// From this protocol version on, a node that replies to a Hello with its own accepts CallHead and grants
// bodies.
inline constexpr std::uint32_t bodyGrantProtocolVersion = 2;

// Bodies of at least this size wait for a grant; for smaller ones the extra round trip costs more than it
// saves.
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
    // Time to the caller's deadline when sent. It is relative, so that clocks need not be synchronised.
    std::uint64_t remainingMicroseconds = 0;
    std::uint32_t priority = 1;                    // Among the calls of one upstream; 0 is the highest.
    std::uint64_t remainingTargetMicroseconds = 0; // To the latency target; 0 for none.
    std::uint64_t kind = 0;                        // A hash of the route; its calls have similar run times.
    bool lateAccepted = true;   // A response after the target is still useful, since no other gate is left.
    std::string attemptId;      // Unique for each time a call is sent to a gate.
    std::string idempotencyKey; // Empty when the caller sent none.
    std::string callerCallId;   // The caller's id of the call, passed through.
    std::string traceParent;
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId, this->cluster);
        transferEnum(archive, this->callClass, CallClass::Batch);
        archive(this->idempotent, this->remainingMicroseconds, this->priority,
                this->remainingTargetMicroseconds, this->kind, this->lateAccepted, this->attemptId,
                this->idempotencyKey, this->callerCallId, this->traceParent, this->method, this->target,
                this->headers, this->body);
    }
};

struct CallHead
{
    CallRequest call; // Without the body.
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
    bool replayed = false;  // Recorded response of an earlier attempt with the same idempotency key.
    bool claimHeld = false; // Refused after its key was claimed, so only the caller may retry it, later.
    bool reachedUpstream = false; // It was sent to the upstream, whatever its outcome.
    std::uint32_t status = 0;
    std::vector<Header> headers;
    std::string body;
    // The gate's load when it responded; used for load balancing.
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    std::uint64_t executionMicroseconds = 0; // At the upstream; 0 when it did not run.
    // The wait for a slot of a call of this kind that arrives now.
    std::uint64_t expectedWaitMicroseconds = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->callId);
        transferEnum(archive, this->outcome, Outcome::Unknown);
        archive(this->reason, this->retryAfterMilliseconds, this->replayed, this->claimHeld,
                this->reachedUpstream, this->status, this->headers, this->body, this->freeSlots, this->queued,
                this->draining, this->executionMicroseconds, this->expectedWaitMicroseconds);
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

// Calls with a higher id have not run and will not. Each call up to it has been answered before this frame,
// or its outcome is unknown.
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
