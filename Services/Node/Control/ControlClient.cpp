// Pulls a configuration over a connection of its own: one request, one response.
#include "ControlClient.h"

#include "PeerRequest.h"

namespace Sagecrank {

namespace {

using Pull = PeerRequest<PullResult>;

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
    startPeerRequest(context, pull, address, "pull configuration", {pullTimeout, pullTimeout},
                     [pull, request](boost::asio::ip::tcp::socket socket) {
                         sendRequest(pull, std::move(socket), request);
                     });
}

} // namespace Sagecrank
