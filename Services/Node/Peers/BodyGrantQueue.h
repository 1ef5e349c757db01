// The bodies that other nodes hold for this one, whichever of its threads they asked: BodyGrants behind a
// lock, and each turn told on the thread that asked for it.
#pragma once

#include <LibDecide/BodyGrants.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <unordered_map>

namespace Sagecrank {

class BodyLine
{
public:
    using Name = BodyGrants::BodyId;
    using TurnHook = std::function<void()>;

    explicit BodyLine(BodyGrantSettings settings)
        : grants(settings)
    {
    }

    // From any thread.
    bool isLimited() const { return this->grants.isLimited(); }
    Name nextName();
    // With Queued the hook is called once, on the context, when the body is granted; not after end().
    BodyGrantResult ask(boost::asio::io_context &context, Name name, std::uint64_t bytes,
                        std::uint32_t priority, TurnHook turn);
    void end(Name name);
    void advance();
    Duration carries(std::uint64_t bytes) const { return this->grants.transferTime(bytes); }
    Duration expected(std::uint64_t bytes, std::uint32_t priority) const;
    std::optional<Instant> nextExpiry() const;

private:
    struct Waiting
    {
        boost::asio::io_context *context = nullptr;
        TurnHook turn;
    };

    void tellTurns(); // With the lock held.

    mutable std::mutex mutex; // Guards what follows; the limit does not change.
    BodyGrants grants;
    std::unordered_map<Name, Waiting> waiting;
    Name lastName = 0;
};

} // namespace Sagecrank
