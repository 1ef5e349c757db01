// What the upstream beside a node reports about itself.
#pragma once

#include <LibDecide/Admission.h>

#include <cstdint>
#include <string>

namespace Sagecrank {

struct UpstreamAnnouncement
{
    std::string cluster;
    std::string address; // "ip:port" of its HTTP server.
    std::uint32_t slots = 1;
    UpstreamCondition condition = UpstreamCondition::NotReady;
    // Names one instance (one run) of the upstream. Each call names the instance that it is meant for, so
    // that another instance that has taken over the address refuses it. Empty where upstreams have no such
    // names.
    std::string instance{};
    std::uint64_t startedAt = 0; // Of the instance, in Unix milliseconds by its own clock; 0 if unknown.
    std::uint64_t sequence = 0;  // Increases with each announcement of one instance; 0 if unknown.
    std::string version{};       // Of its software; empty if it states none.
};

} // namespace Sagecrank
