// The keeper of claims on the control thread, reached from the request threads.
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

    // Claims whose end is still to be written; a node that leaves waits for them. On the control thread.
    std::size_t unsettledClaims() const { return this->posted.load() + this->keeper.settlingCount(); }

private:
    void wakeLater();
    void post(std::function<void()> step);

    boost::asio::io_context &control;
    ClaimKeeper keeper; // Only used on the control thread.
    boost::asio::steady_timer timer;
    std::atomic<std::size_t> posted = 0; // Steps on their way to the control thread.
};

} // namespace Sagecrank
