// Decides which bodies of requests a node may hold in memory. Shared by all request threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

namespace Sagecrank {

class BodyMemory
{
public:
    // Keeps its bytes reserved for as long as it lives. May outlive the BodyMemory.
    using Reservation = std::shared_ptr<void>;

    explicit BodyMemory(std::uint64_t limitBytes);

    // Reserves `bytes` more of a body that then has `bodyBytes`. Empty if they may not be held now. Small
    // bodies may use all of the limit, others leave an eighth of it to them.
    Reservation tryReserve(std::uint64_t bytes, std::uint64_t bodyBytes);

    std::uint64_t heldBytes() const { return *this->held; }

private:
    const std::uint64_t limitBytes;
    std::shared_ptr<std::atomic<std::uint64_t>> held; // At most limitBytes.
};

} // namespace Sagecrank
