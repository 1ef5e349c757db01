// What an upstream states about itself in the headers of its answers.
#pragma once

#include <Node/CallHeaders.h>

#include <LibDecide/NamedLimit.h>
#include <LibNet/HttpMessages.h>

#include <vector>

namespace Sagecrank {

struct UpstreamSignals
{
    LimitStatement limit;
    bool leaving = false; // It ends soon and wants no new calls.
};

UpstreamSignals readUpstreamSignals(const std::vector<Header> &headers, const CallHeaders &names);

} // namespace Sagecrank
