// Hooks through which the gate claims idempotency keys, independent of where claims are stored.
#pragma once

#include <LibCore/Time.h>
#include <LibSource/ClaimManager.h>

#include <functional>
#include <string>

namespace Sagecrank {

// The hooks may be called from any thread, and `done` may be called on any thread. Each granted claim ends
// with exactly one call of finish, release or leaveUnknown.
struct ClaimHooks
{
    std::function<void(const std::string &key, const std::string &attempt, Instant deadline,
                       ClaimCallback done)>
        claim;
    std::function<void(const std::string &key, const std::string &attempt, RecordedOutcome outcome)> finish;
    std::function<void(const std::string &key, const std::string &attempt)>
        release; // The call provably did not run.
    std::function<void(const std::string &key, const std::string &attempt)> leaveUnknown;
};

} // namespace Sagecrank
