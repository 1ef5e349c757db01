// Names for calls and attempts that no two nodes and no two lives of one node share.
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
    std::string prefix; // The start time tells a restarted node's names from its earlier ones.
    std::atomic<std::uint64_t> counter = 1;
};

} // namespace Sagecrank
