// Hooks through which the request path checks the quarantine and reports crashes and answers.
#pragma once

#include <LibCore/Time.h>
#include <LibDecide/CrashQuarantine.h>
#include <LibWire/PeerMessages.h>

#include <functional>
#include <optional>
#include <vector>

namespace Sagecrank {

// May be called from any thread. Hooks that are not set are not called, and nothing is refused.
struct QuarantineHooks
{
    // How long the request is still refused; nothing if it may run.
    std::function<std::optional<Duration>(const CallRequest &)> remainingQuarantine;
    // The upstream next to this node crashed while these requests were running.
    std::function<void(const std::vector<RequestFingerprint> &)> reportCrash;
    // The upstream answered the request.
    std::function<void(const CallRequest &)> reportAnswer;
};

} // namespace Sagecrank
