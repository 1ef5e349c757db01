// What the clients of a peer's control port share: a connection of its own, a time limit, and a result that
// is reported once.
#pragma once

#include <LibNet/FramedConnection.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Sagecrank {

template <typename Value>
struct PeerRequest
{
    std::shared_ptr<FramedConnection> connection; // Null until connected.
    boost::asio::steady_timer timer;
    std::function<void(Result<Value>)> done; // Empty once called.

    explicit PeerRequest(boost::asio::io_context &context)
        : timer(context)
    {
    }

    void finish(Result<Value> result)
    {
        if (!this->done)
            return;
        const auto callback = std::move(this->done);
        this->done = nullptr;
        this->timer.cancel();
        callback(std::move(result));
    }
};

struct PeerRequestTimes
{
    Duration connect{};
    Duration whole{}; // Including the connect.
};

// Connects and calls `begin` with the socket. A peer may stop responding without closing the connection; the
// timer then ends the request, so that the node asks another peer instead of waiting forever.
template <typename Request>
void startPeerRequest(boost::asio::io_context &context, const std::shared_ptr<Request> &request,
                      const std::string &address, const char *step, PeerRequestTimes times,
                      std::function<void(boost::asio::ip::tcp::socket)> begin)
{
    request->timer.expires_after(times.whole);
    request->timer.async_wait([request, address, step](const boost::system::error_code &error) {
        if (error)
            return;
        const Error timeout = makeError(ErrorKind::Timeout, step, address, "no answer in time");
        request->finish(timeout);
        if (request->connection)
            request->connection->close(timeout);
    });
    connectFramed(context, address, times.connect,
                  [request, begin = std::move(begin)](Result<boost::asio::ip::tcp::socket> socket) {
                      if (!request->done)
                          return;
                      if (!socket)
                          return request->finish(std::move(socket).assume_error());
                      begin(std::move(socket).assume_value());
                  });
}

} // namespace Sagecrank
