// The mix of call kinds in a run.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Error.h>

#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

struct MixEntry
{
    std::string name;
    double share = 1; // Relative to the shares of the other entries.
    std::string method = "GET";
    std::string path = "/"; // "{n}" is replaced by a random number with the skew of the run.
    CallClass callClass = CallClass::Interactive;
    bool keyed = false; // Each call has an idempotency key, which its retries reuse.

    // Whether a call with an unknown outcome may be retried.
    bool isSafeToRetry() const { return this->keyed || this->callClass != CallClass::NonIdempotent; }
};

// Parses "name:share:method:path:class[:keyed]". Errors: InvalidInput.
Result<MixEntry> parseMixEntry(std::string_view text);

// Parses one entry per line; empty lines and lines that start with # are skipped. Errors name the line.
Result<std::vector<MixEntry>> parseMix(std::string_view text, std::string_view file);

} // namespace Sagecrank
