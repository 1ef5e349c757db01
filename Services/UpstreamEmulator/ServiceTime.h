// Draws service times from a distribution per path, scaled up during a cold start and by the slow fault. Uses
// a seeded generator and no clock.
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
    std::string prefix; // The longest matching prefix applies; the empty one matches every path.
    double meanMilliseconds = 0;
    WorkDistribution distribution = WorkDistribution::Fixed;
};

struct ColdStart
{
    Milliseconds length{0}; // The slowdown falls linearly to none over this time.
    double factor = 1;      // Slowdown at process start.
};

// Parses "prefix=mean[:distribution]", such as "/book=5:exponential". Fails with InvalidInput.
Result<PathServiceTime> parsePathServiceTime(std::string_view text);

class ServiceTime
{
public:
    ServiceTime(std::vector<PathServiceTime> paths, ColdStart cold, std::uint64_t seed);

    // "?work_ms=<number>" in `target` overrides the distribution.
    Microseconds draw(std::string_view target, Duration sinceStart, double slowFactor);

private:
    double drawMilliseconds(std::string_view target);

    std::vector<PathServiceTime> paths;
    ColdStart cold;
    std::mt19937_64 random;
};

// Returns the value of `name` in the target's query, or an empty view.
std::string_view queryValue(std::string_view target, std::string_view name);

} // namespace Sagecrank
