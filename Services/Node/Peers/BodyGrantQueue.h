// The bodies that other nodes hold for this one, whichever of its threads they asked: BodyGrants behind a
// lock, and each turn told on the thread that asked for it.
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

    // From any thread.
    bool isLimited() const { return this->grants.isLimited(); }
    Id nextId();
    // With Queued the hook is called once, on the context, when the body is granted; not after end().
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

    void notifyGranted(); // With the lock held.

    mutable std::mutex mutex; // Guards what follows; the limit does not change.
    BodyGrants grants;
    std::unordered_map<Id, Waiting> waiting;
    Id lastId = 0;
};

} // namespace Sagecrank
