// The messages of the fake fleet: a call of a caller, an attempt of it at one upstream, and the response.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Sagecrank {

enum class ResponseKind : std::uint8_t { Done, Failed, NotRun, Unknown };

struct Response
{
    ResponseKind kind = ResponseKind::Unknown;
    Duration retryAfter{};
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    bool hasReportedLoad = false; // Whether the three members above are set by a gate.
};

struct Call
{
    std::uint32_t service = 0;
    CallClass callClass = CallClass::Interactive;
    Instant deadline; // The node responds by then.
    Duration work{};  // Run time on a healthy upstream.
    std::vector<std::size_t> tried;
    std::uint32_t runs = 0;
    bool finished = false; // The node has sent its final response.
    std::function<void(const Response &)> onResponse;

    // Non-idempotent calls have one idempotency key each; calls of the other two classes may run twice.
    bool idempotent() const { return this->callClass != CallClass::NonIdempotent; }
};

struct UpstreamAttempt
{
    std::shared_ptr<Call> call;
    std::size_t upstream = 0; // Index over all hosts of the fleet.
    Instant sentAt;
    bool finished = false; // Its node no longer waits for a response.
    bool refused = false;  // Its gate refused it, so it must not run.
    std::function<void(const Response &)> onResponse;
};

} // namespace Sagecrank
