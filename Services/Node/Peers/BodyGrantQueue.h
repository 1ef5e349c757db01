// Decides when peers may send the bodies that they hold for this node. Thread-safe wrapper around BodyGrants,
// shared by all request threads; each grant is delivered on the thread that requested it.
#pragma once

#include <LibDecide/BodyGrants.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <unordered_map>

namespace Sagecrank {

class BodyGrantQueue
{
public:
    using Id = BodyGrants::BodyId;
    using GrantCallback = std::function<void()>;

    explicit BodyGrantQueue(BodyGrantSettings settings)
        : grants(settings)
    {
    }

    // Callable from any thread.
    bool isLimited() const { return this->grants.isLimited(); }
    Id nextId();
    // If the result is Queued, the callback runs once, on the context, when the body is granted; never after
    // release().
    BodyGrantResult request(boost::asio::io_context &context, Id id, std::uint64_t bytes,
                            std::uint32_t priority, GrantCallback onGranted);
    void release(Id id);
    void advance();
    Duration transferTime(std::uint64_t bytes) const { return this->grants.transferTime(bytes); }
    Duration expectedWait(std::uint64_t bytes, std::uint32_t priority) const;
    std::optional<Instant> nextExpiry() const;

private:
    struct Waiting
    {
        boost::asio::io_context *context = nullptr;
        GrantCallback onGranted;
    };

    void notifyGranted(); // Requires the lock.

    mutable std::mutex mutex; // Guards the members below; the limit never changes.
    BodyGrants grants;
    std::unordered_map<Id, Waiting> waiting;
    Id lastId = 0;
};

} // namespace Sagecrank
