// How the path of a request asks about requests that crash upstreams, and reports what it sees of them.
#pragma once

#include <LibCore/Time.h>
#include <LibDecide/CrashQuarantine.h>
#include <LibWire/PeerMessages.h>

#include <functional>
#include <optional>
#include <vector>

namespace Sagecrank {

// May be called from any thread. Those that are not set are not called, and nothing is refused.
struct QuarantineHooks
{
    // For how long a request like this one is refused; nothing when it may run.
    std::function<std::optional<Duration>(const CallRequest &)> remainingQuarantine;
    // The upstream beside this node crashed while these ran on it.
    std::function<void(const std::vector<RequestFingerprint> &)> reportCrash;
    // The upstream answered the request.
    std::function<void(const CallRequest &)> reportAnswer;
};

} // namespace Sagecrank
