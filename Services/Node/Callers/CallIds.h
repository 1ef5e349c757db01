// Generates ids for calls and attempts, unique across nodes and across restarts of a node.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace Sagecrank {

class CallIds
{
public:
    explicit CallIds(const std::string &nodeId)
        : prefix(nodeId + "-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count())
                 + "-")
    {
    }

    std::string next()
    {
        return this->prefix + std::to_string(this->counter.fetch_add(1, std::memory_order_relaxed));
    }

private:
    std::string prefix; // Includes the start time, so that a restarted node does not reuse ids.
    std::atomic<std::uint64_t> counter = 1;
};

} // namespace Sagecrank
