// How the gate claims idempotency keys, without knowing where claims are kept.
#pragma once

#include <LibCore/Time.h>
#include <LibWire/PeerMessages.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Sagecrank {

// The answer that is given again to a later attempt with the same key.
struct RecordedAnswer
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyKept = true; // False when it was too large to keep.
};

enum class ClaimVerdict : std::uint8_t {
    Claimed,     // This attempt alone may run.
    AlreadyDone, // An earlier attempt ran; its answer is recorded.
    InProgress,  // An earlier attempt holds the key; whether it ran is not known.
    NotClaimed,  // The table could not be asked in time; nothing runs.
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::NotClaimed;
    RecordedAnswer recorded; // When AlreadyDone.
    Duration retryAfter{};   // When InProgress or NotClaimed.
};

// The hooks may be called from any thread; `done` may come on any thread.
struct ClaimHooks
{
    std::function<void(const std::string &key, const std::string &attempt, Instant deadline,
                       std::function<void(ClaimAnswer)> done)>
        claim;
    std::function<void(const std::string &key, const std::string &attempt, RecordedAnswer answer)> record;
    std::function<void(const std::string &key, const std::string &attempt)>
        release; // It provably did not run.
};

} // namespace Sagecrank
