// The connections of callers to one host. Their number is limited; if all are busy, a caller waits for one
// until its timeout. Opening a new connection takes time.
#pragma once

#include <PolicyBench/Timeline.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace Sagecrank {

class CallerConnections
{
public:
    CallerConnections(Timeline &timeline, std::uint32_t limit);

    // Calls `onAcquired` once a connection is available, or `onTimeout` if none is by `deadline`. Each
    // acquired connection must be released.
    void acquire(Instant deadline, std::function<void()> onAcquired, std::function<void()> onTimeout);
    void release();

private:
    struct Waiter
    {
        std::function<void()> onAcquired;
        bool finished = false; // Has a connection or timed out.
    };

    Timeline &timeline;
    std::uint32_t limit;
    std::uint32_t open = 0; // Includes idle ones; at most the limit.
    std::uint32_t idle = 0;
    std::deque<std::shared_ptr<Waiter>> waiting; // In order of arrival.
};

} // namespace Sagecrank
