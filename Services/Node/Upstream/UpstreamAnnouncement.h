// What the upstream beside a node says of itself.
#pragma once

#include <LibDecide/Admission.h>

#include <cstdint>
#include <string>

namespace Sagecrank {

struct UpstreamAnnouncement
{
    std::string cluster;
    std::string address; // "ip:port" of its HTTP.
    std::uint32_t slots = 1;
    UpstreamCondition condition = UpstreamCondition::NotReady;
    // Names one start of the upstream. Each call says which one it is meant for, so that another that was
    // given the address meanwhile refuses it. Empty where upstreams have no such names.
    std::string instance{};
    std::uint64_t startedAt = 0; // Of the instance, in Unix milliseconds by its own clock; zero: not told.
    std::uint64_t sequence = 0;  // Rises with each announcement of one start; zero: not told.
};

} // namespace Sagecrank
