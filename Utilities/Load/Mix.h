// The kinds of call that a run is made of.
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
    double share = 1; // In proportion to the others' shares.
    std::string method = "GET";
    std::string path = "/"; // "{n}" stands for a number drawn with the run's skew.
    CallClass callClass = CallClass::Interactive;
    bool keyed = false; // Each call carries an idempotency key, which its retries repeat.

    // May be sent again when it is not known whether it ran.
    bool isSafeToRetry() const { return this->keyed || this->callClass != CallClass::NonIdempotent; }
};

// "name:share:method:path:class[:keyed]". Errors: InvalidInput.
Result<MixEntry> parseMixEntry(std::string_view text);

// One entry a line; empty lines and lines that begin with # are left out. Errors name the line.
Result<std::vector<MixEntry>> parseMix(std::string_view text, std::string_view file);

} // namespace Sagecrank
