// Continues to accept connections after one was accepted or could not be.
#pragma once

#include <LibCore/Time.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Sagecrank {

// Without a free descriptor or buffer, accept fails at once for as long as somebody waits for it, and
// retrying at once would take the whole thread from the calls in progress.
inline constexpr Duration acceptRetryInterval = Milliseconds(50);

// `error` is the result of the last accept; `acceptNext` starts the next one and handles a closed acceptor.
inline void continueAccepting(boost::asio::ip::tcp::acceptor &acceptor,
                              const boost::system::error_code &error, std::function<void()> acceptNext)
{
    if (!error)
        return acceptNext();
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(acceptor.get_executor(), acceptRetryInterval);
    // The handler keeps the timer alive.
    timer->async_wait(
        [timer, acceptNext = std::move(acceptNext)](const boost::system::error_code &) { acceptNext(); });
}

} // namespace Sagecrank
