// A token bucket in bytes, with an optional larger initial burst.
#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <cstddef>

namespace Sagecrank {

class TokenBucket
{
public:
    TokenBucket(double bytesPerSecond, double burstBytes, double initialBytes = 0)
        : rate(bytesPerSecond)
        , burst(burstBytes)
        , tokens(std::max(burstBytes, initialBytes))
    {
    }

    void refill(Instant now)
    {
        if (this->last != Instant{} && now > this->last) {
            const double seconds = std::chrono::duration<double>(now - this->last).count();
            const double refilled = std::min(this->burst, this->tokens + seconds * this->rate);
            this->tokens = std::max(this->tokens, refilled);
        }
        this->last = now;
    }

    // May make the bucket negative: mandatory datagrams such as acknowledgements are sent and paid for later.
    void take(std::size_t bytes) { this->tokens -= static_cast<double>(bytes); }

    double available() const { return this->tokens; }
    double capacity() const { return this->burst; }

private:
    double rate;
    double burst;
    double tokens; // Above the burst only until the initial burst is spent.
    Instant last{};
};

} // namespace Sagecrank
