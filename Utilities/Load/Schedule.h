// Arrival times and random choices of an open-loop load. Arrivals do not depend on responses, so a slow
// system gets the same load as a fast one and its full latency is measured.
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
    // `rate` is in calls per second and above zero.
    ArrivalSchedule(ArrivalKind kind, double rate, std::uint64_t seed);

    // Returns the next arrival, relative to the start of the run; never earlier than the previous one.
    Duration next();

private:
    ArrivalKind kind;
    double rate;
    double seconds = 0;
    std::mt19937_64 random;
};

// Zipf distribution over 0 to count - 1: the probability of r is proportional to 1 / (r + 1)^skew, so a skew
// of zero is uniform.
class ZipfChoice
{
public:
    ZipfChoice(std::size_t count, double skew);

    std::size_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> cumulative; // Cumulative probabilities, up to 1.
};

// Draws an index with a probability proportional to its share.
class WeightedChoice
{
public:
    explicit WeightedChoice(const std::vector<double> &shares);

    std::size_t draw(std::mt19937_64 &random) const;

private:
    std::vector<double> cumulative; // Cumulative probabilities, up to 1.
};

} // namespace Sagecrank
