// The connections that callers hold to one host. A host takes so many at a time; a caller that finds all of
// them busy waits for one as long as its patience lasts, and a new one costs time before its first call.
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

    // Calls `use` once a connection is there, or `without` when none was by `until`. What was used is given
    // back.
    void acquire(Instant until, std::function<void()> onAcquired, std::function<void()> onTimeout);
    void release();

private:
    struct Waiter
    {
        std::function<void()> onAcquired;
        bool finished = false; // Served, or out of patience.
    };

    Timeline &timeline;
    std::uint32_t limit;
    std::uint32_t open = 0; // Idle ones are among them. At most the limit.
    std::uint32_t idle = 0;
    std::deque<std::shared_ptr<Waiter>> waiting; // In order of arrival.
};

} // namespace Sagecrank
