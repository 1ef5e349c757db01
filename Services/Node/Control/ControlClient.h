// Pulls a configuration from one peer.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibSpread/PullMessages.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace Sagecrank {

inline constexpr Duration pullTimeout = Milliseconds(3000); // For the whole pull, including the connect.

struct PullResult
{
    PullResponse response;
    std::uint64_t receivedBytes = 0;
};

// Calls `done` exactly once, with the response or an error, within `pullTimeout`.
void pullFromPeer(boost::asio::io_context &context, const std::string &address, const PullRequest &request,
                  std::function<void(Result<PullResult>)> done);

} // namespace Sagecrank
