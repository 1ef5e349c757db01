// How long a piece of work takes: a distribution for each path, slower while the process is cold and slower
// again under a fault. Draws from a seeded generator; no clock.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

enum class WorkDistribution { Fixed, Exponential, Lognormal };

inline constexpr EnumNames<WorkDistribution, 3> workDistributionNames{{
    {WorkDistribution::Fixed, "fixed"},
    {WorkDistribution::Exponential, "exponential"},
    {WorkDistribution::Lognormal, "lognormal"},
}};

struct PathServiceTime
{
    std::string prefix; // The longest prefix that matches counts; the empty one matches every path.
    double meanMilliseconds = 0;
    WorkDistribution distribution = WorkDistribution::Fixed;
};

struct ColdStart
{
    Milliseconds length{0}; // The slowness falls evenly to none over this time.
    double factor = 1;      // At the very start work takes this many times as long.
};

// "prefix=mean[:distribution]", such as "/book=5:exponential". Errors: InvalidInput.
Result<PathServiceTime> parsePathServiceTime(std::string_view text);

class ServiceTime
{
public:
    ServiceTime(std::vector<PathServiceTime> paths, ColdStart cold, std::uint64_t seed);

    // `target` may carry "?work_ms=<number>", which takes the place of the distribution.
    Microseconds draw(std::string_view target, Duration sinceStart, double slowFactor);

private:
    double drawMilliseconds(std::string_view target);

    std::vector<PathServiceTime> paths;
    ColdStart cold;
    std::mt19937_64 random;
};

// The value of `name` in the target's query, or empty.
std::string_view queryValue(std::string_view target, std::string_view name);

} // namespace Sagecrank
