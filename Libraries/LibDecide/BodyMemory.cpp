// Implements the shared count of bytes that are held for bodies.
#include <LibDecide/BodyMemory.h>

namespace Sagecrank {

namespace {

// Ordinary calls have smaller bodies; uploads have larger ones.
constexpr std::uint64_t maximumSmallBody = std::uint64_t{64} << 10;

// The limit divided by this is left to small bodies.
constexpr std::uint64_t smallBodyDivisor = 8;

} // namespace

BodyMemory::BodyMemory(std::uint64_t limitBytes)
    : limitBytes(limitBytes)
    , held(std::make_shared<std::atomic<std::uint64_t>>(0))
{
}

BodyMemory::Reservation BodyMemory::tryReserve(std::uint64_t bytes, std::uint64_t bodyBytes)
{
    const bool isSmall = bodyBytes <= maximumSmallBody;
    const std::uint64_t allowed =
        isSmall ? this->limitBytes : this->limitBytes - this->limitBytes / smallBodyDivisor;
    std::uint64_t current = *this->held;
    do {
        if (current > allowed || bytes > allowed - current)
            return nullptr;
    } while (!this->held->compare_exchange_weak(current, current + bytes));
    // The pointer only has to be other than null; its deleter releases the bytes.
    return {this->held.get(), [held = this->held, bytes](void *) { *held -= bytes; }};
}

} // namespace Sagecrank
