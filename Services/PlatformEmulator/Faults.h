// Fault injection and rate limiting for the emulated stores. Uses neither sockets nor clocks: the service
// asks for a decision on each request.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <random>
#include <string_view>

namespace Sagecrank {

struct FaultSettings
{
    bool down = false;
    bool answerWhileDown = false; // While down, respond with 503 instead of closing the connection.
    Milliseconds delay{0};        // Before a request is applied.
    Milliseconds answerDelay{0};  // Between applying a request and responding.
    double lostAnswerShare =
        0;                     // Share of writes that are applied but get no response: the connection closes.
    double lateWriteShare = 0; // Share of writes whose connection closes before they are applied.
    Milliseconds lateWriteDelay{1000}; // From closing the connection to applying the write.
    bool rejectWrites = false;         // Every write fails without being applied; reads work.
    std::uint64_t seed = 1;
};

// Parses the body of POST /emulator/faults. Missing keys take their defaults, so "{}" clears all faults.
Result<FaultSettings> parseFaultSettings(std::string_view json);

enum class WriteFault { None, AnswerLost, AppliedLate };

class FaultInjector
{
public:
    const FaultSettings &settings() const { return this->current; }
    WriteFault drawWriteFault();

    void set(const FaultSettings &settings);

private:
    FaultSettings current;
    std::mt19937_64 random{1};
};

// A token bucket that refills at `rate` units per second and holds at most one second's worth. Requests that
// exceed it are rejected rather than queued, as on the platform.
class RateLimiter
{
public:
    explicit RateLimiter(double rate)
        : rate(rate)
        , available(rate)
    {
    }

    bool tryTake(double units, Instant now);

private:
    double rate;
    double available;
    Instant last{};
};

} // namespace Sagecrank
