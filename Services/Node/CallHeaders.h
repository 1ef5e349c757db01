// The names of the HTTP headers by which callers, this node and upstreams speak of a call. The defaults are
// this project's own interface; a deployment whose callers and upstreams use other names gives those. An
// empty name is neither read nor written.
#pragma once

#include <string>

namespace Sagecrank {

struct CallHeaders
{
    // Requests of callers, and what is passed on to upstreams.
    std::string callId = "Sagecrank-Call-Id";       // The caller's own id, passed on unchanged.
    std::string deadline = "Sagecrank-Deadline-Ms"; // How long the caller waits, in whole milliseconds.
    std::string attempt = "Sagecrank-Attempt";      // This node's id of one sending; not the caller's.
    std::string idempotencyKey = "Idempotency-Key";
    std::string trace = "traceparent";
    std::string expectedInstance; // Another start of the upstream than this one must refuse the call.
    std::string originService;    // The service that runs on the host where the call began.

    // Answers of upstreams.
    std::string notRun = "Sagecrank-Outcome"; // With the value below, the call did not run there.
    std::string notRunValue = "not-run";      // Empty: any value.
    std::string proof;                        // Without it a success is not the upstream's own answer.

    // Answers to callers.
    std::string outcome = "Sagecrank-Outcome";
    std::string reason = "Sagecrank-Reason";
    std::string retryAfterMilliseconds = "Sagecrank-Retry-After-Ms";
    std::string replayed = "Sagecrank-Replayed";
    bool retryAfterHasFractions = false; // Else Retry-After is in whole seconds, as HTTP has it.
};

} // namespace Sagecrank
