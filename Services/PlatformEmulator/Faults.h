// The platform's bad behaviour, switched on by command, and its limits. Decides without sockets or clocks:
// the service asks what becomes of each request.
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
    bool answerWhileDown = false; // While down: answer 503; otherwise connections are closed.
    Milliseconds delay{0};        // Before the effect of every request.
    Milliseconds answerDelay{0};  // Between the effect and its answer.
    double lostAnswerShare = 0;   // Share of writes that take effect and whose connection is then closed.
    double lateWriteShare = 0; // Share of writes whose connection is closed first and that take effect later.
    Milliseconds lateWriteDelay{1000}; // How much later.
    bool rejectWrites = false;         // Writes fail for certain; reads work.
    std::uint64_t seed = 1;
};

// Reads the JSON of POST /emulator/faults. A key that is left out has its default, so "{}" mends everything.
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

// A token bucket: `rate` units a second, at most one second's worth saved up. A request that finds fewer
// than it needs is refused, as the platform does; nothing waits.
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
