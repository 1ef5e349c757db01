// Posts claim operations to the control thread and drives the timer of the ClaimManager.
#include "ClaimService.h"

#include <boost/asio/post.hpp>

namespace Sagecrank {

namespace {

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

} // namespace

ClaimService::ClaimService(boost::asio::io_context &control, TablePort table)
    : control(control)
    , claimManager(std::move(table), ClaimSettings{},
                   ClaimClocks{[] { return SteadyClock::now(); }, unixMilliseconds})
    , timer(control)
{
}

ClaimHooks ClaimService::hooks()
{
    ClaimHooks hooks;
    hooks.claim = [this](const std::string &key, const std::string &attempt, Instant deadline,
                         ClaimCallback done) {
        this->post([this, key, attempt, deadline, done = std::move(done)] {
            this->claimManager.claim(key, attempt, deadline, done);
        });
    };
    hooks.finish = [this](const std::string &key, const std::string &attempt, RecordedOutcome outcome) {
        this->post([this, key, attempt, outcome = std::move(outcome)] {
            this->claimManager.finish(key, attempt, outcome);
        });
    };
    hooks.release = [this](const std::string &key, const std::string &attempt) {
        this->post([this, key, attempt] { this->claimManager.release(key, attempt); });
    };
    hooks.leaveUnknown = [this](const std::string &key, const std::string &attempt) {
        this->post([this, key, attempt] { this->claimManager.leaveUnknown(key, attempt); });
    };
    return hooks;
}

void ClaimService::post(std::function<void()> operation)
{
    ++this->pendingOperations;
    boost::asio::post(this->control, [this, operation = std::move(operation)] {
        operation();
        this->scheduleWake();
        --this->pendingOperations;
    });
}

void ClaimService::scheduleWake()
{
    const std::optional<Instant> next = this->claimManager.nextWake();
    if (!next)
        return;
    this->timer.expires_at(*next);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        this->claimManager.advance();
        this->scheduleWake();
    });
}

} // namespace Sagecrank
