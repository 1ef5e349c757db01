// How long calls of each class have run at one upstream lately: what admission by deadline is judged by.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Time.h>

#include <array>
#include <cstddef>

namespace Sagecrank {

class RunTimes
{
public:
    // Commands.

    // Only successes count: an upstream that fails fast would otherwise look quick.
    void observe(CallClass callClass, Duration took);

    // Queries.

    Duration mean(CallClass callClass) const;
    // What a quick call of the class takes. A call is refused for its deadline alone only against this one:
    // the mean would turn away calls that make it half of the time, and after one slow spell it would turn
    // away every call whose answer could correct it.
    Duration optimistic(CallClass callClass) const;

private:
    struct Estimate
    {
        double mean = 0;         // In seconds; zero until the first observation.
        double deviation = 0;    // Mean absolute deviation, in seconds.
        double observations = 0; // The first ones count evenly.
    };

    const Estimate &of(CallClass callClass) const;

    std::array<Estimate, 3> estimates;
};

} // namespace Sagecrank
