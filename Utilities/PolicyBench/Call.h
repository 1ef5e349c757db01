// What travels through the fake fleet: a caller's attempt, one sending of it to one upstream, and the answer.
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
    bool hasReportedLoad = false; // Whether the three above come from a gate.
};

struct Call
{
    std::uint32_t service = 0;
    CallClass callClass = CallClass::Interactive;
    Instant deadline; // The node's answer leaves by then.
    Duration work{};  // Run time on a healthy upstream.
    std::vector<std::size_t> tried;
    std::uint32_t runs = 0;
    bool finished = false; // The node has given its final answer.
    std::function<void(const Response &)> onResponse;

    // The fake's callers use one key for each non-idempotent call; the other two may run twice.
    bool idempotent() const { return this->callClass != CallClass::NonIdempotent; }
};

struct UpstreamAttempt
{
    std::shared_ptr<Call> call;
    std::size_t upstream = 0; // Index over the whole fleet.
    Instant sentAt;
    bool finished = false; // Its node waits for no answer any more.
    bool refused = false;  // Its gate said that it did not run.
    std::function<void(const Response &)> onResponse;
};

} // namespace Sagecrank
