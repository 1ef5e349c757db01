// Runs the ClaimManager on the control thread for calls from the request threads.
#pragma once

#include "ClaimHooks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace Sagecrank {

class ClaimService
{
public:
    ClaimService(boost::asio::io_context &control, TablePort table);

    ClaimHooks hooks();

    // Number of claims whose result is still to be written. A node that leaves waits for them. Control thread
    // only.
    std::size_t unsettledClaims() const
    {
        return this->pendingOperations.load() + this->claimManager.pendingFinalizations();
    }

private:
    void scheduleWake();
    void post(std::function<void()> operation);

    boost::asio::io_context &control;
    ClaimManager claimManager; // Only used on the control thread.
    boost::asio::steady_timer timer;
    // Operations posted to the control thread that have not run yet.
    std::atomic<std::size_t> pendingOperations = 0;
};

} // namespace Sagecrank
