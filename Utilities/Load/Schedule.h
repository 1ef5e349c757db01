// When calls are meant to start and where they go. The schedule does not look at answers: a slow system gets
// the same arrivals as a fast one, so its slowness is seen in full (open loop).
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace Sagecrank {

enum class ArrivalKind { Poisson, Uniform };

inline constexpr EnumNames<ArrivalKind, 2> arrivalKindNames{{
    {ArrivalKind::Poisson, "poisson"},
    {ArrivalKind::Uniform, "uniform"},
}};

class ArrivalSchedule
{
public:
    // `rate` in calls a second, above zero.
    ArrivalSchedule(ArrivalKind kind, double rate, std::uint64_t seed);

    // From the start of the run; never earlier than the one before.
    Duration next();

private:
    ArrivalKind kind;
    double rate;
    double seconds = 0;
    std::mt19937_64 random;
};

// Draws from 0 to count - 1; rank r is drawn in proportion to 1 / (r + 1)^skew, so a skew of zero is uniform.
class ZipfChoice
{
public:
    ZipfChoice(std::size_t count, double skew);

    std::size_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> cumulative; // Rises to 1.
};

// Draws an index in proportion to its share.
class WeightedChoice
{
public:
    explicit WeightedChoice(const std::vector<double> &shares);

    std::size_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> cumulative; // Rises to 1.
};

} // namespace Sagecrank
