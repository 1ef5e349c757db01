// The names of the HTTP headers that callers, the node and upstreams use for call metadata. The defaults are
// this project's own interface; a platform adapter may replace them. A header with an empty name is neither
// read nor written.
#pragma once

#include <string>

namespace Sagecrank {

struct CallHeaders
{
    // Requests from callers and to upstreams.
    std::string callId = "Sagecrank-Call-Id"; // Chosen by the caller and forwarded unchanged.
    // An upstream names the calls that it makes for a call that it runs by that call's id, this and an id of
    // their own. Empty: ids do not tell.
    std::string nestedIdSeparator = ".";
    std::string deadline = "Sagecrank-Deadline-Ms"; // Time that the caller waits, in whole milliseconds.
    std::string attempt = "Sagecrank-Attempt";      // Id of one attempt, chosen by this node.
    std::string idempotencyKey = "Idempotency-Key";
    std::string trace = "traceparent";
    std::string expectedInstance; // An upstream must refuse a call that names another instance of it.
    std::string originService;    // The service on the host where the call originated.
    std::string account = "Sagecrank-Account"; // Name of the account whose key the caller presented.

    // Responses of upstreams.
    bool upstreamEchoesCallId = false; // In every response; one without it is not a response to the call.
    std::string notRun = "Sagecrank-Outcome"; // With the value below: the upstream did not run the call.
    std::string notRunValue = "not-run";      // Empty: any value of the header.
    std::string proof; // A success without this header did not come from the upstream itself.
    std::string upstreamLimit = "Sagecrank-Upstream-Limit"; // Calls per second that it takes from all nodes.
    std::string upstreamLeaving = "Sagecrank-Upstream-Leaving"; // "1": it ends soon.

    // Responses to callers.
    std::string outcome = "Sagecrank-Outcome";
    std::string reason = "Sagecrank-Reason";
    std::string retryAfterMilliseconds = "Sagecrank-Retry-After-Ms";
    std::string replayed = "Sagecrank-Replayed";
    bool retryAfterHasFractions = false; // If false, Retry-After is in whole seconds, as in HTTP.
};

} // namespace Sagecrank
