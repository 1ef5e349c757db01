// How the gate claims idempotency keys, without knowing where claims are kept.
#pragma once

#include <LibCore/Time.h>
#include <LibSource/ClaimKeeper.h>

#include <functional>
#include <string>

namespace Sagecrank {

// The hooks may be called from any thread; `done` may come on any thread. A granted claim ends with exactly
// one of finish, release and leaveUnknown.
struct ClaimHooks
{
    std::function<void(const std::string &key, const std::string &attempt, Instant deadline,
                       ClaimCallback done)>
        claim;
    std::function<void(const std::string &key, const std::string &attempt, RecordedOutcome outcome)> finish;
    std::function<void(const std::string &key, const std::string &attempt)>
        release; // It provably did not run.
    std::function<void(const std::string &key, const std::string &attempt)> leaveUnknown;
};

} // namespace Sagecrank
