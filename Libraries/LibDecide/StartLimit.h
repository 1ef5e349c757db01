// Limits how many calls start per second at one upstream: a token bucket, without sockets or clocks.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Sagecrank {

// Calls arrive at random. With tokens for a quarter of a second, short bursts need not wait, and the upstream
// still gets no more than a quarter above its limit in any second.
inline constexpr Duration defaultStartBurst = std::chrono::milliseconds(250);

// Not thread-safe. Without a rate, every call may start.
class StartLimit
{
public:
    // `burst` is the time whose tokens can be saved up; one token always can.
    explicit StartLimit(Duration burst = defaultStartBurst);

    // `callsPerSecond` is not negative; nothing lifts the limit. A first limit begins without tokens: the
    // upstream that asks for fewer calls still runs those that it has.
    void setRate(Instant now, std::optional<double> callsPerSecond);
    void recordStart(Instant now);

    bool isSet() const { return this->rate.has_value(); }
    double callsPerSecond() const { return this->rate.value_or(0); }
    // How many calls may start now.
    std::uint32_t available(Instant now) const;
    Duration interval() const; // Between two starts; zero without a limit.
    // Time until `calls` further calls can have started.
    Duration timeUntil(Instant now, std::uint32_t calls) const;

private:
    double capacity() const;
    double tokensAt(Instant now) const;

    Duration burst;
    std::optional<double> rate; // Calls per second.
    double tokens = 0;          // At `countedAt`.
    Instant countedAt = Instant::min();
};

} // namespace Sagecrank
