// Pulls a configuration over a connection of its own: one request, one response.
#include "ControlClient.h"

#include <LibNet/FramedConnection.h>

#include <boost/asio/steady_timer.hpp>

namespace Sagecrank {

namespace {

struct Pull
{
    std::shared_ptr<FramedConnection> connection;
    boost::asio::steady_timer timer;
    std::function<void(Result<PullResult>)> done; // Empty once called.

    explicit Pull(boost::asio::io_context &context)
        : timer(context)
    {
    }

    void finish(Result<PullResult> result)
    {
        if (!this->done)
            return;
        const auto callback = std::move(this->done);
        this->done = nullptr;
        this->timer.cancel();
        callback(std::move(result));
    }
};

// A peer may stop responding without closing the connection. The timer then ends the pull, so that the node
// tries another peer instead of waiting forever with an outdated configuration.
void sendRequest(const std::shared_ptr<Pull> &pull, boost::asio::ip::tcp::socket socket,
                 const PullRequest &request)
{
    FramedConnectionHooks hooks;
    hooks.onFrame = [pull](FrameType type, std::span<const char> payload) {
        const std::string &peer = pull->connection->peerName();
        Result<PullResponse> response = decode<PullResponse>(payload, "read pull response", peer);
        if (response && type != FrameType::PullResponse)
            response = makeError(ErrorKind::InvalidInput, "read pull response", peer, "not a pull response");
        const std::uint64_t bytes = payload.size() + frameHeaderSize;
        if (response)
            pull->finish(PullResult{std::move(response).assume_value(), bytes});
        else
            pull->finish(std::move(response).assume_error());
        pull->connection->close(makeError(ErrorKind::Unavailable, "pull", "", "done"));
    };
    hooks.onClosed = [pull](const Error &error) { pull->finish(error); };
    pull->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumPullResponseSize, std::move(hooks));
    pull->connection->start();
    pull->connection->send(encodeFrame(FrameType::PullRequest, request));
}

} // namespace

void pullFromPeer(boost::asio::io_context &context, const std::string &address, const PullRequest &request,
                  std::function<void(Result<PullResult>)> done)
{
    auto pull = std::make_shared<Pull>(context);
    pull->done = std::move(done);
    pull->timer.expires_after(pullTimeout);
    pull->timer.async_wait([pull, address](const boost::system::error_code &error) {
        if (error)
            return;
        pull->finish(makeError(ErrorKind::Timeout, "pull configuration", address, "no answer in time"));
        if (pull->connection)
            pull->connection->close(
                makeError(ErrorKind::Timeout, "pull configuration", "", "no answer in time"));
    });
    connectFramed(context, address, pullTimeout,
                  [pull, request](Result<boost::asio::ip::tcp::socket> socket) {
                      if (!pull->done)
                          return;
                      if (!socket)
                          return pull->finish(std::move(socket).assume_error());
                      sendRequest(pull, std::move(socket).assume_value(), request);
                  });
}

} // namespace Sagecrank
