// A call of another node whose head has arrived and whose body awaits its grant or is in transit.
#pragma once

#include <Node/Peers/BodyGrantQueue.h>

#include <LibCore/Time.h>
#include <LibDecide/BodyMemory.h>
#include <LibWire/PeerMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace Sagecrank {

struct PendingBodyCall
{
    PendingBodyCall(boost::asio::io_context &context, CallHead head, BodyGrantQueue::Id id)
        : head(std::move(head))
        , id(id)
        , arrived(SteadyClock::now())
        , timer(context)
    {
    }

    // The call with its remaining times reduced by the time since it arrived.
    CallRequest remainingCall() const
    {
        CallRequest call = this->head.call;
        const auto waited = static_cast<std::uint64_t>(
            std::chrono::duration_cast<Microseconds>(SteadyClock::now() - this->arrived).count());
        call.remainingMicroseconds -= std::min(call.remainingMicroseconds, waited);
        // At least 1, since 0 means that the call has no target.
        if (call.remainingTargetMicroseconds > 0)
            call.remainingTargetMicroseconds -= std::min(call.remainingTargetMicroseconds - 1, waited);
        return call;
    }

    // From then on a body with this transfer time misses the target, or the deadline if late responses are
    // accepted.
    Instant latestGrantTime(Duration transferTime) const
    {
        const Instant start = this->arrived - transferTime;
        const Instant target = start + Microseconds(this->head.call.remainingTargetMicroseconds);
        const bool bound = this->head.call.remainingTargetMicroseconds > 0 && !this->head.call.lateAccepted;
        return bound ? target : start + Microseconds(this->head.call.remainingMicroseconds);
    }

    CallHead head;
    BodyGrantQueue::Id id;
    Instant arrived;
    bool granted = false;
    BodyMemory::Reservation memory;
    boost::asio::steady_timer timer; // Runs while the call awaits its grant.
};

} // namespace Sagecrank
