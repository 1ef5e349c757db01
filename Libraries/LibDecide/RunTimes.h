// Estimates of the recent run times of each call class at one upstream, used for admission by deadline.
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

    // Only successful calls are recorded: an upstream that fails fast would look quick otherwise.
    void observe(CallClass callClass, Duration took);

    // Queries.

    Duration mean(CallClass callClass) const;
    // An optimistic run time: the mean less two mean deviations. A call that could start at once is refused
    // only if even this does not fit before its deadline. The mean would refuse calls that meet their
    // deadline half of the time, and after a slow period it would refuse every call that could correct it.
    Duration optimistic(CallClass callClass) const;

private:
    struct Estimate
    {
        double mean = 0;         // In seconds; zero until the first observation.
        double deviation = 0;    // Mean absolute deviation, in seconds.
        double observations = 0; // The first ones are weighted equally.
    };

    const Estimate &of(CallClass callClass) const;

    std::array<Estimate, 3> estimates;
};

} // namespace Sagecrank
