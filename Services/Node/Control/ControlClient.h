// Asks one peer for a configuration. The answer, or the lack of one, comes exactly once and within the limit.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibSpread/PullMessages.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace Sagecrank {

inline constexpr Duration pullTimeout = Milliseconds(3000); // For the whole of it, connecting included.

struct PullResult
{
    PullResponse response;
    std::uint64_t receivedBytes = 0;
};

void pullFromPeer(boost::asio::io_context &context, const std::string &address, const PullRequest &request,
                  std::function<void(Result<PullResult>)> done);

} // namespace Sagecrank
